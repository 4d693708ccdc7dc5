//! Guards against callers that retry while an outage still lasts. All VMs are killed while the
//! directory is unavailable and new requests keep arriving; they are rejected until it is back.
//! Each caller has ten seconds and retries once.

use std::time::Duration;

use foldlock_request::retry_after::Cause;

/// The time limit of callers with short and middle prompts at the users' sites.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// The share of the callers rejected in an outage whose retry comes after its end. `left` is the
/// part of the outage that remains when the VMs have restarted; a caller arrives every 20 ms.
fn retried_after_outage(left: Duration, cause: Cause) -> f64 {
    let step = Duration::from_millis(20);
    let rejected = left.as_millis() / step.as_millis();
    let outlasts = |i: &u128| step * *i as u32 + cause.retry_after(TIME_LIMIT) >= left;
    (0..rejected).filter(outlasts).count() as f64 / rejected as f64
}

/// The users' outages last 4 to 9 s, of which 2 to 6 s remain when all VMs have restarted.
#[test]
fn retries_outlast_an_outage_in_which_all_vms_started() {
    let share = |seconds| retried_after_outage(Duration::from_secs(seconds), Cause::NoSettings);
    assert_eq!(share(3), 1.0);
    assert!(share(6) > 0.5, "{}", share(6));
    let early = retried_after_outage(Duration::from_secs(3), Cause::StaleSettings);
    assert!(early < 0.2, "a retry after half a second serves {early} of them");
}

/// Two thirds of the time remain for the response.
#[test]
fn the_retry_time_leaves_two_thirds_of_a_short_deadline() {
    for ms in [400, 1_200, 2_500, 15_000] {
        let time = Duration::from_millis(ms);
        assert!(Cause::NoSettings.retry_after(time) * 3 <= time + Duration::from_millis(1));
    }
}
