//! Settings are validated as a whole; faults give the position and what is allowed.

use std::sync::Arc;

use expect_test::{Expect, expect};
use foldlock_version::branch::Name;
use foldlock_version::tree::{Origin, Texts, Tree, hash_of_key};
use proptest::prelude::*;

const FLEET: &str = r#"{
  // a comment
  "policy": { "timeout_ms": 9000 },
  "halls": { "ariana": { "region": "tunis" } },
  "models": { "base": { "bytes_per_token": 4, "context_tokens": 1000 } },
  "engines": {
    "e1": { "address": "127.0.0.1:1", "hall": "ariana", "models": ["base"], "memory_tokens": 9 },
  },
}"#;

fn texts(fleet: &str, organisation: &str) -> Texts {
    let mut texts = Texts::new();
    texts.insert(Name::Fleet, Arc::from(fleet));
    texts.insert(Name::Organisation("acme".parse().unwrap()), Arc::from(organisation));
    texts
}

fn faults(fleet: &str, organisation: &str, expected: Expect) {
    let faults = Tree::build(&texts(fleet, organisation)).map(|_| ()).unwrap_err();
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    expected.assert_eq(&lines.join("\n"));
}

#[test]
fn a_syntax_error_is_reported() {
    faults(
        "{ \"policy\": ",
        "{}",
        expect!["fleet.jsonc:1:13: Expected value after colon in object property"],
    );
}

#[test]
fn a_duplicate_name_is_reported() {
    faults(
        FLEET,
        "{ \"keys\": [],\n  \"keys\": [] }",
        expect![[r#"organisation/acme.jsonc:2:3: duplicate name "keys" in the same object"#]],
    );
}

#[test]
fn an_unknown_name_suggests_the_nearest() {
    faults(
        FLEET,
        "{\n  \"policy\": { \"timeout_s\": 3 }\n}",
        expect![[
            r#"organisation/acme.jsonc:2:15: policy.timeout_s: unknown name `timeout_s`; allowed names: route, timeout_ms, priority, long_tokens, max_body_bytes, max_answer_tokens, repeatable, resume, retries, retry_budget_percent, weight, concurrency, requests_per_s, prompt_tokens_per_s, resume_window_ms; did you mean `timeout_ms`?"#
        ]],
    );
}

#[test]
fn values_out_of_range_or_of_the_wrong_type_are_reported() {
    faults(
        FLEET,
        r#"{ "policy": { "priority": 10, "weight": "big", "route": "length" } }"#,
        expect![[r#"
            organisation/acme.jsonc:1:15: policy.priority: 10 is greater than the maximum of 9
            organisation/acme.jsonc:1:31: policy.weight: "big" is not of type "integer"
            organisation/acme.jsonc:1:48: policy.route: "length" is not valid under any of the schemas listed in the 'oneOf' keyword"#]],
    );
}

#[test]
fn a_dangling_reference_is_reported() {
    let fleet = FLEET.replace("\"hall\": \"ariana\"", "\"hall\": \"arianna\"");
    faults(
        &fleet,
        "{}",
        expect![
            "fleet.jsonc:7:39: engines.e1.hall: `arianna` is not one of: ariana; did you mean `ariana`?"
        ],
    );
}

#[test]
fn a_kind_may_not_exceed_its_organisation() {
    faults(
        FLEET,
        r#"{ "policy": { "concurrency": 5 }, "kinds": { "x": { "policy": { "concurrency": 6 } } } }"#,
        expect![
            "organisation/acme.jsonc:1:65: kinds.x.policy.concurrency: 6 exceeds the organisation's limit of 5"
        ],
    );
}

#[test]
fn values_are_inherited_and_keys_resolved() {
    let hash = hash_of_key("open sesame");
    let organisation = format!(
        r#"{{ "keys": ["{hash}"], "policy": {{ "weight": 3 }},
            "kinds": {{ "hint": {{ "policy": {{ "priority": 1 }} }} }} }}"#
    );
    let tree = Tree::build(&texts(FLEET, &organisation)).unwrap();
    let acme = tree.organisation_of("open sesame").unwrap();
    assert!(tree.organisation_of("open sesam").is_none());
    let hint = tree.effective(acme, Some(&"hint".parse().unwrap())).unwrap();
    let policy = &hint.policy;
    assert_eq!((policy.timeout_ms, policy.weight, policy.priority), (9000, 3, 1));
    assert_eq!(hint.origins["timeout_ms"], Origin::Branch(Name::Fleet));
    assert_eq!(hint.origins["retries"], Origin::Default);
    assert_eq!(hint.origins["priority"].to_string(), "organisation/acme/hint");
}

proptest! {
    /// Any text is accepted, or rejected with a position inside it; it never causes a panic.
    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC*|[\\[\\]{}\":,a-z0-9 \n/*]*") {
        if let Err(faults) = Tree::build(&texts(FLEET, &text)) {
            for fault in faults {
                prop_assert!(fault.position.line <= text.lines().count().max(1) + 1);
            }
        }
    }
}
