//! Texts between VMs, packed: settings with many routes repeat the same words, and a small VM's link
//! would be busy for a second with sending them to its hall.

use std::io::{Read, Write};
use std::sync::Mutex;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The longest text that is unpacked, bytes: eight times the largest value of the platform's store.
const MOST: u64 = 8 << 20;

/// Packs a text. The fastest level: it makes a tenth of the settings, and the next levels little less.
pub fn pack(text: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text).expect("memory takes all bytes");
    encoder.finish().expect("memory takes all bytes").into()
}

/// Unpacks a text.
pub fn unpack(packed: &[u8]) -> Result<Bytes, String> {
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(MOST + 1);
    decoder.read_to_end(&mut text).map_err(|e| e.to_string())?;
    if text.len() as u64 > MOST {
        return Err(format!("it unpacks to more than {MOST} bytes"));
    }
    Ok(text.into())
}

/// The packed text of one version, made when first asked for.
#[derive(Debug, Default)]
pub struct Kept(Mutex<Option<(u64, Bytes)>>);

impl Kept {
    /// The packed text of a version.
    pub fn get(&self, version: u64, text: &[u8]) -> Bytes {
        let mut kept = self.0.lock().unwrap();
        if let Some((known, packed)) = &*kept
            && *known == version
        {
            return packed.clone();
        }
        let packed = pack(text);
        *kept = Some((version, packed.clone()));
        packed
    }
}
