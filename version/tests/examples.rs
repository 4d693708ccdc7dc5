//! The settings in `examples/` are valid.

use std::path::Path;
use std::sync::Arc;

use foldlock_version::branch::Name;
use foldlock_version::tree::{Texts, Tree};

fn tree(name: &str) -> Tree {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name);
    let mut texts = Texts::new();
    let fleet = std::fs::read_to_string(dir.join("fleet.jsonc")).unwrap();
    texts.insert(Name::Fleet, Arc::from(fleet));
    for entry in std::fs::read_dir(dir.join("organisation")).unwrap() {
        let path = entry.unwrap().path();
        let id = path.file_stem().unwrap().to_str().unwrap().parse().unwrap();
        let text = std::fs::read_to_string(&path).unwrap();
        texts.insert(Name::Organisation(id), Arc::from(text));
    }
    Tree::build(&texts).unwrap_or_else(|faults| panic!("{faults:?}"))
}

#[test]
fn the_tunis_example_is_accepted() {
    let tree = tree("tunis");
    assert_eq!(tree.fleet.engines.len(), 20);
    let member = tree.organisation_of("member-a-key").unwrap();
    let audit = tree.effective(member, Some(&"audit".parse().unwrap())).unwrap();
    assert_eq!((audit.policy.timeout_ms, audit.policy.weight), (900_000, 4));
}

#[test]
fn the_hcm_example_is_accepted() {
    let tree = tree("hcm");
    let school = tree.organisation_of("school-key").unwrap();
    let textbook = tree.effective(school, Some(&"textbook".parse().unwrap())).unwrap();
    assert!(!textbook.policy.repeatable);
}

#[test]
fn the_tour_example_is_accepted() {
    assert_eq!(tree("tour").fleet.engines.len(), 4);
}
