//! Following the directory: settings, upstreams and VMs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use foldlock_base::clock::Moment;
use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{self, Changes, Directory};
use foldlock_request::revision::Revision;
use foldlock_request::step::{self, Step};

use crate::fleet::changes::{self, ChangeLog};
use crate::fleet::contact::Contact;
use crate::fleet::join;
use crate::fleet::metrics::Call;
use crate::fleet::peers::WATCHERS;
use crate::fleet::process::Process;
use crate::fleet::register::Order;
use crate::log;

/// How long one watch waits for a change. It bounds the age of the settings: each answer confirms
/// them, and keys that were taken away must end within seconds. Each answer is also priced.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The pause between two watches, in which changes gather: it bounds the calls while many things
/// change, and adds to the time in which a change is heard.
const GATHER: Duration = Duration::from_millis(100);

/// The same of a VM that only stands by: the first that watches tells all, and this one tells what that one
/// does not, well within the time in which an upstream that leaves gets no more work.
const GATHER_SPARE: Duration = Duration::from_millis(500);

/// The pause after a call that failed; it doubles with each failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The longest such pause: a directory that is back is to be noticed well within its bounds.
const MOST_RETRY: Duration = Duration::from_millis(400);

/// How long after the directory's return an upstream whose listing lapsed may take to list itself
/// again; from then on it is gone.
const RELIST_TIMEOUT: Duration = Duration::from_secs(2);

/// How much longer than the VM before it in the order a VM relies on what it was told, once no peer
/// says any more that the directory answers it: so the first few of them ask, and the others hear
/// from these.
const TURN: Duration = Duration::from_millis(15);

/// The longest such time, beside a beat. With the time after which a peer's word counts no more, and a call, it
/// has to be well under the time within which an upstream that leaves gets no more work, 2 s and more.
const MOST_TURN: Duration = Duration::from_millis(300);

/// What each VM before it adds to that, without a longest time: the VMs of a large fleet would else all ask in one
/// moment. So at most a thousand calls a second are begun.
const TURN_EACH: Duration = Duration::from_millis(1);

/// How long a VM that has started waits for the listings once a peer is heard that has settings: the first VMs of a
/// fleet of 1,000 that starts have read theirs after a second, and those that hear them another one later.
const LEARN_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest pause after a failed call of a VM that need not watch: those that watch tell it as
/// soon as the directory is back.
const MOST_RETRY_TOLD: Duration = Duration::from_millis(2_000);

/// What each VM of a large fleet adds to the longest pauses: together they make a hundred calls a second of a
/// directory that does not answer.
const MOST_RETRY_EACH: Duration = Duration::from_millis(10);

/// How often that pause doubles at most.
const MOST_DOUBLED: u32 = 8;

/// How often a VM that relies on its peers looks whether it still may.
const TOLD_LOOK: Duration = Duration::from_millis(150);

/// How long after its return from a copy the directory may still list what is older than what is known. By then
/// who lives has written itself again, within two seconds, and the entries of who ended since have lapsed,
/// after three liveness reports of 1.2 s.
const RESTORE_PERIOD: Duration = Duration::from_secs(5);

/// The time that each VM adds to that in which all list themselves again, once the directory has come back
/// from a copy: 150 calls a second, where 400 are free in the smallest installation.
const LIST_AGAIN: Duration = Duration::from_micros(6_667);

/// The least such time.
const LEAST_LIST_AGAIN: Duration = Duration::from_secs(2);

/// Follows the directory until the process stops.
pub async fn run<D: Dialect, R: Directory>(process: Arc<Process<D>>, directory: R) {
    let mut contact = Contact::default();
    join::find_peers(&process, &directory).await;
    loop {
        if !asks(&process).await {
            process.watching.store(false, Ordering::Relaxed);
            contact.follow_peers();
            tokio::time::sleep(TOLD_LOOK).await;
            continue;
        }
        let asked = process.moment();
        let from = contact.watch_from(process.at());
        process.metrics.called(if from.is_some() { Call::Watch } else { Call::Read });
        let answer = match from {
            Some(at) => tokio::select! {
                answer = directory.watch(at, WATCH_TIMEOUT) => answer,
                // What it told before may have ended in that time.
                () = process.woke.notified() => {
                    contact.reset();
                    continue;
                }
            },
            None => directory.read().await,
        };
        match answer {
            Ok(changes) => {
                heard(&process, &mut contact, from, changes, asked);
                tokio::time::sleep(gather(&process)).await;
            }
            Err(directory::Failure::Compacted) => {
                log::event(&process.log, Event::DirectoryCompacted, "reading all anew");
                contact.reset();
            }
            // What it holds now is read anew; its new era is noted then.
            Err(directory::Failure::Restored) => contact.reset(),
            Err(directory::Failure::Unavailable(why)) => failed(&process, &mut contact, &why).await,
        }
    }
}

/// The pause between two watches of this VM.
fn gather<D: Dialect>(process: &Process<D>) -> Duration {
    let tells = process.peers.announced_by_others(process.now()).is_none();
    if tells || !is_large(process) { GATHER } else { GATHER_SPARE }
}

/// Whether this VM asks the directory itself: one of the first that are heard, in the order in which they place, or
/// one whose turn has come while no peer was heard that does.
///
/// A VM that hears nobody stands first as far as it knows. So whoever does not watch yet waits for its turn, by its
/// place among all that are listed: else all of a large fleet would ask in one moment, once the first are late.
async fn asks<D: Dialect>(process: &Process<D>) -> bool {
    if !is_large(process) || process.watching.load(Ordering::Relaxed) && is_watcher(process) {
        return true;
    }
    if is_told(process) {
        return false;
    }
    tokio::time::sleep(turn(process)).await;
    !is_told(process)
}

/// Whether a peer was heard just now that the directory answers, and this VM need not ask it as well. One that has
/// just started has not heard all of those before it, so its place among those that are heard says nothing yet.
fn is_told<D: Dialect>(process: &Process<D>) -> bool {
    let now = process.now();
    // What it is yet to learn, who watches among it, comes from any peer that has heard of it; and those that watch
    // answer a beat or two after it has learnt who they are.
    let learns = if process.at().is_none() {
        LEARN_TIMEOUT
    } else {
        process.peers.timing().scheduler_timeout() * 2
    };
    if process.peers.age(now) < learns && process.peers.any_has_settings(now) {
        return true;
    }
    if process.at().is_none() {
        return false;
    }
    process.peers.has_watcher(now) && !(is_watcher(process) && process.peers.is_synced(now))
}

/// Whether this VM is one of those that watch in a large fleet. One that stops takes over from none: where all do,
/// each would be the first of those that stay.
fn is_watcher<D: Dialect>(process: &Process<D>) -> bool {
    let stays = !process.stopping.is_cancelled() || process.watching.load(Ordering::Relaxed);
    stays && process.peers.position(process.now()) < WATCHERS
}

/// Whether a few VMs watch the directory for all: also one that stops, and hears the others leave, is told.
fn is_large<D: Dialect>(process: &Process<D>) -> bool {
    process.peers.is_large() || process.withdrawals.asks()
}

/// How long this VM relies on what it was told once no peer says any more that the directory answers it.
fn turn<D: Dialect>(process: &Process<D>) -> Duration {
    let position = process.peers.position_listed() as u32;
    // From some place on, those before this VM answer with their next beat.
    let most = MOST_TURN + process.peers.timing().heartbeat_interval();
    (TURN * position).min(most) + TURN_EACH * position
}

fn heard<D: Dialect>(
    process: &Arc<Process<D>>,
    contact: &mut Contact,
    from: Option<Revision>,
    changes: Changes,
    asked: Moment,
) {
    let now = process.now();
    process.watching.store(true, Ordering::Relaxed);
    if let Some(failures) = contact.on_success(now) {
        log::event(&process.log, Event::DirectoryUp, format!("after {failures} failed calls"));
    }
    let mut change_log = ChangeLog::default();
    let Changes { revision: at, changes } = changes;
    note_era(process, at, "the directory");
    // Also where a peer told of it first.
    contact.note_restored(process.restored(RESTORE_PERIOD));
    let provenance = contact.provenance(from, now);
    if from.is_none() {
        changes::end_unlisted(process, &changes, at, provenance, &mut change_log);
        changes::take_back_unlisted(process, &changes, at, provenance, &mut change_log);
    }
    contact.note_settings(process.version(), provenance, &changes);
    let changed = !changes.is_empty();
    contact.resume_at(at);
    process.known_to(at);
    let mut step: Vec<step::Change> =
        changes.iter().filter_map(|change| changes::told(change, provenance)).collect();
    changes
        .into_iter()
        .for_each(|change| changes::apply(process, change, provenance, &mut change_log));
    let gone = process.cluster.lock().unwrap().expire(RELIST_TIMEOUT, at, now);
    gone.iter().for_each(|id| changes::ended(process, id, "not listed again", &mut change_log));
    step.extend(gone.into_iter().map(|id| step::Change::UpstreamRemoved(id, at)));
    note_step(process, from, at, step);
    change_log.log(process, at, "the directory");
    if !contact.has_older_settings() {
        process.confirm(asked);
    }
    contact.on_restore_end(process.restored(RESTORE_PERIOD));
    let is_told = process.peers.announced_by_others(now) >= at;
    if changed && !is_told {
        process.tell_all();
    }
}

/// Notes what changed, as peers are told of it; after a whole read that is not known.
fn note_step<D: Dialect>(
    process: &Process<D>,
    from: Option<Revision>,
    to: Revision,
    changes: Vec<step::Change>,
) {
    let mut steps = process.steps.lock().unwrap();
    match from {
        Some(from) if from != to || !changes.is_empty() => {
            steps.push(Step { from, to, changes });
        }
        Some(_) => {}
        None => steps.clear(),
    }
}

/// Notes the era of a revision. Answers whether the directory has come back from a copy since what is known
/// of it: then this VM's own entry may be gone, which no other VM would write again.
pub(super) fn note_era<D: Dialect>(process: &Arc<Process<D>>, at: Revision, from: &str) -> bool {
    let known = process.at();
    if known.is_none() || at.era <= known.era {
        return false;
    }
    process.note_restored();
    process.metrics.restored.inc();
    let what = format!("known to {known}, now at {at}, by {from}");
    log::event(&process.log, Event::DirectoryRestored, what);
    tokio::spawn(list_again(process.clone()));
    true
}

/// Lists this VM again, at some moment of the time in which all do.
async fn list_again<D: Dialect>(process: Arc<Process<D>>) {
    let all = (LIST_AGAIN * process.peers.listed_count() as u32).max(LEAST_LIST_AGAIN);
    tokio::time::sleep(all.mul_f64(rand::random_range(0.0..1.0))).await;
    if process.listed.load(Ordering::Relaxed) && !process.stopping.is_cancelled() {
        process.register.order(Order::Announce);
    }
}

async fn failed<D: Dialect>(process: &Arc<Process<D>>, contact: &mut Contact, why: &str) {
    let failures = contact.on_failure(process.now());
    if failures == 1 {
        log::event(&process.log, Event::DirectoryDown, why);
    }
    process.watching.store(false, Ordering::Relaxed);
    process.metrics.directory_failures.inc();
    let pause = RETRY_INTERVAL * 2_u32.saturating_pow(failures.min(MOST_DOUBLED) - 1);
    if !is_large(process) || is_watcher(process) {
        tokio::time::sleep(pause.min(MOST_RETRY)).await;
        return;
    }
    let until = process.now() + pause.min(MOST_RETRY_TOLD.max(longest_pause(process)));
    while process.now() < until && !process.peers.has_watcher(process.now()) {
        tokio::time::sleep(TOLD_LOOK.min(until - process.now())).await;
    }
}

/// The longest pause after failed calls by which the calls of all VMs together stay few.
fn longest_pause<D: Dialect>(process: &Process<D>) -> Duration {
    MOST_RETRY_EACH * process.peers.listed_count() as u32
}

/// Lists this VM, again and again until the directory has taken it.
pub async fn announce<D: Dialect, R: Directory>(process: Arc<Process<D>>, directory: R) {
    let mut pause = RETRY_INTERVAL;
    loop {
        process.metrics.called(Call::Write);
        let Err(fault) = directory.register(&process.member).await else { break };
        log::event(
            &process.log,
            Event::DirectoryDown,
            format!("registration in the directory failed: {fault}"),
        );
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min((MOST_RETRY * 4).max(longest_pause(&process)));
    }
    process.listed.store(true, Ordering::Relaxed);
}
