//! Texts between VMs, packed: settings with many routes repeat the same words, and a small VM's link
//! would be busy for a second with sending them to its hall.

use std::io::{Read, Write};
use std::sync::Mutex;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The longest text that is unpacked, bytes: eight times the largest value of the platform's store.
const MAX_TEXT_BYTES: u64 = 8 << 20;

/// Packs a text. The fastest level: it makes a tenth of the settings, and the next levels little less.
pub fn compress(text: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text).expect("memory takes all bytes");
    encoder.finish().expect("memory takes all bytes").into()
}

/// Unpacks a text.
pub fn decompress(compressed: &[u8]) -> Result<Bytes, String> {
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(MAX_TEXT_BYTES + 1);
    decoder.read_to_end(&mut text).map_err(|e| e.to_string())?;
    if text.len() as u64 > MAX_TEXT_BYTES {
        return Err(format!("decompressed text exceeds {MAX_TEXT_BYTES} bytes"));
    }
    Ok(text.into())
}

/// The packed text of one version, made when first asked for.
#[derive(Debug, Default)]
pub struct Cache(Mutex<Option<(u64, Bytes)>>);

impl Cache {
    /// The packed text of a version.
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
