//! Distribution of settings. A few VMs of each data hall watch the head in the key-value service; the
//! others fetch new versions from peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use foldlock_base::event::Event;
use foldlock_base::hash;
use foldlock_connection::peer::Connection;
use foldlock_version::head::{self, Hash, Head};
use foldlock_version::publish::read_texts;
use foldlock_version::store::{Entry, Failure, Store};
use foldlock_version::tree::Texts;
use tarpc::context::Context;

use crate::current::Outcome;
use crate::log;
use crate::process::Process;

/// Maximum number of VMs of a data hall that watch the head.
const MAX_WATCHERS: usize = 2;

/// Timeout of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// How often a VM that does not watch checks whether it should.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Delay after a failed call: the first and the maximum.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3));

/// Timeout of a call to a peer for settings.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches settings from peers, one call at a time.
#[derive(Default)]
pub struct Fetcher {
    fetching: AtomicBool,
}

/// Watches the head while this VM is one of the watchers.
pub async fn run(process: Arc<Process>) {
    let mut revision = 0;
    let mut backoff = BACKOFF.0;
    loop {
        if !is_watcher(&process) {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        match next_entry(&process, revision).await {
            Ok(None) => process.set_store_available(true),
            Ok(Some(entry)) => {
                process.set_store_available(true);
                backoff = BACKOFF.0;
                match apply_entry(&process, &entry).await {
                    Ok(()) => revision = entry.revision,
                    Err(_) => back_off(&mut backoff).await,
                }
            }
            Err(_) => {
                process.set_store_available(false);
                back_off(&mut backoff).await;
            }
        }
    }
}

/// Waits for the backoff time and doubles it. Jitter keeps VMs from all calling at once after an
/// outage.
async fn back_off(backoff: &mut Duration) {
    let jitter = rand::random_range(0.5..1.5);
    tokio::time::sleep(backoff.mul_f64(jitter)).await;
    *backoff = (*backoff * 2).min(BACKOFF.1);
}

/// Whether this VM is a watcher: one of the first of its data hall by rendezvous hashing, or one that
/// has no settings yet.
fn is_watcher(process: &Process) -> bool {
    if process.current.number() == 0 {
        return true;
    }
    let live = process.members.live();
    let own = process.members.own();
    let hall = live.iter().filter(|m| m.hall == own.hall).map(|m| &m.vm);
    hash::ranked("watch", hall).into_iter().take(MAX_WATCHERS).any(|vm| *vm == own.vm)
}

async fn next_entry(process: &Process, revision: u64) -> Result<Option<Entry>, Failure> {
    if revision == 0 {
        let entry = process.store.get(head::KEY).await?;
        if entry.is_some() {
            return Ok(entry);
        }
    }
    process.store.watch(head::KEY, revision, WATCH_TIMEOUT).await
}

async fn apply_entry(process: &Arc<Process>, entry: &Entry) -> Result<(), Failure> {
    let head: Head = serde_json::from_slice(&entry.value)
        .map_err(|e| Failure::Unavailable(format!("the head cannot be read: {e}")))?;
    if !process.current.should_fetch(head.version) {
        return Ok(());
    }
    let local = process.current.get().texts_by_hash();
    let texts = read_texts(&process.store, &head, &local).await?;
    advance(process, head, texts, "the key-value service");
    Ok(())
}

fn advance(process: &Arc<Process>, head: Head, texts: Texts, source: &str) {
    let number = head.version;
    match process.advance(head, texts) {
        Outcome::Advanced => {
            let details = format!("version {number} from {source}");
            log::event(&process.log, Event::VersionInForce, details);
            process.peers.exchange_now();
        }
        Outcome::Stale => {}
        Outcome::Refused(faults) => {
            let first = faults.first().map(ToString::to_string).unwrap_or_default();
            let details = format!("version {number}: {first} ({} faults)", faults.len());
            log::event(&process.log, Event::VersionRefused, details);
        }
    }
}

impl Fetcher {
    /// Fetches settings from a peer that has a newer version, unless a fetch is in progress.
    pub fn fetch(&self, process: &Arc<Process>, connection: Connection) {
        if self.fetching.swap(true, Ordering::AcqRel) {
            return;
        }
        let process = process.clone();
        tokio::spawn(async move {
            fetch(&process, &connection).await;
            process.fetcher.fetching.store(false, Ordering::Release);
        });
    }
}

async fn fetch(process: &Arc<Process>, connection: &Connection) {
    let local = process.current.get().texts_by_hash();
    let hashes = local.keys().map(|h| h.0.clone()).collect();
    let mut context = Context::current();
    context.deadline = std::time::Instant::now() + FETCH_TIMEOUT;
    process.metrics.peer_calls.inc();
    let Ok(settings) = connection.settings(context, hashes).await else { return };
    if let Some(texts) = assemble(&settings.head, &local, &settings.texts) {
        advance(process, settings.head, texts, "a peer");
    }
}

/// The texts of a head, from the local ones and those received; `None` if one is missing or does not
/// match its hash.
fn assemble(
    head: &Head,
    local: &BTreeMap<Hash, Arc<str>>,
    received: &BTreeMap<String, String>,
) -> Option<Texts> {
    let mut texts = Texts::new();
    for (name, hash) in &head.branches {
        let text: Arc<str> = match local.get(hash) {
            Some(text) => text.clone(),
            None => received.get(&hash.0).filter(|t| Hash::of(t) == *hash)?.as_str().into(),
        };
        texts.insert(name.clone(), text);
    }
    Some(texts)
}
