//! Runs one case of the review: `review-standins CASE FOLDER`. `TROUBLE=0` leaves the disruption out.
//!
//! Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod http;
mod store;
mod vm;
mod world;

mod not_run;
mod silent_stop;
mod stale_fleet;

use std::env;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use world::Record;

/// What a case found.
pub struct Finding {
    /// How often the rule was broken.
    pub breaks: usize,
    /// Whether enough was served, and the disruption took place, for the run to tell anything.
    pub is_valid: bool,
    pub summary: String,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let [case, folder] = words.as_slice() else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(Path::new(folder).join("record.txt"));
    let work = env::temp_dir().join(format!("foldlock-review-{}", std::process::id()));
    let finding =
        std::fs::create_dir_all(&work).and_then(|()| run(case, &work, &record, has_trouble));
    let code = match &finding {
        Ok(finding) => {
            record.add(&finding.summary);
            println!("{}", finding.summary);
            if finding.breaks > 0 {
                1
            } else if finding.is_valid {
                0
            } else {
                2
            }
        }
        Err(e) => {
            record.add(&format!("could not run: {e}"));
            eprintln!("could not run: {e}");
            2
        }
    };
    if let Err(e) = record.write() {
        eprintln!("the record cannot be written: {e}");
    }
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&work);
    }
    ExitCode::from(code)
}

fn run(case: &str, work: &PathBuf, record: &Record, has_trouble: bool) -> io::Result<Finding> {
    match case {
        "not-run" => not_run::run(work, record, has_trouble),
        "stale-fleet" => stale_fleet::run(work, record, has_trouble),
        "silent-stop" => silent_stop::run(work, record, has_trouble),
        _ => Err(io::Error::other(format!("unknown case {case}"))),
    }
}
