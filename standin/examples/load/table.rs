//! Markdown tables and histograms.

use hdrhistogram::Histogram;
use serde_json::{Map, Value};

/// A table, printed as Markdown or as JSON rows.
pub(crate) struct Table {
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(columns: &[&'static str]) -> Table {
        Table { columns: columns.to_vec(), rows: Vec::new() }
    }

    pub(crate) fn row(&mut self, cells: Vec<String>) {
        assert_eq!(cells.len(), self.columns.len());
        self.rows.push(cells);
    }

    pub(crate) fn print(&self, json: bool) {
        if json {
            let row = |r: &Vec<String>| {
                let cells = self.columns.iter().zip(r);
                let cells = cells.map(|(c, v)| ((*c).to_owned(), Value::String(v.clone())));
                Value::Object(cells.collect::<Map<_, _>>())
            };
            println!("{}", Value::Array(self.rows.iter().map(row).collect()));
            return;
        }
        println!("{}", self.markdown());
    }

    pub(crate) fn markdown(&self) -> String {
        let mut text = format!("| {} |\n", self.columns.join(" | "));
        text.push_str(&format!("|{}\n", " --- |".repeat(self.columns.len())));
        for row in &self.rows {
            text.push_str(&format!("| {} |\n", row.join(" | ")));
        }
        text
    }
}

/// A histogram of times, recorded in microseconds.
pub(crate) struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        Times(Histogram::new(3).expect("three digits"))
    }
}

impl Times {
    pub(crate) fn add(&mut self, seconds: f64) {
        let _ = self.0.record((seconds * 1e6) as u64);
    }

    pub(crate) fn count(&self) -> u64 {
        self.0.len()
    }

    /// A percentile in milliseconds.
    pub(crate) fn ms(&self, percentile: f64) -> f64 {
        self.0.value_at_percentile(percentile) as f64 / 1e3
    }

    /// A percentile in milliseconds, formatted as a table cell.
    pub(crate) fn cell(&self, percentile: f64) -> String {
        if self.0.is_empty() { "-".to_owned() } else { format!("{:.1}", self.ms(percentile)) }
    }
}
