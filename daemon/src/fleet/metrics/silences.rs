//! Counts silences of upstreams when they end.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use super::{BySilence, Metrics, Phase, Silence};

/// A silence, counted when this is dropped: as failed, unless it ended otherwise.
#[derive(Debug)]
pub struct OpenSilence {
    silences: Family<BySilence, Counter>,
    labels: BySilence,
}

impl OpenSilence {
    /// Begins a silence.
    pub fn begin(metrics: &Metrics, phase: Phase) -> OpenSilence {
        let labels = BySilence { phase, ended: Silence::Failed };
        OpenSilence { silences: metrics.silences.clone(), labels }
    }

    /// Records how the silence ended.
    pub fn end(&mut self, ended: Silence) {
        self.labels.ended = ended;
    }
}

impl Drop for OpenSilence {
    fn drop(&mut self) {
        self.silences.get_or_create(&self.labels).inc();
    }
}
