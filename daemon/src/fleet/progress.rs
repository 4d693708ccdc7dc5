//! Which events of a stream have been relayed, and which follow on them.

use std::fmt;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use foldlock_connection::sse;

/// The events relayed so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// The id of the last event; none if the events have no ids.
    pub last_id: Option<u64>,
    /// Number of events.
    pub count: u64,
    /// When the last events were received.
    pub last_at: Option<Instant>,
    /// The longest time between two events.
    pub longest_pause: Duration,
}

/// Events that the caller does not have yet.
#[derive(Debug, PartialEq, Eq)]
pub struct New {
    /// Their bytes, up to a gap.
    pub bytes: Bytes,
    /// An event is missing after them.
    pub gap: Option<Gap>,
}

/// An event is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    expected: u64,
    got: u64,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "received event {}, expected {}", self.got, self.expected)
    }
}

impl Progress {
    /// The progress of a caller that has the events up to this one.
    pub fn after(last_id: Option<u64>) -> Progress {
        Progress { last_id, ..Progress::default() }
    }

    /// Records the time at which events were received.
    pub fn record_time(&mut self, now: Instant) {
        if let Some(at) = self.last_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_duration_since(at));
        }
    }

    /// Returns the events that the caller does not have yet, which must be relayed. Those before a gap are among them: the
    /// stream is resumed after the last of them.
    pub fn new_events(&mut self, events: &[sse::Event]) -> New {
        let mut bytes = BytesMut::new();
        for event in events {
            if let (Some(last), Some(id)) = (self.last_id, event.id) {
                if id <= last {
                    continue;
                }
                let expected = last.saturating_add(1);
                if id > expected {
                    let gap = Gap { expected, got: id };
                    return New { bytes: bytes.freeze(), gap: Some(gap) };
                }
            }
            self.last_id = event.id.or(self.last_id);
            self.count += u64::from(!event.is_blank());
            bytes.extend_from_slice(&event.bytes);
        }
        New { bytes: bytes.freeze(), gap: None }
    }
}
