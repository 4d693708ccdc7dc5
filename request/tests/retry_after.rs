//! Guards against callers that retry while an outage still lasts. All VMs are killed while the
//! directory is unavailable and new requests keep arriving; they are rejected until it is back.
//! Each caller has ten seconds and retries once.

use std::time::Duration;

use foldlock_request::retry_after::Cause;

/// The time limit of callers with short and middle prompts at the users' sites.
const TIME: Duration = Duration::from_secs(10);

/// The share of the callers rejected in an outage whose retry comes after its end. `left` is the
/// part of the outage that remains when the VMs have restarted; a caller arrives every 20 ms.
fn served(left: Duration, cause: Cause) -> f64 {
    let step = Duration::from_millis(20);
    let come = left.as_millis() / step.as_millis();
    let back = |i: &u128| step * *i as u32 + cause.retry_after(TIME) >= left;
    (0..come).filter(back).count() as f64 / come as f64
}

/// The users' outages last 4 to 9 s, of which 2 to 6 s remain when all VMs have restarted.
#[test]
fn callers_outlast_an_outage_in_which_all_vms_started() {
    let part = |seconds| served(Duration::from_secs(seconds), Cause::NoSettings);
    assert_eq!(part(3), 1.0);
    assert!(part(6) > 0.5, "{}", part(6));
    let soon = served(Duration::from_secs(3), Cause::OldSettings);
    assert!(soon < 0.2, "coming back after half a second serves {soon} of them");
}

/// Two thirds of the time remain for the response.
#[test]
fn who_has_little_time_comes_back_in_it() {
    for ms in [400, 1_200, 2_500, 15_000] {
        let time = Duration::from_millis(ms);
        assert!(Cause::NoSettings.retry_after(time) * 3 <= time + Duration::from_millis(1));
    }
}
