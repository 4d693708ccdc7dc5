//! Structured logging: numbered events as JSON lines on standard output.

use foldlock_base::prelude::*;
use foldlock_request::decision;
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Maximum number of events waiting to be written; further ones are dropped and counted.
const MAX_QUEUED: usize = 4096;

/// Creates the root logger of the process.
pub fn root(vm: &str, level: &str) -> Logger {
    let level = level.parse().unwrap_or(Level::Info);
    let json = slog_json::Json::new(std::io::stdout()).add_default_keys().build().ignore_res();
    let filtered = LevelFilter::new(json, level).ignore_res();
    let drain = slog_async::Async::new(filtered)
        .chan_size(MAX_QUEUED)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("vm" => vm.to_owned()))
}

/// Logs each panic with its message and place, in addition to the text on standard error.
pub fn log_panics(log: &Logger) {
    let log = log.clone();
    let default = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        event(&log, Event::Panicked, panic);
        default(panic);
    }));
}

/// Logs an event with its details as free text.
pub fn event(log: &Logger, event: Event, details: impl std::fmt::Display) {
    let number = event.number();
    match event.level() {
        Level::Error | Level::Critical => {
            slog::error!(log, "{}", event.text(); "event" => number, "what" => %details);
        }
        Level::Warning => {
            slog::warn!(log, "{}", event.text(); "event" => number, "what" => %details);
        }
        Level::Info => {
            slog::info!(log, "{}", event.text(); "event" => number, "what" => %details);
        }
        _ => slog::debug!(log, "{}", event.text(); "event" => number, "what" => %details),
    }
}

/// Logs a decision on a request with its inputs. `left_out` is the number of lines that the log
/// throttle suppressed before it.
pub fn decision(
    log: &Logger,
    request: &id::Request,
    route: &str,
    entry: &decision::Entry,
    left_out: u64,
) {
    let event = entry.decision.event();
    let inputs = o!(
        "event" => event.number(),
        "request" => request.as_str().to_owned(),
        "route" => route.to_owned(),
        "step" => slog::Serde(entry.clone()),
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

/// Logs that a request was rejected before it was admitted.
pub fn rejected(log: &Logger, request: &id::Request, error: &Error) {
    let event = Event::Rejected;
    slog::info!(log, "{}", event.text(); "event" => event.number(), "request" => request.as_str(),
        "kind" => error.kind().as_str(), "why" => error.message());
}
