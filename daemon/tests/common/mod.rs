//! Helpers of the tests with real processes.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::Duration;

use foldlockd::config::Config;
use serde_json::json;
use standin::client::{self, Answer, Request};
use standin::fleet::{Fleet, MODEL, Plan};

/// The plan of a small fleet.
pub(crate) fn plan() -> Plan {
    Plan::small(env!("CARGO_BIN_EXE_foldlockd"))
}

/// A plan where each organisation has a kind `paid`, whose requests must not be retried.
pub(crate) fn paid_plan() -> Plan {
    let organisation = json!({ "kinds": { "paid": { "policy": { "repeatable": false } } } });
    Plan { organisation, ..plan() }
}

/// A prompt with the given number of tokens.
pub(crate) fn prompt(tokens: usize) -> String {
    (0..tokens).map(|i| format!("{:03} ", i % 1000)).collect()
}

/// A streamed request of the first organisation.
pub(crate) fn streamed_request(prompt: String, max_tokens: u64) -> Request {
    Request {
        key: "key-0".to_owned(),
        model: MODEL.to_owned(),
        prompt,
        max_tokens,
        stream: true,
        timeout: Some(Duration::from_secs(20)),
        ..Request::default()
    }
}

/// Sends a request through a VM.
pub(crate) async fn send(fleet: &Fleet, vm: usize, request: &Request) -> Answer {
    client::send(&fleet.client, fleet.vms[vm].listen, request).await
}

/// Asserts that an answer is complete and belongs to its prompt.
pub(crate) fn assert_complete(answer: &Answer, request: &Request) {
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.complete, "{answer:?}");
    let expected = standin::answer::generate(request.prompt.as_bytes(), request.max_tokens);
    assert_eq!(answer.text, expected);
}

/// The configuration of a VM that gets no settings from peers.
pub(crate) fn config(fleet: &Fleet) -> Config {
    let any = "127.0.0.1:0".parse().unwrap();
    Config {
        vm: "vm-9".parse().unwrap(),
        hall: "charguia".parse().unwrap(),
        listen: any,
        control: any,
        kv: fleet.kv.server.address,
        vms: fleet.list.server.address,
        drain: Duration::from_millis(100),
        threads: None,
        log_level: "error".to_owned(),
    }
}
