//! The message by which VMs of a fleet tell each other, by UDP, what they have under way and how
//! fresh their settings are. Each holds the sender's whole state, so that a lost one costs nothing
//! but time.

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The longest message, bytes: what one UDP datagram holds.
pub const MOST: usize = 60_000;

/// What a VM tells all its peers; `F` is an attempt under way, `W` a prompt
/// that waits, `R` a report of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beat<F, W, R> {
    /// The sender.
    pub vm: id::Vm,
    /// The start of its process.
    pub incarnation: u64,
    /// The sender's steady clock, microseconds since its start.
    pub stamp: u64,
    /// The number of its settings version; 0 for none.
    pub version: u64,
    /// How long ago that version was confirmed to be the newest, milliseconds.
    pub age_ms: Option<u64>,
    /// The revision up to which it knows the directory's listings.
    pub at: u64,
    /// A digest of those listings: two VMs that know the same have the same.
    pub digest: u64,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Its attempts.
    pub flights: Vec<F>,
    /// The long prompts that wait at it.
    pub waiting: Vec<W>,
    /// The reports that it has of engines.
    pub reports: Vec<R>,
}

/// A beat on its way to one peer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Datagram {
    /// The newest stamp that the sender has from that peer: what the beat says was so after it.
    pub echo: Option<u64>,
    /// The incarnation that the echoed stamp belongs to.
    pub echo_of: u64,
    /// The encoded [`Beat`].
    #[serde(with = "bytes_of")]
    pub beat: Vec<u8>,
}

/// Encodes a beat once for all peers.
pub fn encode<F, W, R>(beat: &Beat<F, W, R>) -> Vec<u8>
where
    F: Serialize,
    W: Serialize,
    R: Serialize,
{
    rmp_serde::to_vec(beat).expect("plain data")
}

impl Datagram {
    /// The bytes to send.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("plain data")
    }

    /// Reads a datagram with its beat.
    pub fn read<F, W, R>(
        bytes: &[u8],
    ) -> Result<(Datagram, Beat<F, W, R>), rmp_serde::decode::Error>
    where
        F: for<'de> Deserialize<'de>,
        W: for<'de> Deserialize<'de>,
        R: for<'de> Deserialize<'de>,
    {
        let datagram: Datagram = rmp_serde::from_slice(bytes)?;
        let beat = rmp_serde::from_slice(&datagram.beat)?;
        Ok((datagram, beat))
    }
}

mod bytes_of {
    use std::fmt;

    use serde::de::{Error, SeqAccess, Visitor};
    use serde::{Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        from.deserialize_byte_buf(Bytes)
    }

    struct Bytes;

    impl<'de> Visitor<'de> for Bytes {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("bytes")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(bytes)
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<u8>, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = seq.next_element()? {
                bytes.push(byte);
            }
            Ok(bytes)
        }
    }
}
