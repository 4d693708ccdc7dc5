//! Published settings come into force on all VMs within seconds and are never reverted.

mod common;

use std::sync::Arc;

use common::{plan, prompt, send, streamed_request};
use foldlock_version::branch::Name;
use foldlock_version::publish::{Base, Rejection, read_head};
use foldlock_version::tree::Texts;
use nix::sys::signal::Signal;
use standin::fleet::{Fleet, Plan, wait_for};

/// Adds a comment to an organisation's text, which leaves its meaning unchanged.
fn with_comment(texts: &Texts, organisation: usize, mark: &str) -> Texts {
    let mut texts = texts.clone();
    let name = Name::Organisation(format!("org-{organisation}").parse().unwrap());
    let text = format!("// {mark}\n{}", texts[&name]);
    texts.insert(name, Arc::from(text));
    texts
}

async fn versions(fleet: &Fleet) -> Vec<u64> {
    let mut versions = Vec::new();
    for vm in &fleet.vms {
        let dump = fleet.dump(vm).await;
        versions.push(dump.map_or(0, |d| d["version"].as_u64().unwrap()));
    }
    versions
}

async fn wait_in_force(fleet: &Fleet, version: u64) {
    wait_for(&format!("version {version} in force"), async || {
        versions(fleet).await.iter().all(|v| *v >= version)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_published_change_comes_into_force_on_all_vms() {
    let fleet = Fleet::start(Plan { vms: 5, ..plan() }).await;
    let mut texts = fleet.texts();
    for round in 0..5 {
        texts = with_comment(&texts, 0, &format!("round {round}"));
        let version = fleet.publish("ann", &texts).await.unwrap();
        wait_in_force(&fleet, version).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rejected_concurrent_publish_names_the_accepted_change() {
    let fleet = Fleet::start(plan()).await;
    let (head, _) = read_head(&fleet.store()).await.unwrap();
    let base = Base::from(&head);
    let texts = fleet.texts();
    let (ann, ben) = (with_comment(&texts, 0, "ann"), with_comment(&texts, 0, "ben"));
    let (first, second) = tokio::join!(
        fleet.publish_from("ann", &base, &ann),
        fleet.publish_from("ben", &base, &ben)
    );
    let (won, lost) = match (first, second) {
        (Ok(version), Err(rejection)) => (("ann", version), rejection),
        (Err(rejection), Ok(version)) => (("ben", version), rejection),
        other => panic!("exactly one must win: {other:?}"),
    };
    let Rejection::Conflict(changes) = lost else { panic!("not reported as a race: {lost:?}") };
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].author.as_str(), changes[0].version), won);
    assert_eq!(changes[0].branches, [Name::Organisation("org-0".parse().unwrap())]);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_to_different_branches_are_both_kept() {
    let fleet = Fleet::start(plan()).await;
    let (head, _) = read_head(&fleet.store()).await.unwrap();
    let base = Base::from(&head);
    let texts = fleet.texts();
    let (ann, ben) = (with_comment(&texts, 0, "ann"), with_comment(&texts, 1, "ben"));
    let (first, second) = tokio::join!(
        fleet.publish_from("ann", &base, &ann),
        fleet.publish_from("ben", &base, &ben)
    );
    let version = first.unwrap().max(second.unwrap());
    let (head, _) = read_head(&fleet.store()).await.unwrap();
    assert_eq!(head.version, version);
    assert_eq!(head.tail.len(), 3, "each change once");
    wait_in_force(&fleet, version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_publish_whose_responses_are_lost_is_applied_once() {
    let fleet = Fleet::start(plan()).await;
    let texts = with_comment(&fleet.texts(), 0, "once");
    // The writes of the text and of the head both take effect, but their responses are lost.
    fleet.kv.kv.adjust(|s| s.lose_answers = 2);
    let version = fleet.publish("ann", &texts).await.unwrap();
    assert_eq!(version, 2);
    let (head, _) = read_head(&fleet.store()).await.unwrap();
    assert_eq!((head.version, head.tail.len()), (2, 2));
    wait_in_force(&fleet, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_starts_during_an_outage_fetches_the_newest_version_from_peers() {
    let mut fleet = Fleet::start(plan()).await;
    let texts = with_comment(&fleet.texts(), 0, "two");
    let version = fleet.publish("ann", &texts).await.unwrap();
    wait_in_force(&fleet, version).await;
    fleet.kv.kv.adjust(|s| s.down = true);
    fleet.add_vm();
    wait_in_force(&fleet, version).await;
    let request = streamed_request(prompt(50), 3);
    common::assert_complete(&send(&fleet, 3, &request).await, &request);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_and_resumed_vm_fetches_the_newest_version() {
    let fleet = Fleet::start(plan()).await;
    fleet.vms[1].signal(Signal::SIGSTOP);
    let mut texts = fleet.texts();
    for round in 0..3 {
        texts = with_comment(&texts, 0, &format!("{round}"));
        fleet.publish("ann", &texts).await.unwrap();
    }
    fleet.vms[1].signal(Signal::SIGCONT);
    wait_in_force(&fleet, 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_spreads_though_the_first_vm_with_it_is_killed() {
    let mut fleet = Fleet::start(Plan { vms: 4, ..plan() }).await;
    let texts = with_comment(&fleet.texts(), 0, "two");
    let version = fleet.publish("ann", &texts).await.unwrap();
    wait_for("one VM to have it in force", async || versions(&fleet).await.contains(&version))
        .await;
    let first = versions(&fleet).await.iter().position(|v| *v == version).unwrap();
    fleet.vms[first].kill();
    fleet.vms.remove(first);
    wait_in_force(&fleet, version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unsupported_version_leaves_the_previous_one_in_force() {
    let fleet = Fleet::start(plan()).await;
    let store = fleet.store();
    // As a newer release would do it: a name that this release does not support, without its checks.
    let (head, revision) = read_head(&store).await.unwrap();
    let text = r#"{ "policy": { "speculation": true } }"#;
    let hash = foldlock_version::head::Hash::of(text);
    use foldlock_version::store::Store as _;
    store.swap(&hash.key(), 0, text.as_bytes().to_vec()).await.unwrap();
    let mut branches = head.branches.clone();
    branches.insert(Name::Fleet, hash);
    let next = head.next("newer", "release", branches);
    let value = serde_json::to_vec(&next).unwrap();
    store.swap(foldlock_version::head::KEY, revision, value).await.unwrap();
    wait_for("each VM to refuse it", async || {
        for vm in &fleet.vms {
            let dump = fleet.dump(vm).await.unwrap();
            let seen = dump["refused_version"] == 2;
            // A VM that does not watch the store would fetch it only from one that has it in force.
            if dump["version"] != 1 || !seen {
                return false;
            }
        }
        true
    })
    .await;
    let request = streamed_request(prompt(50), 3);
    common::assert_complete(&send(&fleet, 0, &request).await, &request);
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_with_faults_are_not_published() {
    let fleet = Fleet::start(plan()).await;
    let mut texts = fleet.texts();
    let name = Name::Organisation("org-0".parse().unwrap());
    texts.insert(name, Arc::from(r#"{ "policy": { "timout_ms": 5 } }"#));
    let rejection = fleet.publish("ann", &texts).await.unwrap_err();
    let text = rejection.to_string();
    assert!(text.contains("organisation/org-0.jsonc:1:15"), "{text}");
    assert!(text.contains("did you mean `timeout_ms`?"), "{text}");
    assert_eq!(versions(&fleet).await, [1, 1, 1]);
}
