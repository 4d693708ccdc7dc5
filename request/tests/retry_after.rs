//! The pattern: all VMs are killed while the directory is away, and requests come all the while. They
//! are refused until it is back; each caller has ten seconds and asks once more.

use std::time::Duration;

use foldlock_request::retry_after::Cause;

/// What callers of short and middle prompts have on the users' sites.
const TIME: Duration = Duration::from_secs(10);

/// The part of the callers that come in an outage of which this much is left when the VMs are up
/// again, and that are served when they ask again; one comes each 20 ms.
fn served(left: Duration, cause: Cause) -> f64 {
    let step = Duration::from_millis(20);
    let come = left.as_millis() / step.as_millis();
    let back = |i: &u128| step * *i as u32 + cause.retry_after(TIME) >= left;
    (0..come).filter(back).count() as f64 / come as f64
}

/// The users' outages last 4 to 9 s, of which 2 to 6 s are left when all VMs have started anew.
#[test]
fn callers_outlast_an_outage_in_which_all_vms_started() {
    let part = |seconds| served(Duration::from_secs(seconds), Cause::NoSettings);
    assert_eq!(part(3), 1.0);
    assert!(part(6) > 0.5, "{}", part(6));
    let soon = served(Duration::from_secs(3), Cause::OldSettings);
    assert!(soon < 0.2, "coming back after half a second serves {soon} of them");
}

/// Two thirds of the time are left for the answer.
#[test]
fn who_has_little_time_comes_back_in_it() {
    for ms in [400, 1_200, 2_500, 15_000] {
        let time = Duration::from_millis(ms);
        assert!(Cause::NoSettings.retry_after(time) * 3 <= time + Duration::from_millis(1));
    }
}
