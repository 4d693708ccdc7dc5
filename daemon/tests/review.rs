//! Faults that a review of the open attempts of a request found (issue 75).

mod common;

use std::time::{Duration, Instant};

use common::{assert_complete, plan, prompt, send, streamed_request};
use serde_json::json;
use standin::fault::{Fault, Kind};
use standin::fleet::{Fleet, Plan, wait_for};

/// Guards against an attempt that goes on at its engine after another one has responded: it was cancelled before the head of
/// its response had arrived, so that its stream had no id, and the engine keeps a stream without a reader for 20 s.
#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_that_is_superseded_before_its_response_head_is_cancelled() {
    // Without a time for callers to return, the engine ends the stream by itself.
    for resume_window_ms in [0, 20_000] {
        let ended = time_until_cancelled(resume_window_ms).await;
        assert!(
            ended < Duration::from_secs(2),
            "{resume_window_ms} ms: the first attempt went on for {ended:?}"
        );
    }
}

/// The time for which an attempt goes on at its engine after another one was sent, which responds at once.
async fn time_until_cancelled(resume_window_ms: u64) -> Duration {
    let policy = json!({ "resume_window_ms": resume_window_ms });
    let fleet = Fleet::start(Plan { policy, ..plan() }).await;
    for engine in &fleet.engines {
        engine.engine.add_fault(Fault { kind: Kind::DelayResponse(60_000), at: 0, count: 1 });
    }
    // Long enough that the first attempt has not ended by itself.
    let request = streamed_request(prompt(100), 3_000);
    let started = async {
        let runs = |e: &standin::engine_http::Serving| !e.engine.stats().runs.is_empty();
        wait_for("the request to run", async || fleet.engines.iter().any(runs)).await;
        let others: Vec<_> = fleet.engines.iter().filter(|e| !runs(e)).collect();
        others.iter().for_each(|e| e.engine.clear_faults());
        wait_for("another attempt", async || others.iter().any(|e| runs(e))).await;
        let asked = Instant::now();
        let first = fleet.engines.iter().find(|e| !others.iter().any(|o| std::ptr::eq(*o, *e)));
        let first = first.unwrap();
        tokio::time::sleep(Duration::from_millis(200)).await;
        wait_for("the first attempt to end", async || first.engine.stats().used == 0).await;
        asked.elapsed()
    };
    let (answer, ended) = tokio::join!(send(&fleet, 0, &request), started);
    assert_complete(&answer, &request);
    assert!(answer.total > Duration::from_secs(3), "{answer:?}");
    ended
}
