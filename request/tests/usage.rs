//! When an attempt ends whose engines report that its memory is not used.

use std::time::Duration;

use foldlock_request::liveness::{Ending, Reply};
use foldlock_request::usage::{State, Usage};

/// The silence timeout where memory must be released within 4 s, and the interval of reports.
const TIMEOUT: Duration = Duration::from_millis(2_400);
const INTERVAL: Duration = Duration::from_millis(600);

/// Time in which a report arrives and shows what happened, and the memory is released.
const LAG: Duration = Duration::from_millis(1_250);

/// Memory that no request uses must be released within this time.
const MAX_UNUSED: Duration = Duration::from_secs(9);

const ENDED: Option<(Option<usize>, Ending)> = Some((None, Ending::Unused));

/// The number of rounds with these states until the attempt ends; none if it goes on for 200 of them.
fn rounds(usage: &mut Usage, states: &[Option<State>]) -> Option<u32> {
    (1..=200).find(|_| usage.on_reports(Reply::Report, states) == ENDED)
}

/// Guards against responses that are cut after 12 reports although their request is read.
#[test]
fn memory_that_is_used_does_not_end_an_attempt() {
    let mut usage = Usage::new(TIMEOUT, Duration::ZERO, 2);
    // The reservations are filled in turn.
    assert_eq!(rounds(&mut usage, &[Some(State::Used), Some(State::Unused)]), None);
    assert_eq!(rounds(&mut usage, &[None, None]), None, "the helpers are silent");
    assert_eq!(rounds(&mut usage, &[None, Some(State::Used)]), None);
}

/// Guards against memory that stays reserved for an attempt that its engine never received, or does not run any more.
#[test]
fn memory_that_is_not_used_is_released_in_time() {
    for predicted in [Duration::ZERO, Duration::from_secs(35)] {
        for used in [0, 1, 10] {
            let mut usage = Usage::new(TIMEOUT, predicted, 1);
            for _ in 0..used {
                assert_eq!(usage.on_reports(Reply::Report, &[Some(State::Used)]), None);
            }
            let rounds = rounds(&mut usage, &[Some(State::Unused)]).expect("it ends");
            assert!(rounds * INTERVAL >= 3 * TIMEOUT, "{rounds}");
            assert!(rounds * INTERVAL + LAG < MAX_UNUSED, "{rounds}");
        }
    }
}

#[test]
fn engines_that_list_no_reservations_are_waited_for_by_the_predicted_time() {
    for (predicted_ms, expected) in [(0, 12), (2_900, 12), (35_000, 117)] {
        let mut usage = Usage::new(TIMEOUT, Duration::from_millis(predicted_ms), 1);
        assert_eq!(rounds(&mut usage, &[Some(State::Unlisted)]), Some(expected));
    }
    let mut usage = Usage::new(TIMEOUT, Duration::from_secs(35), 1);
    usage.restart();
    assert_eq!(rounds(&mut usage, &[Some(State::Unlisted)]), Some(12), "in the middle of a stream");
}

#[test]
fn a_reservation_that_is_listed_no_more_ends_the_attempt_at_once() {
    let mut usage = Usage::new(TIMEOUT, Duration::ZERO, 2);
    let unlisted = [Some(State::Used), Some(State::Unlisted)];
    assert_eq!(usage.on_reports(Reply::Report, &unlisted), None, "the report is older");
    usage.on_reports(Reply::Report, &[Some(State::Used), Some(State::Unused)]);
    usage.restart();
    let ending = usage.on_reports(Reply::Unanswered, &unlisted);
    assert_eq!(ending, Some((Some(1), Ending::Expired)));
}

#[test]
fn silent_engines_do_not_show_that_memory_is_not_used() {
    let mut usage = Usage::new(TIMEOUT, Duration::ZERO, 1);
    for reply in [Reply::Unanswered, Reply::Inconclusive].repeat(50) {
        assert_eq!(usage.on_reports(reply, &[None]), None);
    }
}
