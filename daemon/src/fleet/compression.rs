//! Compression of texts sent between VMs: settings with many routes are highly repetitive, and
//! sending them uncompressed to a whole hall would occupy the link of a small VM for a second.

use std::io::{Read, Write};
use std::sync::Mutex;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The maximum size of a decompressed text: eight times the largest value of the platform's store.
const MAX_TEXT_BYTES: u64 = 8 << 20;

/// Compresses a text at the fastest level, which reduces settings to a tenth; higher levels save
/// little more.
pub fn compress(text: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text).expect("memory takes all bytes");
    encoder.finish().expect("memory takes all bytes").into()
}

/// Decompresses a text.
pub fn decompress(compressed: &[u8]) -> Result<Bytes, String> {
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(MAX_TEXT_BYTES + 1);
    decoder.read_to_end(&mut text).map_err(|e| e.to_string())?;
    if text.len() as u64 > MAX_TEXT_BYTES {
        return Err(format!("decompressed text exceeds {MAX_TEXT_BYTES} bytes"));
    }
    Ok(text.into())
}

/// The compressed text of one version, created on first use.
#[derive(Debug, Default)]
pub struct Cache(Mutex<Option<(u64, Bytes)>>);

impl Cache {
    /// Returns the compressed text of a version.
    pub fn get(&self, version: u64, text: &[u8]) -> Bytes {
        let mut cached = self.0.lock().unwrap();
        if let Some((cached_version, compressed)) = &*cached
            && *cached_version == version
        {
            return compressed.clone();
        }
        let compressed = compress(text);
        *cached = Some((version, compressed.clone()));
        compressed
    }
}
