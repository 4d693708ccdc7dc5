//! Splits a byte stream into server-sent events, which are passed on unchanged.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event. A stream with a longer one is treated as failed.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event's id, if it has a numeric one.
    pub id: Option<u64>,
    /// The event's bytes, including the empty line that ends it; those of empty lines alone.
    pub bytes: Bytes,
}

impl Event {
    /// Whether it consists of empty lines alone.
    pub fn is_blank(&self) -> bool {
        self.bytes.iter().all(|byte| is_line_end(*byte))
    }
}

/// An event, or the empty lines between two events, exceed the maximum size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Incremental decoder of events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    searched: usize,
    /// Length of the empty lines since the last event.
    blank: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one. Empty lines between events are returned as an event without an
    /// id: they are passed on, but the stream may end after them.
    pub fn next_event(&mut self) -> Result<Option<Event>, TooLong> {
        let blank = self.buffer.iter().take_while(|byte| is_line_end(**byte)).count();
        if blank > 0 {
            self.searched = 0;
            self.blank += blank;
            if self.blank > MAX_EVENT_BYTES {
                return Err(TooLong);
            }
            return Ok(Some(Event { id: None, bytes: self.buffer.split_to(blank).freeze() }));
        }
        let Some(end) = self.find_end() else {
            self.searched = self.buffer.len();
            return if self.buffer.len() > MAX_EVENT_BYTES { Err(TooLong) } else { Ok(None) };
        };
        (self.searched, self.blank) = (0, 0);
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(Event { id: read_id(&bytes), bytes }))
    }

    /// The position after the empty line that ends the first event. Lines end in LF, CR LF or CR. If the empty line ends
    /// in a CR that is the last byte so far, the LF that may follow is an empty line of its own: waiting for it would
    /// delay the event until the next one.
    fn find_end(&self) -> Option<usize> {
        let from = self.searched.max(1);
        let ends_empty_line = |at: &usize| {
            matches!(
                (self.buffer[at - 1], self.buffer[*at]),
                (b'\n' | b'\r', b'\r') | (b'\n', b'\n')
            )
        };
        let at = (from..self.buffer.len()).find(ends_empty_line)?;
        let is_pair = self.buffer[at] == b'\r' && self.buffer.get(at + 1) == Some(&b'\n');
        Some(at + 1 + usize::from(is_pair))
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }
}

fn is_line_end(byte: u8) -> bool {
    byte == b'\n' || byte == b'\r'
}

fn read_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| is_line_end(*byte));
    let line = lines.find(|line| line.starts_with(b"id:"))?;
    std::str::from_utf8(&line[b"id:".len()..]).ok()?.trim().parse().ok()
}
