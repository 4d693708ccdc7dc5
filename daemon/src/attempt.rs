//! One attempt: sends a request to its placement and reads the answer to the end. While its engine is silent, another
//! engine may be asked to take over.

pub mod contest;
pub mod silence;
pub mod source;

use std::time::Duration;

use foldlock_base::clock::millis;
use foldlock_base::error::Refusal;
use foldlock_base::prelude::*;
use foldlock_connection::events::Event as Part;
use foldlock_request::decision::Decision;
use futures::TryFutureExt as _;

use crate::engines::EngineQuery;
use crate::gate::{self, Placement};
use crate::serve::{Job, Progress, Sink};
use contest::Next;
use silence::Suspect;
pub use silence::may_repeat;
use source::Source;

/// How an attempt ended.
pub enum End {
    /// The whole answer was sent to the caller.
    Finished,
    /// There was no connection to the engine, so nothing was sent; the reason.
    NotConnected(String),
    /// The request did not run.
    NotRun {
        /// Proof that it did not run.
        proof: Refusal,
        /// Why it did not run.
        why: String,
    },
    /// The answer broke off; the reason.
    Broken(String),
    /// The deadline passed.
    Deadline,
    /// The caller disconnected.
    Gone,
}

/// An attempt that ended.
pub struct Ended {
    /// How it ended.
    pub end: End,
    /// The engine that it ended at.
    pub engine: id::Upstream,
}

/// Runs one attempt of a request.
pub async fn run<S: Sink>(
    job: &Job,
    placement: Placement,
    sink: &mut S,
    progress: &mut Progress,
) -> Ended {
    let mut engine = placement.engine().clone();
    if progress.tokens > 0 {
        record_resumed(job, &engine, progress);
    }
    let mut end = answer(job, placement, sink, progress, &mut engine).await;
    progress.open.clear();
    if progress.another_ran
        && let End::NotConnected(why) | End::NotRun { why, .. } = end
    {
        end = End::Broken(why);
    }
    Ended { end, engine }
}

fn record_resumed(job: &Job, upstream: &id::Upstream, progress: &Progress) {
    job.process.metrics.resumed_answers.inc();
    job.record(Decision::Resumed { index: progress.tokens, upstream: upstream.clone() });
}

async fn answer<S: Sink>(
    job: &Job,
    placement: Placement,
    sink: &mut S,
    progress: &mut Progress,
    engine: &mut id::Upstream,
) -> End {
    let mut source = match first_events(job, placement, sink, progress).await {
        Ok(source) => source,
        Err(end) => return end,
    };
    loop {
        *engine = source.placement.engine().clone();
        sink.on_source(job, engine, source.id());
        // A caller that disconnects may resume the stream from now on.
        source.set_cancel(job.policy.resume_window_ms == 0);
        on_first_token(job, &mut source, progress);
        let end = match relay(job, &mut source, sink, progress).await {
            Relayed::End(end) => end,
            Relayed::Superseded(other) => {
                source.set_cancel(true);
                source = *other;
                record_resumed(job, source.placement.engine(), progress);
                continue;
            }
        };
        source.record_health(&end);
        match end {
            End::Finished => source.set_cancel(false),
            End::Gone => {}
            _ => source.set_cancel(true),
        }
        return end;
    }
}

/// Waits for the first events of an answer.
async fn first_events<S: Sink>(
    job: &Job,
    placement: Placement,
    sink: &S,
    progress: &mut Progress,
) -> Result<Source, End> {
    let suspect = Suspect::first(&placement);
    let begun = source::begin(job, placement, job.order(progress));
    let begun = begun.map_err(|failed| failed.end);
    tokio::pin!(begun);
    match contest::next(job, begun, &suspect, sink, progress).await {
        Next::Events(source) => Ok(source),
        Next::Superseded(other) => {
            job.record(Decision::Moved {
                from: suspect.engine().clone(),
                why: "another engine began to respond first".to_owned(),
            });
            Ok(*other)
        }
        Next::End(end) => Err(end),
    }
}

/// How the relay of a response ended.
enum Relayed {
    End(End),
    /// Another engine goes on with the answer.
    Superseded(Box<Source>),
}

/// Sends the events of a response to the caller until its end.
async fn relay<S: Sink>(
    job: &Job,
    source: &mut Source,
    sink: &mut S,
    progress: &mut Progress,
) -> Relayed {
    let suspect = Suspect::begun(&source.placement);
    loop {
        let ended = add_to_progress(&source.parts, job.policy.resume, progress);
        let sent = tokio::select! {
            sent = sink.send(&source.parts) => sent,
            () = tokio::time::sleep_until(job.deadline.instant().into()) => {
                return Relayed::End(End::Deadline);
            }
        };
        if ended {
            return Relayed::End(finish(job, &source.placement, progress));
        }
        if !sent {
            return Relayed::End(End::Gone);
        }
        let events = source.next();
        tokio::pin!(events);
        match contest::next(job, events, &suspect, sink, progress).await {
            Next::Events(()) => {}
            Next::Superseded(other) => return Relayed::Superseded(other),
            Next::End(end) => return Relayed::End(end),
        }
    }
}

/// Adds parts to the progress. Returns whether the answer has ended.
fn add_to_progress(parts: &[Part], keep_text: bool, progress: &mut Progress) -> bool {
    let mut ended = false;
    for part in parts {
        match part {
            Part::Token { text, .. } => {
                progress.tokens += 1;
                if keep_text {
                    progress.text.push_str(text);
                }
            }
            Part::End { .. } => ended = true,
        }
    }
    ended
}

fn on_first_token(job: &Job, source: &mut Source, progress: &mut Progress) {
    let now = job.process.clock.now();
    let cached = source.cached();
    let placement = &mut source.placement;
    if let Placement::Engine(flight) = placement {
        let real = (now - flight.sent).as_secs_f64();
        job.process.metrics.prediction_ratio.observe(flight.predicted / real.max(1e-6));
    }
    placement.on_first_token(cached);
    if progress.first_token.is_none() {
        let since = now - job.arrived;
        progress.first_token = Some(since);
        job.process.metrics.observe_first_token(job.tokens.0, since.as_secs_f64());
    }
}

fn finish(job: &Job, placement: &Placement, progress: &Progress) -> End {
    let first = progress.first_token.unwrap_or_default();
    let sent = placement.flight().sent - job.arrived;
    job.record(Decision::Finished {
        first_token_ms: millis(first),
        engine_ms: millis(first.saturating_sub(sent)),
        tokens: progress.tokens,
        pause_ms: None,
    });
    End::Finished
}

impl Suspect {
    /// Time without an event after which another engine is considered.
    fn timeout(&self, job: &Job) -> Duration {
        silence::timeout(&self.phase).unwrap_or(Duration::MAX).min(job.left())
    }

    /// Whether another engine is worth asking.
    fn is_overdue(&self, job: &Job, progress: &Progress) -> bool {
        let waited = job.process.clock.now().saturating_duration_since(self.since);
        let Some(within) = silence::worthwhile(&self.phase, waited) else { return true };
        // Engines that failed earlier attempts count too: they may be faster now than this one.
        let query = EngineQuery { avoid: &[], ..gate::engine_query(job, progress) };
        job.process.engines.has_faster(&query, &self.engine, within)
    }
}
