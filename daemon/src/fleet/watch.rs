//! Watches the directory for changes of settings, upstreams and VMs, and registers this VM there.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use foldlock_base::clock::Moment;
use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{self, Changes, Directory};
use foldlock_request::revision::Revision;
use foldlock_request::step::{self, Step};

use crate::fleet::changes::{self, ChangeLog, Provenance};
use crate::fleet::contact::{Contact, Query};
use crate::fleet::join;
use crate::fleet::metrics::Call;
use crate::fleet::peers::WATCHERS;
use crate::fleet::process::Process;
use crate::fleet::write_queue::Write;
use crate::log;

/// Time for which one watch waits for a change. It bounds the age of the settings, since each
/// response confirms them and revoked keys must become invalid within seconds. A shorter time costs
/// more: each response is charged for.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval between two watches, during which changes accumulate. It bounds the calls while many
/// entries change, and adds to the delay with which a change is received.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// The same for a standby watcher. The first watcher announces the changes; this one announces those
/// that the first misses, well within the time after which a leaving upstream gets no more
/// requests.
const STANDBY_WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before the first retry of a failed call; it doubles with each failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum delay between retries: a recovered directory has to be noticed well within its bounds.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Time after an outage of the directory within which an upstream whose entry expired may register
/// again; after that it is removed.
const RELIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Once no peer announces any more that the directory responds to it, each VM waits this much
/// longer than the VM before it in the order until it calls the directory itself. So the first few
/// VMs call it and the others receive the changes from them.
const TAKEOVER_DELAY_PER_VM: Duration = Duration::from_millis(15);

/// Upper bound of that delay, to which a heartbeat interval is added. Together with the time after
/// which a peer's announcement expires, and a call, it has to stay well under the time within which
/// a leaving upstream gets no more requests, 2 s or more.
const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(300);

/// Further delay for each VM before this one, without an upper bound. Otherwise all VMs of a large
/// fleet would call at once; so at most a thousand calls a second are started.
const UNCAPPED_TAKEOVER_DELAY_PER_VM: Duration = Duration::from_millis(1);

/// Time for which a started VM waits for the listings once a peer with settings is up. In a fleet
/// of 1,000 VMs that start together, the first have read the listings after a second, and those
/// that receive them from these another second later.
const FIRST_SYNC_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum delay between retries of a VM that need not watch: the watchers announce it as soon as
/// the directory has recovered.
const MAX_FOLLOWER_RETRY_INTERVAL: Duration = Duration::from_millis(2_000);

/// Added to the maximum delays for each VM of a large fleet, so that all VMs together make a
/// hundred calls a second to a directory that does not respond.
const MAX_RETRY_INTERVAL_PER_VM: Duration = Duration::from_millis(10);

/// Maximum number of times that the delay doubles.
const MAX_DOUBLINGS: u32 = 8;

/// Interval at which a VM that relies on its peers checks whether it still can.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Time after a restore from an older copy during which the directory may list outdated entries. By
/// its end running processes have registered again, which takes two seconds, and the entries of
/// those that ended since the copy have expired, which takes three liveness reports of 1.2 s.
const RESTORE_PERIOD: Duration = Duration::from_secs(5);

/// After a restore all VMs register again, at random times in a window that grows by this much for
/// each VM. That makes 150 calls a second; the smallest installation has 400 to spare.
const REGISTER_AGAIN_WINDOW_PER_VM: Duration = Duration::from_micros(6_667);

/// Minimum length of that window.
const MIN_REGISTER_AGAIN_WINDOW: Duration = Duration::from_secs(2);

/// Watches the directory until the process stops.
pub async fn run<D: Dialect, R: Directory>(process: Arc<Process<D>>, directory: R) {
    let mut contact = Contact::default();
    join::find_peers(&process, &directory).await;
    loop {
        if !should_watch(&process).await {
            process.watching.store(false, Ordering::Relaxed);
            contact.follow_peers();
            contact.note_restored(process.restored_within(RESTORE_PERIOD));
            tokio::time::sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        let mut performed = perform_next(&process, &directory, &mut contact).await;
        if performed == Ok(Performed::Settings) {
            performed = perform_next(&process, &directory, &mut contact).await;
        }
        match performed {
            Ok(Performed::Suspended) => {}
            Ok(Performed::Settings | Performed::Listings) => {
                tokio::time::sleep(watch_interval(&process)).await;
            }
            Err(directory::Failure::Compacted) => {
                log::event(
                    &process.log,
                    Event::DirectoryCompacted,
                    "the requested changes are compacted; reading all listings",
                );
                contact.reset();
            }
            // The full sync detects the new era.
            Err(directory::Failure::Restored) => contact.reset(),
            Err(directory::Failure::Unavailable(why)) => {
                on_failure(&process, &mut contact, &why).await
            }
        }
    }
}

/// A query to the directory whose response was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Performed {
    /// The settings alone.
    Settings,
    /// All listings, or changes of them, and the settings.
    Listings,
    /// None: the machine was suspended during the query.
    Suspended,
}

/// Performs the next query and applies its response.
async fn perform_next<D: Dialect, R: Directory>(
    process: &Arc<Process<D>>,
    directory: &R,
    contact: &mut Contact,
) -> Result<Performed, directory::Failure> {
    let requested_at = process.moment();
    let query = contact.next_query(process.revision());
    process.metrics.count_directory_call(call(query));
    let changes = match query {
        Query::All => directory.read().await?,
        Query::Settings => {
            let settings = directory.settings().await?;
            on_settings(process, contact, settings, requested_at);
            return Ok(Performed::Settings);
        }
        Query::Changes(revision) => tokio::select! {
            changes = directory.watch(revision, WATCH_TIMEOUT) => changes?,
            // Entries received before may have expired during the suspension.
            () = process.after_suspension.notified() => {
                contact.reset();
                return Ok(Performed::Suspended);
            }
        },
    };
    on_changes(process, contact, query, changes, requested_at);
    Ok(Performed::Listings)
}

/// The query as a label of metrics.
fn call(query: Query) -> Call {
    match query {
        Query::All => Call::Read,
        Query::Settings => Call::Settings,
        Query::Changes(_) => Call::Watch,
    }
}

/// Interval between two watches of this VM: longer if another VM announces the changes too.
fn watch_interval<D: Dialect>(process: &Process<D>) -> Duration {
    let announces = process.peers.announced_by_others(process.now()).is_none();
    if announces || !is_large(process) { WATCH_INTERVAL } else { STANDBY_WATCH_INTERVAL }
}

/// Whether this VM calls the directory itself: because it is one of the first VMs in the scheduler
/// order that are up, or because its takeover delay has passed and still no peer that watches is
/// up.
///
/// For a VM that has received no heartbeat yet, it is itself the first in the order. So a VM that
/// does not watch yet first waits for its takeover delay, which depends on its position among all
/// listed VMs. Otherwise all VMs of a large fleet would call at once as soon as the first ones are
/// late.
async fn should_watch<D: Dialect>(process: &Process<D>) -> bool {
    if !is_large(process) || process.watching.load(Ordering::Relaxed) && is_watcher(process) {
        return true;
    }
    if follows_peers(process) {
        return false;
    }
    tokio::time::sleep(takeover_delay(process)).await;
    !follows_peers(process)
}

/// Whether a peer recently announced that the directory responds to it, so that this VM need not
/// call it too. A VM that has just started has not received heartbeats of all VMs before it, so its
/// position among those that are up is not reliable yet.
fn follows_peers<D: Dialect>(process: &Process<D>) -> bool {
    let now = process.now();
    // Any peer that has settings and listings can send them, and with them who watches; the
    // watchers respond to this VM a heartbeat or two after it has received their names.
    let sync_timeout = if process.revision().is_none() {
        FIRST_SYNC_TIMEOUT
    } else {
        process.peers.timing().scheduler_timeout() * 2
    };
    if process.peers.age(now) < sync_timeout && process.peers.any_has_settings(now) {
        return true;
    }
    if process.revision().is_none() {
        return false;
    }
    process.peers.has_watcher(now) && !(is_watcher(process) && process.peers.is_synced(now))
}

/// Whether this VM is one of the watchers of a large fleet. A stopping VM does not become one: if
/// all VMs stop, each would see itself as the first of those that remain.
fn is_watcher<D: Dialect>(process: &Process<D>) -> bool {
    let may_watch = !process.stopping.is_cancelled() || process.watching.load(Ordering::Relaxed);
    may_watch && process.peers.position(process.now()) < WATCHERS
}

/// Whether a few VMs watch the directory for all. That also holds for a stopping VM that asked to
/// be withdrawn and sees the others leave.
fn is_large<D: Dialect>(process: &Process<D>) -> bool {
    process.peers.is_large() || process.withdrawals.is_delegated()
}

/// How long this VM relies on what it received once no peer announces any more that the directory
/// responds to it.
fn takeover_delay<D: Dialect>(process: &Process<D>) -> Duration {
    let position = process.peers.position_listed() as u32;
    // From some position on, the VMs before this one respond within their next heartbeat.
    let max = MAX_TAKEOVER_DELAY + process.peers.timing().heartbeat_interval();
    (TAKEOVER_DELAY_PER_VM * position).min(max) + UNCAPPED_TAKEOVER_DELAY_PER_VM * position
}

/// Applies the settings that this VM read before its first watch. Its watch is announced at once:
/// peers that lost their watcher would otherwise call the directory as well.
fn on_settings<D: Dialect>(
    process: &Arc<Process<D>>,
    contact: &mut Contact,
    changes: Changes,
    requested_at: Moment,
) {
    contact.note_settings(Query::Settings, &changes.changes);
    contact.on_settings_read(changes.revision);
    let mut change_log = ChangeLog::default();
    let settings = changes.changes.into_iter();
    settings
        .for_each(|change| changes::apply(process, change, Provenance::Current, &mut change_log));
    confirm(process, contact, requested_at);
    begin_watch(process, Query::Settings, changes.revision);
    process.announce_to_all();
}

fn on_changes<D: Dialect>(
    process: &Arc<Process<D>>,
    contact: &mut Contact,
    query: Query,
    changes: Changes,
    requested_at: Moment,
) {
    let now = process.now();
    begin_watch(process, query, changes.revision);
    if let Some(failures) = contact.on_success(now) {
        log::event(&process.log, Event::DirectoryUp, format!("after {failures} failed calls"));
    }
    let mut change_log = ChangeLog::default();
    let Changes { revision: at, changes } = changes;
    detect_restore(process, at, "the directory");
    // A peer may have announced the restore first.
    contact.note_restored(process.restored_within(RESTORE_PERIOD));
    let provenance = contact.provenance(query, now);
    if query == Query::All {
        changes::remove_unlisted(process, &changes, at, provenance, &mut change_log);
        changes::undrain_unlisted(process, &changes, at, provenance, &mut change_log);
    }
    contact.note_settings(query, &changes);
    let changed = !changes.is_empty();
    contact.resume_at(at);
    process.advance_revision(at);
    let mut step: Vec<step::Change> =
        changes.iter().filter_map(|change| changes::announced(change, provenance)).collect();
    changes
        .into_iter()
        .for_each(|change| changes::apply(process, change, provenance, &mut change_log));
    let expired = process.cluster.lock().unwrap().expire(RELIST_TIMEOUT, at, now);
    expired.iter().for_each(|id| {
        changes::on_upstream_removed(
            process,
            id,
            "not registered again after an outage or restore of the directory",
            &mut change_log,
        )
    });
    step.extend(expired.into_iter().map(|id| step::Change::UpstreamRemoved(id, at)));
    record_step(process, query, at, step);
    change_log.log(process, at, "the directory");
    confirm(process, contact, requested_at);
    contact.on_restore_end(process.restored_within(RESTORE_PERIOD));
    let is_announced = process.peers.announced_by_others(now) >= at;
    if changed && !is_announced {
        process.announce_to_all();
    }
}

/// Confirms the settings in force as of a request, if its response shows that they are the newest.
fn confirm<D: Dialect>(process: &Process<D>, contact: &Contact, requested_at: Moment) {
    if contact.confirms(process.version().max(process.peers.newest_version())) {
        process.confirm(requested_at);
    }
}

/// Records that the directory responds to this VM. Logs the first response: what it covers, and the
/// settings in force with it.
fn begin_watch<D: Dialect>(process: &Process<D>, query: Query, revision: Revision) {
    if process.watching.swap(true, Ordering::Relaxed) {
        return;
    }
    let covered = match query {
        Query::All => format!("all listings at revision {revision}"),
        Query::Settings => {
            format!("settings at revision {revision}, listings at {}", process.revision())
        }
        Query::Changes(from) => format!("changes from revision {from} to {revision}"),
    };
    let what = format!("{covered}, settings version {} in force", process.version());
    log::event(&process.log, Event::WatchStarted, what);
}

/// Records the changes as a step to announce to peers. After a full sync the changes since the
/// previous revision are not known, so the steps are cleared.
fn record_step<D: Dialect>(
    process: &Process<D>,
    query: Query,
    to: Revision,
    changes: Vec<step::Change>,
) {
    let mut steps = process.steps.lock().unwrap();
    match query {
        Query::Changes(from) if from != to || !changes.is_empty() => {
            steps.push(Step { from, to, changes });
        }
        Query::Changes(_) | Query::Settings => {}
        Query::All => steps.clear(),
    }
}

/// Compares the era of a revision with the era recorded here. Returns whether the directory was
/// restored from an older copy since. If it was, this VM's own entry may be missing, and no other
/// VM would write it, so this VM registers again.
pub(super) fn detect_restore<D: Dialect>(
    process: &Arc<Process<D>>,
    at: Revision,
    from: &str,
) -> bool {
    let recorded = process.revision();
    if recorded.is_none() || at.era <= recorded.era {
        return false;
    }
    process.record_restored();
    process.metrics.directory_restores.inc();
    let what = format!("known to {recorded}, now at {at}, by {from}");
    log::event(&process.log, Event::DirectoryRestored, what);
    tokio::spawn(register_again(process.clone()));
    true
}

/// Registers this VM again, at a random time in the window that all VMs share.
async fn register_again<D: Dialect>(process: Arc<Process<D>>) {
    let window = (REGISTER_AGAIN_WINDOW_PER_VM * process.peers.listed_count() as u32)
        .max(MIN_REGISTER_AGAIN_WINDOW);
    tokio::time::sleep(window.mul_f64(rand::random_range(0.0..1.0))).await;
    if process.registered.load(Ordering::Relaxed) && !process.stopping.is_cancelled() {
        process.directory_writes.push(Write::Register);
    }
}

async fn on_failure<D: Dialect>(process: &Arc<Process<D>>, contact: &mut Contact, why: &str) {
    let failures = contact.on_failure(process.now());
    if failures == 1 {
        log::event(&process.log, Event::DirectoryDown, why);
    }
    process.watching.store(false, Ordering::Relaxed);
    process.metrics.directory_failures.inc();
    let pause = RETRY_INTERVAL * 2_u32.saturating_pow(failures.min(MAX_DOUBLINGS) - 1);
    if !is_large(process) || is_watcher(process) {
        tokio::time::sleep(pause.min(MAX_RETRY_INTERVAL)).await;
        return;
    }
    let until =
        process.now() + pause.min(MAX_FOLLOWER_RETRY_INTERVAL.max(max_retry_interval(process)));
    while process.now() < until && !process.peers.has_watcher(process.now()) {
        tokio::time::sleep(WATCHER_CHECK_INTERVAL.min(until - process.now())).await;
    }
}

/// Maximum delay between retries with which the calls of all VMs together stay few.
fn max_retry_interval<D: Dialect>(process: &Process<D>) -> Duration {
    MAX_RETRY_INTERVAL_PER_VM * process.peers.listed_count() as u32
}

/// Registers this VM, with retries until the directory accepts it.
pub async fn register<D: Dialect, R: Directory>(process: Arc<Process<D>>, directory: R) {
    let mut pause = RETRY_INTERVAL;
    loop {
        process.metrics.count_directory_call(Call::Write);
        let Err(fault) = directory.register(&process.member).await else { break };
        log::event(
            &process.log,
            Event::DirectoryDown,
            format!("registration in the directory failed: {fault}"),
        );
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min((MAX_RETRY_INTERVAL * 4).max(max_retry_interval(&process)));
    }
    process.registered.store(true, Ordering::Relaxed);
}
