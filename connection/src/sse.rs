//! Server-sent events, cut out of a stream of bytes and passed on as they are.

use bytes::{Bytes, BytesMut};

/// The longest event, bytes. A stream with a longer one is broken.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The line break pair that ends an event.
const SEPARATOR: &[u8] = b"\n\n";

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, where it has one.
    pub id: Option<u64>,
    /// Its bytes, with the empty line that ends it.
    pub bytes: Bytes,
}

/// An event is longer than any that is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Cuts bytes into events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    searched: usize,
}

impl Decoder {
    /// Takes more bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
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

    /// Bytes of an event that has not ended.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }
}

fn read_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find(|line| line.starts_with(b"id:"))?;
    std::str::from_utf8(&line[b"id:".len()..]).ok()?.trim().parse().ok()
}
