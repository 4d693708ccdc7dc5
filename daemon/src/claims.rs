//! Claims of idempotency keys, written to the key-value service before sending a request that must
//! not be repeated.
//!
//! One VM, chosen by rendezvous hashing, writes the claims of all VMs in batches. A VM that cannot
//! reach it writes its own claims; the compare-and-swap resolves conflicts. See
//! `foldlock_request::claim` for the log.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foldlock_base::clock::{Clock, System};
use foldlock_base::id;
use foldlock_connection::kv::HttpStore;
use foldlock_connection::wire::{Action, Claim, Member, Verdict};
use foldlock_request::claim::{self, Log};
use foldlock_version::store::{Entry, Failure, Store};
use tarpc::context::Context;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::members;
use crate::process::Process;

/// The only shard at present. Its number is part of keys and messages, so that more can be added.
const SHARD: u32 = 0;

/// Minimum time between two writes, during which claims are collected into a batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum number of claims in a batch.
const MAX_BATCH: usize = 2_000;

/// Maximum attempts to write a batch, after conflicts or lost responses.
const MAX_ATTEMPTS: u32 = 6;

/// Timeout of claims forwarded to the writing VM.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which settlements, the claims that release a key or mark it as done, are sent and
/// retried.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time for which a stopping process waits until its settlements are written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

struct QueuedClaim {
    claim: Claim,
    verdict: oneshot::Sender<Verdict>,
}

/// This VM's claims and settlements, and the queue of claims to be written here.
pub struct Claims {
    store: HttpStore,
    queue: mpsc::UnboundedSender<QueuedClaim>,
    queue_receiver: Mutex<Option<mpsc::UnboundedReceiver<QueuedClaim>>>,
    settlements: Mutex<Vec<Claim>>,
    settled: Notify,
}

/// A key claimed by this VM for one attempt. Released when dropped, unless the attempt was sent.
pub struct KeyClaim {
    process: Arc<Process>,
    key: u128,
    nonce: u128,
    sent: bool,
}

impl KeyClaim {
    /// Marks the attempt as sent: from now on the key is not released.
    pub fn sent(&mut self) {
        self.sent = true;
    }

    /// Marks the attempt as proven not to have run.
    pub fn not_run(&mut self) {
        self.sent = false;
    }

    /// Records that the attempt ran to its end.
    pub fn done(&mut self) {
        self.sent = true;
        self.settle(Action::Done);
    }

    fn settle(&self, action: Action) {
        let claim = Claim { key: self.key, nonce: self.nonce, action };
        self.process.claims.settlements.lock().unwrap().push(claim);
    }
}

impl Drop for KeyClaim {
    fn drop(&mut self) {
        if !self.sent {
            self.settle(Action::Release);
        }
    }
}

impl Claims {
    /// Creates the claims that are stored in `store`.
    pub fn new(store: HttpStore) -> Claims {
        let (queue, receiver) = mpsc::unbounded_channel();
        let queue_receiver = Mutex::new(Some(receiver));
        Claims {
            store,
            queue,
            queue_receiver,
            settlements: Mutex::default(),
            settled: Notify::new(),
        }
    }

    /// The VM that writes claims.
    pub fn writer(&self, live: &[Member]) -> Option<id::Vm> {
        members::owner_of(&format!("claims/{SHARD}"), live).map(|m| m.vm.clone())
    }

    /// Claims a key for one attempt. Returns the verdict as an error if the key is not won.
    pub async fn claim(process: &Arc<Process>, key: u128) -> Result<KeyClaim, Verdict> {
        let nonce = rand::random();
        let mut key_claim = KeyClaim { process: process.clone(), key, nonce, sent: false };
        let claim = Claim { key, nonce, action: Action::Claim };
        match send(process, vec![claim]).await.first() {
            Some(Verdict::Won) => Ok(key_claim),
            Some(Verdict::Unavailable) | None => Err(Verdict::Unavailable),
            Some(verdict) => {
                // Another attempt owns the key, so releasing it when this is dropped has no effect.
                key_claim.sent();
                Err(*verdict)
            }
        }
    }

    /// Writes claims from this VM.
    pub async fn write_here(&self, shard: u32, claims: Vec<Claim>) -> Vec<Verdict> {
        if shard != SHARD {
            return vec![Verdict::Unavailable; claims.len()];
        }
        let mut waiting = Vec::with_capacity(claims.len());
        for claim in claims {
            let (verdict, answer) = oneshot::channel();
            let _ = self.queue.send(QueuedClaim { claim, verdict });
            waiting.push(answer);
        }
        let mut verdicts = Vec::with_capacity(waiting.len());
        for answer in waiting {
            verdicts.push(answer.await.unwrap_or(Verdict::Unavailable));
        }
        verdicts
    }

    /// Waits until all settlements are written, with a timeout.
    pub async fn flush(&self) {
        let flushed = async {
            loop {
                let settled = self.settled.notified();
                if self.settlements.lock().unwrap().is_empty() {
                    return;
                }
                settled.await;
            }
        };
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, flushed).await;
    }
}

/// Sends claims to the writing VM, or writes them from this VM if that fails.
async fn send(process: &Arc<Process>, claims: Vec<Claim>) -> Vec<Verdict> {
    let live = process.members.live();
    let writer = process.claims.writer(&live);
    if let Some(writer) = writer.filter(|w| *w != process.config.vm)
        && let Some(connection) = process.peers.get(&writer)
    {
        let mut context = Context::current();
        context.deadline = Instant::now() + FORWARD_TIMEOUT;
        process.metrics.peer_calls.inc();
        if let Ok(verdicts) = connection.claim(context, SHARD, claims.clone()).await {
            return verdicts;
        }
    }
    process.claims.write_here(SHARD, claims).await
}

/// Runs the writer of this VM and sends its settlements.
pub async fn run(process: Arc<Process>) {
    let receiver = process.claims.queue_receiver.lock().unwrap().take();
    let Some(receiver) = receiver else { return };
    let writer = Writer {
        store: process.claims.store.clone(),
        log: Log::new(SHARD),
        loaded: false,
        up_to_date: false,
        clock: process.clock,
    };
    tokio::join!(writer.run(receiver), settle(process.clone()));
}

/// Sends settlements until each is written.
async fn settle(process: Arc<Process>) {
    loop {
        tokio::time::sleep(SETTLE_INTERVAL).await;
        let batch: Vec<Claim> = {
            let settlements = process.claims.settlements.lock().unwrap();
            settlements.iter().take(MAX_BATCH).cloned().collect()
        };
        if batch.is_empty() {
            process.claims.settled.notify_waiters();
            continue;
        }
        let verdicts = send(&process, batch.clone()).await;
        let written = batch.iter().zip(verdicts).filter(|(_, v)| *v != Verdict::Unavailable);
        let written: Vec<Claim> = written.map(|(c, _)| c.clone()).collect();
        process.claims.settlements.lock().unwrap().retain(|c| !written.contains(c));
        process.claims.settled.notify_waiters();
    }
}

/// The task that writes the log, one per VM.
struct Writer {
    store: HttpStore,
    log: Log,
    loaded: bool,
    up_to_date: bool,
    clock: System,
}

impl Writer {
    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<QueuedClaim>) {
        let mut last_write = Instant::now() - BATCH_INTERVAL;
        while let Some(first) = queue.recv().await {
            tokio::time::sleep_until((last_write + BATCH_INTERVAL).into()).await;
            let mut items = vec![first];
            while items.len() < MAX_BATCH
                && let Ok(item) = queue.try_recv()
            {
                items.push(item);
            }
            last_write = Instant::now();
            let claims: Vec<Claim> = items.iter().map(|i| i.claim.clone()).collect();
            let verdicts = self.decide(&claims).await;
            for (item, verdict) in items.into_iter().zip(verdicts) {
                let _ = item.verdict.send(verdict);
            }
        }
    }

    /// Decides a batch and writes it. After a conflict or a lost response it reads the new entries
    /// of the log, which include the batch if the write took effect.
    async fn decide(&mut self, claims: &[Claim]) -> Vec<Verdict> {
        let unavailable = vec![Verdict::Unavailable; claims.len()];
        for attempt in 0..MAX_ATTEMPTS {
            if !self.up_to_date && self.read_new_entries().await.is_err() {
                tokio::time::sleep(BATCH_INTERVAL * attempt).await;
                continue;
            }
            let Ok(batch) = self.log.prepare(claims, self.clock.wall_millis()) else {
                return unavailable;
            };
            let Some(text) = &batch.text else { return batch.verdicts };
            let key = claim::slot_key(self.log.shard(), batch.slot);
            match self.store.swap(&key, batch.expected_revision, text.clone().into_bytes()).await {
                Ok(revision) => {
                    self.log.commit(&batch, revision);
                    return batch.verdicts;
                }
                Err(Failure::RateLimited) => tokio::time::sleep(BATCH_INTERVAL).await,
                Err(_) => self.up_to_date = false,
            }
        }
        unavailable
    }

    /// Reads the entries written by others since the last read; all slots the first time.
    async fn read_new_entries(&mut self) -> Result<(), Failure> {
        if !self.loaded {
            self.read_all().await?;
            self.loaded = true;
        } else {
            let mut slot = self.log.current();
            let mut first = true;
            while self.load(slot).await? || first {
                first = false;
                slot = (slot + 1) % claim::SLOTS;
            }
        }
        self.up_to_date = true;
        Ok(())
    }

    async fn load(&mut self, slot: usize) -> Result<bool, Failure> {
        let before = self.log.current();
        let entry = self.store.get(&claim::slot_key(self.log.shard(), slot)).await?;
        let Some(entry) = entry else { return Ok(false) };
        let text = text_of(&entry)?;
        let more = self.log.load(slot, Some((&text, entry.revision))).map_err(unreadable)?;
        Ok(more && (slot != before || slot == self.log.current()))
    }

    async fn read_all(&mut self) -> Result<(), Failure> {
        let mut entries = Vec::new();
        for slot in 0..claim::SLOTS {
            let entry = self.store.get(&claim::slot_key(self.log.shard(), slot)).await?;
            let Some(entry) = entry else { break };
            entries.push((slot, text_of(&entry)?, entry.revision));
        }
        let mut log = Log::new(self.log.shard());
        log.restore(entries).map_err(unreadable)?;
        self.log = log;
        Ok(())
    }
}

fn text_of(entry: &Entry) -> Result<String, Failure> {
    String::from_utf8(entry.value.clone())
        .map_err(|_| Failure::Unavailable("a slot of claims is not valid UTF-8".to_owned()))
}

fn unreadable(e: claim::Unreadable) -> Failure {
    Failure::Unavailable(format!("a slot of claims cannot be parsed: {}", e.0))
}
