//! Routes choose only eligible engines, and depend only on their inputs.

use std::time::Instant;

use foldlock_base::size::Tokens;
use foldlock_connection::wire::Load;
use foldlock_request::affinity::Table;
use foldlock_request::cursor::{Cursor, Key};
use foldlock_request::route::{Candidate, Requirements, Routes};
use foldlock_request::speed::Model;
use foldlock_version::policy::{Policy, Route};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn candidate() -> impl Strategy<Value = Candidate> {
    (0u32..64, prop::array::uniform4(0u64..300_000), 0u64..400_000, 0u64..1_000, 0u32..20).prop_map(
        |(requests, prefill, memory, cached, long_rank)| {
            let load =
                Load { requests, long: 0, prefill: prefill.map(Tokens), memory: Tokens(memory) };
            Candidate {
                engine: format!("engine-{long_rank}").parse().unwrap(),
                own: load,
                fleet: load,
                report: None,
                cached: Tokens(cached),
                memory: Tokens(400_000),
                speed: Model::default(),
                overdue_s: 0.0,
                long_rank,
            }
        },
    )
}

fn requirements(tokens: u64) -> Requirements {
    let class = Policy::default().class(Tokens(tokens));
    Requirements { prompt: Tokens(tokens), memory: Tokens(tokens + 100), class }
}

proptest! {
    /// No request is routed to an engine without the memory for it, by the recorded loads.
    #[test]
    fn no_request_exceeds_the_memory_of_an_engine(
        candidates in prop::collection::vec(candidate(), 1..20),
        tokens in 1u64..399_000,
        seed: u64,
    ) {
        let requirements = requirements(tokens);
        let mut rng = StdRng::seed_from_u64(seed);
        let choice = Routes::default().choose(Route::LengthAware, &requirements, &candidates, &mut rng);
        if let Some(choice) = choice {
            prop_assert!(candidates[choice.index].fits(&requirements));
            prop_assert!(candidates[choice.index].blocked_by(&requirements).is_none());
        } else {
            prop_assert!(candidates.iter().all(|c| c.blocked_by(&requirements).is_some()));
        }
    }

    /// Each route makes the same choice for the same candidates and seed.
    #[test]
    fn choices_are_reproducible(
        candidates in prop::collection::vec(candidate(), 1..20),
        tokens in 1u64..399_000,
        seed: u64,
    ) {
        for route in Route::ALL {
            let choose = || {
                let mut rng = StdRng::seed_from_u64(seed);
                let choice = Routes::default().choose(*route, &requirements(tokens), &candidates, &mut rng);
                choice.map(|c| c.index)
            };
            prop_assert_eq!(choose(), choose());
        }
    }

    /// A longer class never has a higher priority than a shorter one of the same settings and age, and
    /// each class reaches the base priority before its deadline.
    #[test]
    fn priorities_follow_class_and_age(base in 0u8..9, used in 0.0..1.0f64) {
        let policy = Policy::default();
        let aged = |tokens: u64, used| foldlockd::gate::aged_priority(base, policy.class(Tokens(tokens)), used);
        let lengths = [1_000, 20_000, 100_000, 500_000];
        for pair in lengths.windows(2) {
            prop_assert!(aged(pair[0], used) <= aged(pair[1], used));
        }
        for tokens in lengths {
            prop_assert_eq!(aged(tokens, 0.76), base);
            prop_assert!(aged(tokens, used) >= aged(tokens, (used + 0.1).min(1.0)));
        }
    }

    /// The table of prefixes stays bounded and contains the newest entry.
    #[test]
    fn prefixes_stay_bounded(prompts in prop::collection::vec(any::<u64>(), 1..600)) {
        let now = Instant::now();
        let mut table = Table::default();
        for first in prompts {
            let blocks: Vec<u64> = (0..64).map(|i| first.wrapping_add(i)).collect();
            table.insert(&blocks, now);
            prop_assert_eq!(table.cached(&blocks, now, 4), Tokens(64 * 256));
            table.remove_misses(&blocks, 10);
            prop_assert_eq!(table.cached(&blocks, now, 4), Tokens(10 * 256));
        }
    }

    /// A signed cursor is read back unchanged, and any change of its text is detected.
    #[test]
    fn changed_cursors_are_rejected(index: u64, flip in 0usize..400, secret: String) {
        let key = Key::new(&secret);
        let cursor = Cursor {
            engine: "engine-1".parse().unwrap(),
            stream: "1f.3".to_owned(),
            request: "vm-1-2-3".parse().unwrap(),
            organisation: "acme".parse().unwrap(),
            index,
        };
        let text = cursor.sign(&key);
        prop_assert_eq!(Cursor::verify(&key, &text), Ok(cursor));
        let mut bytes = text.clone().into_bytes();
        let at = flip % bytes.len();
        bytes[at] = if bytes[at] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(bytes).unwrap();
        prop_assert!(Cursor::verify(&key, &changed).is_err());
    }
}
