//! Version numbers only increase, and each change is applied once, for any interleaving of
//! operators.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use foldlock_version::branch::Name;
use foldlock_version::head::{self, Hash, Head};
use foldlock_version::publish::{Base, Outcome, Publish, Rejection, read_head};
use foldlock_version::store::{Entry, Failure, Store};
use foldlock_version::tree::Texts;
use proptest::prelude::*;

#[derive(Default)]
struct Inner {
    values: BTreeMap<String, (Vec<u8>, u64)>,
    revision: u64,
    calls: u64,
    lost_responses: Vec<u64>,
}

/// An in-memory store that applies the writes with the given numbers but returns an error for them.
#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Inner>>);

impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Failure> {
        // Lets the tasks of other operators run between calls.
        tokio::task::yield_now().await;
        let inner = self.0.lock().unwrap();
        let entry = inner.values.get(key);
        Ok(entry.map(|(value, revision)| Entry { value: value.clone(), revision: *revision }))
    }

    async fn swap(&self, key: &str, expected: u64, value: Vec<u8>) -> Result<u64, Failure> {
        tokio::task::yield_now().await;
        let mut inner = self.0.lock().unwrap();
        inner.calls += 1;
        let current = inner.values.get(key).map_or(0, |(_, revision)| *revision);
        if current != expected {
            return Err(Failure::Conflict);
        }
        inner.revision += 1;
        let revision = inner.revision;
        inner.values.insert(key.to_owned(), (value, revision));
        if inner.lost_responses.contains(&inner.calls) {
            return Err(Failure::Unavailable("lost".to_owned()));
        }
        Ok(revision)
    }

    async fn delete(&self, _key: &str, _expected: u64) -> Result<(), Failure> {
        Err(Failure::Conflict)
    }

    async fn watch(&self, _: &str, _: u64, _: Duration) -> Result<Option<Entry>, Failure> {
        Ok(None)
    }
}

fn texts(marks: &[u32]) -> Texts {
    let mut texts = Texts::new();
    texts.insert(Name::Fleet, Arc::from("{}"));
    for (i, mark) in marks.iter().enumerate() {
        let name = Name::Organisation(format!("org-{i}").parse().unwrap());
        texts.insert(name, format!("// {mark}\n{{}}").into());
    }
    texts
}

fn base_of(texts: &Texts, version: u64) -> Base {
    let branches = texts.iter().map(|(n, t)| (n.clone(), Hash::of(t))).collect();
    Base { version, branches }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Operators that start from the same version change one branch each, while some responses are
    /// lost. Exactly one change per branch is accepted, the others get a conflict, and no change is
    /// in the tail twice.
    #[test]
    fn each_change_is_applied_once(
        branches in prop::collection::vec(0usize..3, 1..8),
        lost_responses in prop::collection::vec(1u64..30, 0..6),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(async {
            let store = Memory::default();
            let first = texts(&[0, 0, 0]);
            let publish = Publish { store: &store, id: "first".to_owned(), author: "a".to_owned() };
            publish.run(&Base::default(), &first).await.unwrap();
            store.0.lock().unwrap().lost_responses = lost_responses;
            let base = base_of(&first, 1);
            let operators = branches.iter().enumerate().map(|(i, branch)| {
                let (store, base) = (store.clone(), base.clone());
                let mut marks = [0, 0, 0];
                marks[*branch] = i as u32 + 1;
                async move {
                    let id = format!("change-{i}");
                    let publish = Publish { store: &store, id, author: format!("op-{i}") };
                    publish.run(&base, &texts(&marks)).await
                }
            });
            let results = futures::future::join_all(operators).await;
            let mut won: BTreeMap<usize, u32> = BTreeMap::new();
            for (branch, result) in branches.iter().zip(&results) {
                match result {
                    Ok(Outcome::Accepted(_)) => *won.entry(*branch).or_default() += 1,
                    Ok(Outcome::Unchanged(_)) => panic!("each change differs"),
                    Err(Rejection::Conflict(changes)) => assert!(!changes.is_empty()),
                    Err(e) => panic!("{e}"),
                }
            }
            let (head, _) = read_head(&store).await.unwrap();
            for branch in &branches {
                assert_eq!(won.get(branch), Some(&1), "{branch}: {results:?}");
            }
            assert_eq!(head.version, 1 + won.len() as u64);
            let mut ids: Vec<&str> = head.tail.iter().map(|c| c.id.as_str()).collect();
            ids.sort_unstable();
            ids.dedup();
            assert_eq!(ids.len(), head.tail.len());
        });
    }

    /// The tail has a bounded length and ends with the latest change.
    #[test]
    fn the_tail_is_bounded(changes in 1u32..200) {
        let mut head = Head::default();
        for i in 0..changes {
            let branches = BTreeMap::from([(Name::Fleet, Hash::of(&i.to_string()))]);
            head = head.next(&format!("c{i}"), "a", branches);
        }
        prop_assert_eq!(head.version, u64::from(changes));
        prop_assert!(head.tail.len() <= head::MAX_TAIL_LEN);
        prop_assert_eq!(head.tail.last().unwrap().version, head.version);
    }
}
