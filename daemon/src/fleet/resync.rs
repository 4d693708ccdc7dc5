//! Reads newer settings from peers, and newer listings on VMs that do not watch the directory.
//!
//! The VMs read one after the other, so that no VM's link carries the same text many times at once.
//! Each first tries a VM of its own hall, which may have the text by then, and only then a peer
//! that announced it. A VM that has just started does not wait for its turn, since callers wait for
//! it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use foldlock_base::prelude::*;
use foldlock_connection::http::{self, Client};
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Directory;
use hyper::{Request, StatusCode};

use crate::fleet::metrics::Text;
use crate::fleet::process::Process;
use crate::fleet::read_pace::{Holdings, READ_TIMEOUT};
use crate::fleet::{compression, operators, peer_sync};
use crate::log;

/// The timeout of a read from a VM of the own hall, which may be down: the latency within a hall
/// is less than a millisecond, and a text takes some ten milliseconds on the smallest link.
const NEIGHBOUR_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// The maximum number of reads in a row; the next heartbeat starts another resync for what is still
/// missing.
const MAX_READS: u32 = 8;

/// Starts to read if a peer has newer settings or listings and no read is in progress.
pub fn start<D: Dialect, R: Directory>(process: &Arc<Process<D>>, directory: &R) {
    if source(process).is_none() || process.peers.reading.swap(true, Ordering::Relaxed) {
        return;
    }
    tokio::spawn(run(process.clone(), directory.clone()));
}

/// What to read, and from which peer.
enum Source {
    Settings(SocketAddr),
    Listing(SocketAddr),
}

impl Source {
    fn text(&self) -> Text {
        match self {
            Source::Settings(_) => Text::Settings,
            Source::Listing(_) => Text::Listing,
        }
    }
}

fn source<D: Dialect>(process: &Process<D>) -> Option<Source> {
    let now = process.now();
    let newer = process.peers.newer_settings(process.version(), now);
    if let Some(peer) = newer {
        return Some(Source::Settings(peer));
    }
    if process.watching.load(Ordering::Relaxed) {
        return None;
    }
    let revision = process.revision();
    let digest = process.cluster.lock().unwrap().digest();
    let compared = *process.last_compared.lock().unwrap() == Some((revision, digest));
    process.peers.other_listings(revision, digest, compared, now).map(Source::Listing)
}

async fn run<D: Dialect, R: Directory>(process: Arc<Process<D>>, directory: R) {
    tokio::time::sleep(holdings(&process).initial_delay(turn(&process))).await;
    for read in 0..MAX_READS {
        let Some(source) = source(&process) else { break };
        if read == 0 && read_from_neighbour(&process, &directory, &source).await {
            continue;
        }
        let text = source.text();
        let result = read_from(&process, &directory, source).await;
        let succeeded = result.is_ok();
        if let Err(why) = result {
            log::event(&process.log, Event::PeerReadFailed, why);
        }
        let pause = holdings(&process).pause_after(text, succeeded, turn(&process));
        tokio::time::sleep(pause).await;
    }
    process.peers.reading.store(false, Ordering::Relaxed);
}

fn holdings<D: Dialect>(process: &Process<D>) -> Holdings {
    Holdings { settings: process.version() > 0, listings: !process.revision().is_none() }
}

/// A random number below the number of listed VMs, which spreads their reads.
fn turn<D: Dialect>(process: &Process<D>) -> u32 {
    rand::random_range(0..process.peers.listed_count() as u32)
}

/// Reads from a VM of the own hall, if it has the newer text. By the time most VMs read, most
/// others have it, so neither the schedulers nor the links between halls carry a text for each VM.
/// Returns whether it succeeded.
async fn read_from_neighbour<D: Dialect, R: Directory>(
    process: &Arc<Process<D>>,
    directory: &R,
    source: &Source,
) -> bool {
    let Some(neighbour) = process.peers.neighbour(process.now()) else { return false };
    let path = match source {
        Source::Settings(_) => {
            format!(
                "{}?{}{}",
                operators::SETTINGS_PATH,
                operators::NEWER_THAN_QUERY,
                process.version()
            )
        }
        Source::Listing(_) => {
            format!(
                "{}?{}{}",
                operators::LISTING_PATH,
                operators::NEWER_THAN_QUERY,
                process.revision()
            )
        }
    };
    let Ok(text) = read(neighbour, &path, NEIGHBOUR_READ_TIMEOUT).await else { return false };
    merge(process, directory, source, neighbour, text).is_ok()
}

async fn read_from<D: Dialect, R: Directory>(
    process: &Arc<Process<D>>,
    directory: &R,
    source: Source,
) -> Result<(), String> {
    let (peer, path) = match source {
        Source::Settings(peer) => (peer, operators::SETTINGS_PATH),
        Source::Listing(peer) => (peer, operators::LISTING_PATH),
    };
    let text =
        read(peer, path, READ_TIMEOUT).await.inspect_err(|_| process.peers.on_read_failed(peer))?;
    merge(process, directory, &source, peer, text)
}

fn merge<D: Dialect, R: Directory>(
    process: &Arc<Process<D>>,
    directory: &R,
    source: &Source,
    from: SocketAddr,
    text: Bytes,
) -> Result<(), String> {
    match source {
        Source::Settings(_) => {
            process.metrics.count_peer_read(Text::Settings);
            process.apply_settings(directory.decode(text)?, &format!("peer {from}"));
        }
        Source::Listing(_) => {
            process.metrics.count_peer_read(Text::Listing);
            let listing = serde_json::from_slice(&text).map_err(|e| {
                format!("cannot decode the directory listing received from VM {from}: {e}")
            })?;
            peer_sync::merge_listing(process, listing);
            // Listings that still differ are only read again at a later revision: two VMs would
            // otherwise read each other's listings endlessly.
            let digest = process.cluster.lock().unwrap().digest();
            *process.last_compared.lock().unwrap() = Some((process.revision(), digest));
        }
    }
    Ok(())
}

async fn read(peer: SocketAddr, path: &str, timeout: Duration) -> Result<Bytes, String> {
    let request = Request::get(format!("http://{peer}{path}"))
        .body(http::body(Bytes::new()))
        .expect("an address is a valid authority");
    let response =
        Client::default().call(request, timeout).await.map_err(|e| format!("{peer}: {e}"))?;
    if response.status() != StatusCode::OK {
        return Err(format!("{peer}{path}: response status {}", response.status()));
    }
    compression::decompress(response.body()).map_err(|why| format!("{peer}{path}: {why}"))
}
