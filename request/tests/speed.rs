//! The learnt speed of an engine.

use foldlock_request::speed::{Model, Work};
use proptest::prelude::*;

fn work() -> impl Strategy<Value = Work> {
    (0.0..20_000.0, 1.0..400_000.0, 0.0..4_000.0, 0u32..2)
        .prop_map(|(queued, uncached, cached, long)| Work::new(queued, uncached, cached, long))
}

proptest! {
    /// For any samples, predictions stay finite, not negative and bounded by the samples.
    #[test]
    fn predictions_stay_bounded(samples in prop::collection::vec((work(), 0.0..100.0), 1..600)) {
        let mut model = Model::default();
        for (work, seconds) in samples {
            model.learn(work, seconds);
            let short = model.predict(Work::new(0.0, 1_000.0, 0.0, 0));
            prop_assert!((0.0..200.0).contains(&short), "{short}");
        }
    }

    /// Many samples of the same small work converge to the observed time.
    #[test]
    fn predictions_converge_to_the_observed_time(tokens in 1.0..100.0, seconds in 0.01..2.0) {
        let mut model = Model::default();
        let work = Work::new(0.0, tokens, 0.0, 0);
        for _ in 0..3_000 {
            model.learn(work, seconds);
        }
        prop_assert!((model.predict(work) - seconds).abs() < 0.1 * seconds + 0.002);
    }

    /// An engine whose time is linear in its work is learnt with an error of at most a tenth.
    #[test]
    fn a_linear_engine_is_learnt(
        base in 0.001..0.05,
        per_token in 0.000_005..0.000_2,
        per_pair in 0.0..5e-10,
        works in prop::collection::vec(work(), 200..300),
    ) {
        let mut model = Model::default();
        let real = |w: &Work| base + per_token * w.tokens + per_pair * w.pairs;
        for work in &works {
            model.learn(*work, real(work));
        }
        for work in works.iter().rev().take(20) {
            let (predicted, real) = (model.predict(*work), real(work));
            prop_assert!((predicted - real).abs() < 0.1 * real + 0.01, "{predicted} {real}");
        }
    }

    /// An engine that slows to a tenth is detected within twenty requests.
    #[test]
    fn an_engine_that_slows_down_is_detected(tokens in 500.0..4_000.0) {
        let mut model = Model::default();
        let work = Work::new(0.0, tokens, 0.0, 0);
        let seconds = 0.01 + tokens * 0.000_05;
        for _ in 0..200 {
            model.learn(work, seconds);
        }
        for _ in 0..20 {
            model.learn(work, seconds * 10.0);
        }
        prop_assert!(model.predict(work) > 3.0 * seconds);
    }
}
