//! When an engine that sends nothing counts as crashed.

use std::time::{Duration, Instant};

use foldlock_request::liveness::{Ending, Liveness, Reply};

/// The silence timeout where memory must be released within 4 s.
const TIMEOUT: Duration = Duration::from_millis(2_400);

/// How long a report request takes that is not answered.
const UNANSWERED_TIME: Duration = Duration::from_millis(250);

/// Polls with these results. Returns why the attempt ended, if it did, and the time.
fn poll(liveness: &mut Liveness, replies: &[Reply]) -> (Option<Ending>, Instant) {
    let mut now = liveness.next_poll();
    for reply in replies {
        let asked = liveness.next_poll();
        now = if *reply == Reply::Unanswered { asked + UNANSWERED_TIME } else { asked };
        let ending = liveness.on_reply(*reply, asked);
        if ending.is_some() {
            return (ending, now);
        }
    }
    (None, now)
}

#[test]
fn an_engine_that_reports_is_alive() {
    let mut liveness = Liveness::new(TIMEOUT, Instant::now());
    assert_eq!(poll(&mut liveness, &[Reply::Report; 3]).0, None);
    assert!(!liveness.is_extended(liveness.evidence()));
    let (ending, at) = poll(&mut liveness, &[Reply::Report; 200]);
    assert_eq!((ending, liveness.evidence()), (None, at));
    assert!(liveness.is_extended(liveness.evidence()));
}

/// Memory must be free within 4 s of a crash, even if all release orders are lost. Renewals stop half an interval after the
/// last evidence, which is no later than the crash; an order takes up to 250 ms, and a reservation lasts for 3.4 s.
#[test]
fn memory_is_free_in_time_after_a_crash_at_any_moment() {
    let start = Instant::now();
    for answered in 0..5 {
        let mut liveness = Liveness::new(TIMEOUT, start);
        assert_eq!(poll(&mut liveness, &vec![Reply::Report; answered]).0, None);
        let crash = liveness.evidence();
        poll(&mut liveness, &[Reply::Unanswered; 10]);
        assert_eq!(liveness.evidence(), crash);
        let renewed = liveness.max_renewal_age() + Duration::from_millis(250);
        assert!(renewed + Duration::from_millis(3_400) <= Duration::from_millis(4_000));
    }
}

/// Guards against responses that are cut when their engine is stopped for a while.
#[test]
fn unanswered_report_requests_do_not_end_an_attempt() {
    let mut liveness = Liveness::new(TIMEOUT, Instant::now());
    let replies = [[Reply::Unanswered; 5], [Reply::Report; 5]].concat().repeat(4);
    assert_eq!(poll(&mut liveness, &replies).0, None);
}

/// Guards against responses that are cut since their engine may not be asked. Its memory is not renewed, and expires.
#[test]
fn an_engine_that_gives_no_evidence_is_not_ended_and_not_renewed() {
    let start = Instant::now();
    let mut liveness = Liveness::new(TIMEOUT, start);
    let (ending, at) = poll(&mut liveness, &[Reply::Inconclusive; 100]);
    assert_eq!((ending, liveness.evidence()), (None, start));
    assert!(liveness.evidence_age(at) > liveness.max_renewal_age());
}

#[test]
fn a_restarted_engine_ends_the_attempt_at_once() {
    let mut liveness = Liveness::new(TIMEOUT, Instant::now());
    let replies = [Reply::Report, Reply::Restarted];
    assert_eq!(poll(&mut liveness, &replies).0, Some(Ending::Restarted));
}

/// A VM with a share of a core may not run for seconds. The engine did not stop because the VM did.
#[test]
fn after_a_stall_of_the_vm_the_engine_is_asked_before_the_attempt_is_judged() {
    let start = Instant::now();
    let mut liveness = Liveness::new(TIMEOUT, start);
    let late = start + 3 * TIMEOUT;
    assert_eq!(liveness.on_reply(Reply::Unanswered, late), None);
    let late = liveness.next_poll();
    assert_eq!(liveness.on_reply(Reply::Report, late), None);
    assert_eq!(liveness.next_poll(), late + liveness.interval());
    assert_eq!(liveness.evidence_age(late), Duration::ZERO);
}

/// Guards against records of VMs of the previous release that cannot be shown.
#[test]
fn endings_of_the_previous_release_are_read() {
    for (previous, ending) in [("unanswered", Ending::Expired), ("silent", Ending::Unused)] {
        let read: Ending = serde_json::from_value(previous.into()).expect("a known ending");
        assert_eq!(read, ending);
    }
}
