//! Splits a byte stream into server-sent events, which are passed on unchanged.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event. A stream with a longer one is treated as failed.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The empty line that ends an event.
const SEPARATOR: &[u8] = b"\n\n";

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event's id, if it has a numeric one.
    pub id: Option<u64>,
    /// The event's bytes, including the empty line that ends it.
    pub bytes: Bytes,
}

/// An event exceeds the maximum size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Incremental decoder of events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    searched: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Result<Option<Event>, TooLong> {
        let from = self.searched.saturating_sub(SEPARATOR.len() - 1);
        let found = self.buffer[from..].windows(SEPARATOR.len()).position(|pair| pair == SEPARATOR);
        let Some(at) = found else {
            self.searched = self.buffer.len();
            return if self.buffer.len() > MAX_EVENT_BYTES { Err(TooLong) } else { Ok(None) };
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(from + at + SEPARATOR.len()).freeze();
        Ok(Some(Event { id: read_id(&bytes), bytes }))
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }
}

fn read_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find(|line| line.starts_with(b"id:"))?;
    std::str::from_utf8(&line[b"id:".len()..]).ok()?.trim().parse().ok()
}
