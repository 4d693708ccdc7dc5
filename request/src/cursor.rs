//! The cursor of a stream: the `id` of each event sent to a caller. A caller whose connection broke
//! resumes the stream with it through any VM, without state kept there: the cursor names the
//! engine, the stream and the last token sent, and is authenticated by a keyed hash.

use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use foldlock_base::id;
use siphasher::sip128::{Hasher128, SipHasher24};

/// A position in a stream of events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cursor {
    /// The engine that generates the stream.
    pub engine: id::Upstream,
    /// The stream's id on the engine.
    pub stream: String,
    /// The request that the stream belongs to.
    pub request: id::Request,
    /// The organisation of the caller.
    pub organisation: id::Organisation,
    /// The index of the event's token.
    pub index: u64,
}

/// The text is not a cursor, or was not signed with this key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidCursor;

impl fmt::Display for InvalidCursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid cursor: malformed, or signed with another key")
    }
}

impl std::error::Error for InvalidCursor {}

/// The key with which cursors are signed.
#[derive(Clone)]
pub struct Key([u8; 16]);

impl Key {
    /// Derives the key from the fleet's cursor secret.
    pub fn new(secret: &str) -> Key {
        let mut hasher = SipHasher24::new();
        hasher.write(secret.as_bytes());
        Key(hasher.finish128().as_bytes())
    }
}

/// Writes the cursors of one stream. The part that is the same in all of them is hashed and encoded
/// only once.
pub struct Writer {
    prefix: String,
    hasher: SipHasher24,
}

const SEPARATOR: char = '~';

impl Writer {
    /// A writer for the cursors of the stream of `at`.
    pub fn new(key: &Key, at: &Cursor) -> Writer {
        let payload = format!(
            "{}{SEPARATOR}{}{SEPARATOR}{}{SEPARATOR}{}",
            at.engine, at.stream, at.request, at.organisation
        );
        let mut hasher = SipHasher24::new_with_key(&key.0);
        hasher.write(payload.as_bytes());
        Writer { prefix: URL_SAFE_NO_PAD.encode(payload), hasher }
    }

    /// Writes the cursor for the token with this index.
    pub fn write(&self, index: u64, out: &mut impl fmt::Write) -> fmt::Result {
        let mut hasher = self.hasher;
        hasher.write_u64(index);
        let mac = hasher.finish128();
        write!(out, "{}.{index}.{:016x}{:016x}", self.prefix, mac.h1, mac.h2)
    }
}

impl Cursor {
    /// Encodes and signs the cursor as text.
    pub fn sign(&self, key: &Key) -> String {
        let mut text = String::new();
        Writer::new(key, self)
            .write(self.index, &mut text)
            .expect("writing to a String cannot fail");
        text
    }

    /// Parses a cursor and checks that it was signed with this key.
    pub fn verify(key: &Key, text: &str) -> Result<Cursor, InvalidCursor> {
        let mut parts = text.split('.');
        let (Some(prefix), Some(index), Some(_), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(InvalidCursor);
        };
        let payload = URL_SAFE_NO_PAD.decode(prefix).map_err(|_| InvalidCursor)?;
        let payload = String::from_utf8(payload).map_err(|_| InvalidCursor)?;
        let fields: Vec<&str> = payload.split(SEPARATOR).collect();
        let [engine, stream, request, organisation] = fields[..] else { return Err(InvalidCursor) };
        let cursor = Cursor {
            engine: parse(engine)?,
            stream: stream.to_owned(),
            request: parse(request)?,
            organisation: parse(organisation)?,
            index: parse(index)?,
        };
        if constant_time_eq(cursor.sign(key).as_bytes(), text.as_bytes()) {
            Ok(cursor)
        } else {
            Err(InvalidCursor)
        }
    }
}

fn parse<T: FromStr>(text: &str) -> Result<T, InvalidCursor> {
    text.parse().map_err(|_| InvalidCursor)
}

/// Compares in time independent of where the first difference is, so that timing does not help to
/// forge a signature.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}
