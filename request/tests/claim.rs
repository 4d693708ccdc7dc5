//! Claims: of any number of attempts with the same key, at most one may run.

use std::collections::HashMap;

use foldlock_connection::wire::{Action, Claim, Verdict};
use foldlock_request::claim::{Log, SLOTS};
use proptest::prelude::*;

/// A store with compare-and-swap, in memory.
#[derive(Default)]
struct Store {
    slots: HashMap<usize, (String, u64)>,
    revision: u64,
}

impl Store {
    fn swap(&mut self, slot: usize, expected: u64, text: &str) -> Option<u64> {
        let current = self.slots.get(&slot).map_or(0, |(_, revision)| *revision);
        if current != expected {
            return None;
        }
        self.revision += 1;
        self.slots.insert(slot, (text.to_owned(), self.revision));
        Some(self.revision)
    }

    fn read_new_entries(&self, log: &mut Log) {
        let mut slot = log.current();
        for _ in 0..SLOTS {
            let entry = self.slots.get(&slot).map(|(text, revision)| (text.as_str(), *revision));
            if !log.load(slot, entry).unwrap() {
                return;
            }
            slot = (slot + 1) % SLOTS;
        }
    }
}

/// One operation of a writer.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Claims a key for a new attempt.
    Claim { writer: usize, key: u8 },
    /// Writes the outcome of the newest attempt that won the key: done, or released.
    Settle { writer: usize, key: u8, done: bool },
    /// Claims a key, but the store's response is lost: the writer cannot tell whether the write
    /// took effect.
    Lost { writer: usize, key: u8 },
    /// Restarts the writer, which reads the whole log.
    Restart { writer: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let writer = 0usize..3;
    let key = 0u8..6;
    prop_oneof![
        5 => (writer.clone(), key.clone()).prop_map(|(writer, key)| Step::Claim { writer, key }),
        2 => (writer.clone(), key.clone(), any::<bool>())
            .prop_map(|(writer, key, done)| Step::Settle { writer, key, done }),
        2 => (writer.clone(), key).prop_map(|(writer, key)| Step::Lost { writer, key }),
        1 => writer.prop_map(|writer| Step::Restart { writer }),
    ]
}

#[derive(Default)]
struct Simulation {
    store: Store,
    logs: Vec<Log>,
    /// Attempts that won a key and did not release it, by key.
    holders: HashMap<u128, Vec<u128>>,
    nonce: u128,
    now_ms: u64,
}

impl Simulation {
    fn write(&mut self, writer: usize, claim: &Claim, lost: bool) -> Verdict {
        loop {
            let batch =
                self.logs[writer].prepare(std::slice::from_ref(claim), self.now_ms).unwrap();
            let Some(text) = &batch.text else { return batch.verdicts[0] };
            match self.store.swap(batch.slot, batch.expected_revision, text) {
                Some(_) if lost => {
                    // The response is lost: the writer reads new entries and decides again.
                    self.store.read_new_entries(&mut self.logs[writer]);
                }
                Some(revision) => {
                    self.logs[writer].commit(&batch, revision);
                    return batch.verdicts[0];
                }
                None => self.store.read_new_entries(&mut self.logs[writer]),
            }
        }
    }

    fn claim(&mut self, writer: usize, key: u8, lost: bool) {
        self.nonce += 1;
        let claim = Claim { key: key.into(), nonce: self.nonce, action: Action::Claim };
        if self.write(writer, &claim, lost) == Verdict::Won {
            self.holders.entry(key.into()).or_default().push(self.nonce);
        }
    }

    fn settle(&mut self, writer: usize, key: u8, done: bool) {
        let holders = self.holders.entry(key.into()).or_default();
        let Some(nonce) = holders.last().copied() else { return };
        let action = if done { Action::Done } else { Action::Release };
        if !done {
            holders.pop();
        }
        self.write(writer, &Claim { key: key.into(), nonce, action }, false);
        if done {
            // The attempt ran to its end, so the key cannot be released any more; the 0 marks this.
            self.holders.insert(key.into(), vec![nonce, 0]);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3000))]

    /// Random schedules of three writers that conflict, lose responses of the store and restart.
    #[test]
    fn at_most_one_attempt_holds_a_key(steps in prop::collection::vec(step(), 1..60)) {
        let mut simulation = Simulation { logs: (0..3).map(|_| Log::new(0)).collect(), ..Simulation::default() };
        for step in steps {
            simulation.now_ms += 10;
            match step {
                Step::Claim { writer, key } => simulation.claim(writer, key, false),
                Step::Lost { writer, key } => simulation.claim(writer, key, true),
                Step::Settle { writer, key, done } => {
                    let ran = simulation.holders.get(&key.into()).is_some_and(|h| h.len() > 1);
                    if !ran {
                        simulation.settle(writer, key, done);
                    }
                }
                Step::Restart { writer } => {
                    let mut log = Log::new(0);
                    let slots = simulation.store.slots.iter();
                    let all = slots.map(|(slot, (text, rev))| (*slot, text.clone(), *rev));
                    log.restore(all.collect()).unwrap();
                    simulation.logs[writer] = log;
                }
            }
            for (key, holders) in &simulation.holders {
                let live = holders.iter().filter(|n| **n != 0).count();
                prop_assert!(live <= 1, "key {key} is held by {holders:?}");
            }
        }
    }
}

/// A full ring rejects new claims instead of overwriting claims within their retention time.
#[test]
fn claims_within_retention_are_never_overwritten() {
    let now_ms = 1_000;
    let mut log = Log::new(0);
    let mut revision = 0;
    let mut key = 0;
    loop {
        let claims: Vec<Claim> =
            (0..1_000).map(|i| Claim { key: key + i, nonce: 1, action: Action::Claim }).collect();
        let Ok(batch) = log.prepare(&claims, now_ms) else { break };
        key += 1_000;
        revision += 1;
        log.commit(&batch, revision);
    }
    assert_eq!(log.len() as u128, key);
    let again = Claim { key: 5, nonce: 2, action: Action::Claim };
    assert!(log.prepare(std::slice::from_ref(&again), now_ms).is_err());
    // Once the oldest claims are past retention, new ones are accepted.
    assert!(log.prepare(&[again], now_ms + 4_000_000).is_ok());
}
