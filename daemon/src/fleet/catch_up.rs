//! Reading from peers what they know and this VM does not: settings, and listings where the directory
//! is not heard.
//!
//! The VMs read one after the other, so that no VM's link carries the same text many times at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use foldlock_base::prelude::*;
use foldlock_connection::http::{self, Client};
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Directory;
use hyper::Request;

use crate::fleet::metrics::Text;
use crate::fleet::process::Process;
use crate::fleet::{operators, packed, told};
use crate::log;

/// How long a read from a peer may take.
const READ: Duration = Duration::from_millis(800);

/// The time between two VMs.
const TURN: Duration = Duration::from_millis(2);

/// The longest such wait: settings have to be in force everywhere in 2 s.
const MOST_TURN: Duration = Duration::from_millis(400);

/// The pause between two reads.
const PAUSE: Duration = Duration::from_millis(100);

/// Reads in one go; what is still missing then is told by the next beat.
const READS: u32 = 8;

/// Starts to catch up if a peer knows more and nothing is being read yet.
pub fn start<D: Dialect, R: Directory>(process: &Arc<Process<D>>, directory: &R) {
    if source(process).is_none() || process.peers.reading.swap(true, Ordering::Relaxed) {
        return;
    }
    tokio::spawn(run(process.clone(), directory.clone()));
}

/// What there is to read, and where.
enum Source {
    Settings(SocketAddr),
    Listing(SocketAddr),
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
    let at = process.at();
    let digest = process.board.lock().unwrap().digest();
    process.peers.other_listings(at, digest, now).map(Source::Listing)
}

async fn run<D: Dialect, R: Directory>(process: Arc<Process<D>>, directory: R) {
    tokio::time::sleep(turn(&process)).await;
    for _ in 0..READS {
        let Some(source) = source(&process) else { break };
        if let Err(why) = read_from(&process, &directory, source).await {
            log::event(&process.log, Event::PeerUnreadable, why);
        }
        tokio::time::sleep(PAUSE).await;
    }
    process.peers.reading.store(false, Ordering::Relaxed);
}

/// How long this VM leaves the way to others. One that knows nothing yet keeps callers waiting.
fn turn<D: Dialect>(process: &Process<D>) -> Duration {
    if process.version() == 0 {
        return Duration::ZERO;
    }
    let before = rand::random_range(0..process.peers.listed_count() as u32);
    (TURN * before).min(MOST_TURN)
}

async fn read_from<D: Dialect, R: Directory>(
    process: &Arc<Process<D>>,
    directory: &R,
    source: Source,
) -> Result<(), String> {
    match source {
        Source::Settings(peer) => {
            process.metrics.peer_read(Text::Settings);
            let settings = directory.decode(read(peer, operators::SETTINGS).await?)?;
            process.take_settings(settings, &format!("peer {peer}"));
        }
        Source::Listing(peer) => {
            process.metrics.peer_read(Text::Listing);
            let text = read(peer, operators::LISTING).await?;
            let listing =
                serde_json::from_slice(&text).map_err(|e| format!("listing of {peer}: {e}"))?;
            told::listing(process, listing);
        }
    }
    Ok(())
}

async fn read(peer: SocketAddr, path: &str) -> Result<Bytes, String> {
    let request = Request::get(format!("http://{peer}{path}"))
        .body(http::body(Bytes::new()))
        .expect("an address is a valid authority");
    let answer = Client::default().call(request, READ).await.map_err(|e| format!("{peer}: {e}"))?;
    packed::unpack(answer.body()).map_err(|why| format!("{peer}{path}: {why}"))
}
