//! An error has `ran: no` only if nothing was sent or the upstream refused every attempt.

use foldlock_base::error::{Kind, Proof, Ran, Refusal, Unsent};
use proptest::prelude::*;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Refused,
    NotConnected,
    Lost,
}

proptest! {
    /// In any sequence of attempts, `ran` is `no` exactly when no attempt may have run.
    #[test]
    fn ran_is_no_exactly_when_no_attempt_may_have_run(
        ends in prop::collection::vec(
            prop_oneof![Just(End::Refused), Just(End::NotConnected), Just(End::Lost)],
            0..8,
        ),
        began: bool,
    ) {
        let mut proof = Proof::NotRun(Unsent::arrived());
        for end in &ends {
            let attempt = proof.send();
            proof = match end {
                End::Refused => attempt.refused(Refusal::from_response(503, Some("no")).unwrap()),
                End::NotConnected => attempt.refused(Refusal::not_connected()),
                End::Lost => attempt.unknown(),
            };
        }
        let error = proof.error(Kind::UpstreamFailed, "", began);
        let may_have_run = ends.contains(&End::Lost);
        prop_assert_eq!(error.ran() == Ran::No, !may_have_run);
    }

    /// A response is a refusal only with an error status and `x-ran: no`.
    #[test]
    fn a_refusal_needs_an_error_status_and_x_ran_no(status in 100u16..600, ran in "no|yes|unknown|") {
        let refusal = Refusal::from_response(status, Some(&ran));
        prop_assert_eq!(refusal.is_some(), status >= 400 && ran == "no");
        prop_assert!(Refusal::from_response(status, None).is_none());
    }
}
