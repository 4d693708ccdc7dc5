//! Runs a workload: sends open-loop arrivals to a target and records the outcome of each.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use standin::client::Answer;
use standin::workload::{Arrival, Workload};

use crate::table::Times;

/// A request and its outcome.
pub(crate) struct Outcome {
    pub(crate) arrival: Arrival,
    pub(crate) answer: Answer,
    /// Seconds from the scheduled send time to the first token.
    pub(crate) first_token: Option<f64>,
    /// Whether the complete and correct answer arrived within the timeout.
    pub(crate) good: bool,
    /// Whether a retry after the time in `retry-after-ms` was admitted; none without that header.
    pub(crate) retry_admitted: Option<bool>,
}

/// Sends each arrival at its scheduled time. A late one is sent at once; its delay is added to its
/// times.
pub(crate) async fn open_loop<F, R>(
    workload: &Arc<Workload>,
    arrivals: Vec<Arrival>,
    send: F,
) -> Vec<Outcome>
where
    F: Fn(Arc<Arrival>, String) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = (Answer, Option<bool>)> + Send + 'static,
{
    let start = Instant::now();
    let mut tasks = Vec::new();
    for arrival in arrivals {
        let due = start + arrival.at;
        let (workload, send) = (workload.clone(), send.clone());
        let prompt = arrival.prompt(&workload);
        let expected = standin::answer::generate(prompt.as_bytes(), arrival.answer);
        tokio::time::sleep_until(due.into()).await;
        tasks.push(tokio::spawn(send_one(due, arrival, prompt, expected, send)));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.expect("a request's task"));
    }
    outcomes
}

async fn send_one<F, R>(
    due: Instant,
    arrival: Arrival,
    prompt: String,
    expected: String,
    send: F,
) -> Outcome
where
    F: Fn(Arc<Arrival>, String) -> R,
    R: Future<Output = (Answer, Option<bool>)>,
{
    let arrival = Arc::new(arrival);
    let sent = Instant::now();
    let delay = sent - due;
    let (answer, retry_admitted) = send(arrival.clone(), prompt).await;
    let first_token = answer.first_token.map(|d| (d + delay).as_secs_f64());
    let correct = answer.complete && answer.text == expected;
    assert!(
        !answer.complete || correct,
        "complete answer does not belong to its prompt: {answer:?}"
    );
    let good = correct && answer.total + delay <= arrival.timeout + Duration::from_millis(50);
    let arrival = Arc::unwrap_or_clone(arrival);
    Outcome { arrival, answer, first_token, good, retry_admitted }
}

/// Bands of prompt lengths: name and maximum number of tokens.
pub(crate) const BANDS: [(&str, u64); 5] = [
    ("4k", 4_000),
    ("32k", 32_000),
    ("100k", 100_000),
    ("one engine", 400_000),
    ("beyond", u64::MAX),
];

/// Times to first token by band.
pub(crate) fn first_tokens(outcomes: &[Outcome]) -> Vec<Times> {
    let mut bands: Vec<Times> = BANDS.iter().map(|_| Times::default()).collect();
    for outcome in outcomes {
        let band = BANDS.iter().position(|(_, end)| outcome.arrival.tokens <= *end);
        if let (Some(band), Some(seconds)) = (band, outcome.first_token) {
            bands[band].add(seconds);
        }
    }
    bands
}
