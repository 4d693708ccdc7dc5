//! Structured logs: numbered events as JSON lines on standard output.

use foldlock_base::prelude::*;
use foldlock_request::decision;
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Events that wait to be written; beyond that they are dropped and counted.
const QUEUE: usize = 4096;

/// The root logger of a process.
pub fn root(vm: &str, level: &str) -> Logger {
    let level = level.parse().unwrap_or(Level::Info);
    let json = slog_json::Json::new(std::io::stdout()).add_default_keys().build().ignore_res();
    let filtered = LevelFilter::new(json, level).ignore_res();
    let drain = slog_async::Async::new(filtered)
        .chan_size(QUEUE)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("vm" => vm.to_owned()))
}

/// Logs an event with a free text of its particulars.
pub fn event(log: &Logger, event: Event, particulars: impl std::fmt::Display) {
    let number = event.number();
    match event.level() {
        Level::Error | Level::Critical => {
            slog::error!(log, "{}", event.text(); "event" => number, "what" => %particulars);
        }
        Level::Warning => {
            slog::warn!(log, "{}", event.text(); "event" => number, "what" => %particulars);
        }
        Level::Info => {
            slog::info!(log, "{}", event.text(); "event" => number, "what" => %particulars);
        }
        _ => slog::debug!(log, "{}", event.text(); "event" => number, "what" => %particulars),
    }
}

/// Logs a decision on a request with the inputs that led to it, and how many lines were left out
/// before it for their number.
pub fn decision(
    log: &Logger,
    request: &id::Request,
    route: &str,
    step: &decision::Entry,
    left_out: u64,
) {
    let event = step.decision.event();
    let inputs = o!(
        "event" => event.number(),
        "request" => request.as_str().to_owned(),
        "route" => route.to_owned(),
        "step" => slog::Serde(step.clone()),
        "left_out" => (left_out > 0).then_some(left_out),
    );
    let log = log.new(inputs);
    let text = event.text();
    match event.level() {
        Level::Error | Level::Critical | Level::Warning => slog::warn!(log, "{}", text),
        Level::Info => slog::info!(log, "{}", text),
        _ => slog::debug!(log, "{}", text),
    }
}

/// Logs the refusal of a request that was not admitted.
pub fn refused(log: &Logger, request: &id::Request, error: &Error) {
    let event = Event::Rejected;
    slog::info!(log, "{}", event.text(); "event" => event.number(), "request" => request.as_str(),
        "kind" => error.kind().as_str(), "why" => error.message());
}
