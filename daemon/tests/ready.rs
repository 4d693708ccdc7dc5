//! A VM is ready only once its settings are applied, so that no request is rejected for a lack of
//! engines.

mod common;

use std::collections::BTreeMap;

use foldlock_base::size::Tokens;
use foldlock_version::head::Head;
use foldlock_version::tree::Texts;
use foldlockd::current::{Current, Outcome};
use foldlockd::process;
use standin::fleet::{Fleet, MODEL};

fn head() -> Head {
    Head::default().next("1", "test", BTreeMap::new())
}

/// A version that is visible before its engines are known makes requests fail as too long for an
/// engine memory of 0.
#[tokio::test]
async fn a_version_is_visible_only_once_its_engines_are_known() {
    let fleet = Fleet::stand_ins(common::plan()).await;
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let vm = process::start(common::config(&fleet), log).await.unwrap().process;
    let texts: Texts = fleet.texts();
    let has_engines = || vm.engines.memory(&MODEL.parse().unwrap()).1 > Tokens(0);
    assert!(!has_engines());
    assert!(!vm.ready());
    assert!(matches!(vm.advance(head(), texts), Outcome::Advanced));
    assert!(has_engines(), "a request received now would be rejected as too long");
    assert!(vm.ready());
}

#[tokio::test]
async fn a_version_becomes_visible_after_it_is_prepared() {
    let fleet = Fleet::stand_ins(common::plan()).await;
    let current = Current::default();
    let mut prepared = Vec::new();
    let is_visible = || current.number() > 0 || current.get().head.version > 0;
    for _ in 0..2 {
        current.advance(head(), fleet.texts(), |version| {
            prepared.push((version.head.version, is_visible()));
        });
    }
    assert_eq!(prepared, [(1, false)], "once, before it is visible");
    assert!(is_visible());
}
