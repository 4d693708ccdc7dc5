//! How long an attempt renews a reservation.

use std::time::{Duration, Instant};

use foldlock_request::renewal::{Outcome, Renewal};

/// Lifetime and interval where memory must be released within 4 s.
const LIFETIME: Duration = Duration::from_millis(3_400);
const INTERVAL: Duration = Duration::from_millis(1_400);

/// How long an order takes that is not answered.
const UNANSWERED_TIME: Duration = Duration::from_millis(250);

fn renewal() -> (Renewal, Instant) {
    let start = Instant::now();
    (Renewal::new(LIFETIME, INTERVAL, start), start)
}

/// Sends orders that are not answered until `end`. Returns their number.
fn lose_orders(renewal: &mut Renewal, end: Instant) -> u32 {
    let mut orders = 0;
    while renewal.due() < end {
        let sent = renewal.due();
        renewal.on_order(Outcome::Unconfirmed, sent, sent + UNANSWERED_TIME);
        orders += 1;
    }
    orders
}

/// Guards against reservations of engines that are stopped for 1.5 s, from any moment on.
#[test]
fn a_renewal_is_repeated_before_the_reservation_expires() {
    for stop_ms in (0..1_400).step_by(50) {
        let (mut renewal, start) = renewal();
        lose_orders(&mut renewal, start + Duration::from_millis(stop_ms + 1_500));
        assert!(renewal.due() + UNANSWERED_TIME < renewal.limit(), "{stop_ms}");
        let now = renewal.due();
        renewal.on_order(Outcome::Renewed, now, now);
        assert_eq!((renewal.due(), renewal.limit()), (now + INTERVAL, now + LIFETIME));
    }
}

/// After its limit an order would reserve memory that no request uses.
#[test]
fn a_reservation_that_was_not_renewed_ends() {
    let (mut renewal, start) = renewal();
    let limit = renewal.limit();
    let orders = lose_orders(&mut renewal, limit);
    assert!(orders <= 8, "{orders}");
    assert_eq!(renewal.limit(), start + LIFETIME);
    assert!(renewal.expires() <= limit + UNANSWERED_TIME + LIFETIME, "an order may have arrived");
}

#[test]
fn an_engine_that_refuses_a_renewal_has_not_extended_the_reservation() {
    let (mut renewal, start) = renewal();
    let now = renewal.due();
    renewal.on_order(Outcome::Refused, now, now);
    assert_eq!(renewal.expires(), start + LIFETIME);
    assert!(renewal.due() < renewal.limit(), "it may be renewed again");
}

/// Guards against sound requests whose memory is given up.
#[test]
fn a_reservation_whose_request_runs_is_renewed_again() {
    let (mut renewal, _) = renewal();
    let limit = renewal.limit();
    lose_orders(&mut renewal, limit);
    let now = limit + INTERVAL;
    renewal.resume(now);
    assert_eq!((renewal.due(), renewal.limit()), (now, now + LIFETIME));
}
