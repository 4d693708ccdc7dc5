//! The `foldlock` command, run as a process.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use expect_test::{Expect, expect};
use foldlock_connection::http::Client;
use foldlock_connection::kv::HttpStore;
use foldlock_version::publish::read_head;
use serde_json::json;
use standin::kv;
use tempfile::TempDir;

fn foldlock(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_foldlock"));
    command.args(args).env("NO_COLOR", "1").env("USER", "ann").output().unwrap()
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name)
}

/// A copy of the settings of the tour example.
fn settings() -> TempDir {
    let dir = TempDir::new().unwrap();
    std::fs::create_dir(dir.path().join("organisation")).unwrap();
    for file in ["fleet.jsonc", "organisation/tour.jsonc"] {
        std::fs::copy(example("tour").join(file), dir.path().join(file)).unwrap();
    }
    dir
}

fn edit(dir: &TempDir, from: &str, to: &str) {
    let path = dir.path().join("organisation/tour.jsonc");
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(path, text.replace(from, to)).unwrap();
}

fn text(dir: &TempDir) -> &str {
    dir.path().to_str().unwrap()
}

fn check(output: &Output, code: i32, stdout: Expect, stderr: Expect) {
    stdout.assert_eq(&String::from_utf8_lossy(&output.stdout));
    stderr.assert_eq(&String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(code));
}

#[test]
fn check_accepts_and_counts() {
    let dir = settings();
    check(
        &foldlock(&["check", text(&dir)]),
        0,
        expect![[r#"
            ok: 1 organisations, 2 kinds, 4 engines, 1 models, 1 services
        "#]],
        expect![""],
    );
}

#[test]
fn check_reports_position_and_nearest_name() {
    let dir = settings();
    edit(&dir, "\"priority\": 1", "\"prioritty\": 1");
    let output = foldlock(&["check", text(&dir)]);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("organisation/tour.jsonc:5:27: kinds.hint.policy.prioritty"), "{error}");
    assert!(error.contains("did you mean `priority`?"), "{error}");
    assert_eq!(output.status.code(), Some(3));
}

#[test]
fn show_prints_origins() {
    let dir = settings();
    let output = foldlock(&["show", text(&dir), "tour/hint", "--origin", "--json"]);
    let value: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(value["timeout_ms"]["value"], 5000);
    assert_eq!(value["timeout_ms"]["origin"], "organisation/tour/hint");
    assert_eq!(value["retries"]["origin"], "default");
}

#[test]
fn show_of_an_unknown_kind_suggests_the_nearest() {
    let dir = settings();
    check(
        &foldlock(&["show", text(&dir), "tour/hnt"]),
        5,
        expect![""],
        expect![[r#"
            there is no kind `hnt`; did you mean `hint`?
        "#]],
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_conflicting_apply_fails_and_overwrites_nothing() {
    let address = ([127, 0, 0, 1], 0).into();
    let kv = kv::serve(address, kv::Settings::default()).await.unwrap();
    let at = kv.server.address.to_string();
    let first = settings();
    let run = |args: Vec<String>| async move {
        let call = move || foldlock(&args.iter().map(String::as_str).collect::<Vec<_>>());
        tokio::task::spawn_blocking(call).await.unwrap()
    };
    let args = |words: &[&str]| words.iter().map(|w| (*w).to_owned()).collect::<Vec<_>>();
    let apply =
        |dir: &TempDir, who: &str| args(&["apply", text(dir), "--kv", &at, "--author", who]);
    assert!(run(apply(&first, "ann")).await.status.success());

    let second = TempDir::new().unwrap();
    let fetched = run(args(&["fetch", text(&second), "--kv", &at])).await;
    assert!(fetched.status.success(), "{fetched:?}");
    edit(&first, "\"timeout_ms\": 5000", "\"timeout_ms\": 6000");
    assert!(run(apply(&first, "ann")).await.status.success());

    edit(&second, "\"timeout_ms\": 5000", "\"timeout_ms\": 7000");
    let lost = run(apply(&second, "ben")).await;
    check(
        &lost,
        4,
        expect![""],
        expect![[r#"
            version 2 by ann: organisation/tour
            the branches above changed since your version; fetch, then apply again
        "#]],
    );
    let again = run(args(&["fetch", text(&second), "--kv", &at])).await;
    assert_eq!(again.status.code(), Some(2), "fetch keeps unapplied changes");
    let store = HttpStore::new(Client::default(), &at);
    assert_eq!(read_head(&store).await.unwrap().0.version, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_first_apply_of_many_branches_retries_at_the_stores_rate_limit() {
    let address = ([127, 0, 0, 1], 0).into();
    let settings = kv::Settings { writes_per_s: 20.0, ..kv::Settings::default() };
    let kv = kv::serve(address, settings).await.unwrap();
    let dir = self::settings();
    for i in 0..40 {
        let path = dir.path().join(format!("organisation/org-{i}.jsonc"));
        std::fs::write(path, format!("// {i}\n{{}}")).unwrap();
    }
    let at = kv.server.address.to_string();
    let path = text(&dir).to_owned();
    let call = move || foldlock(&["apply", &path, "--kv", &at]);
    let output = tokio::task::spawn_blocking(call).await.unwrap();
    assert!(output.status.success(), "{output:?}");
    assert!(kv.kv.stats().limited > 0);
}

#[test]
fn completions_and_schema() {
    assert!(foldlock(&["completions", "bash"]).status.success());
    let schema = foldlock(&["schema", "organisation/x"]);
    let value: serde_json::Value = serde_json::from_slice(&schema.stdout).unwrap();
    assert_eq!(value["properties"]["keys"]["type"], "array");
}

/// A VM with one quarantined and one isolated request.
async fn vm_with_suspects() -> standin::server::Handle {
    let dump = json!({
        "suspects": [
            {"fingerprint": "00000000000000aa", "ended": 3, "proofs": 1, "held_ms": 14_900, "alone": false},
            {"fingerprint": "00000000000000bb", "ended": 2, "proofs": 0, "held_ms": 0, "alone": true},
        ],
        "held": [{
            "fingerprint": "00000000000000aa", "organisation": "acme", "path": "/audit/1", "service": "m",
            "request": "r-1", "vm": "vm-2", "ended": 3, "proofs": 1, "until_ms": 1,
        }],
    });
    let any = "127.0.0.1:0".parse().unwrap();
    let served = standin::server::serve(any, move |request| {
        let dump = dump.clone();
        async move {
            match (request.method().as_str(), request.uri().path()) {
                ("GET", "/dump") => standin::server::json(&dump),
                ("POST", "/release/00000000000000aa") => standin::server::json(&json!({})),
                _ => standin::server::text(404, "nothing is held against it here\n"),
            }
        }
    });
    served.await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn held_lists_quarantined_requests_and_release_ends_the_quarantine() {
    let vm = vm_with_suspects().await;
    let address = vm.address.to_string();
    let output = foldlock(&["held", "--vm", &address]);
    let shown = String::from_utf8_lossy(&output.stdout);
    // The port, and so the padding after it, differs between runs.
    let sentences: Vec<&str> =
        shown.lines().map(|line| line.strip_prefix(&address).unwrap().trim_start()).collect();
    let held = "00000000000000aa is quarantined for 14.9 s: 3 upstreams crashed while running it; /audit/1 of \
                acme, latest request r-1 at vm-2";
    assert_eq!(
        sentences,
        [held, "00000000000000bb is isolated: 2 upstreams crashed while running it"]
    );
    check(
        &foldlock(&["release", "00000000000000aa", "--vm", &address]),
        0,
        expect![[r#"
            00000000000000aa is released and may share upstreams again
        "#]],
        expect![""],
    );
    let none = foldlock(&["release", "00000000000000cc", "--vm", &address]);
    assert_eq!(none.status.code(), Some(5));
}
