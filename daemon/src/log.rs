//! Structured logs: numbered events as JSON lines on standard error.

use foldlock_base::event::Event;
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Events that wait to be written; beyond that they are dropped and counted.
const QUEUE: usize = 4096;

/// The root logger of a process.
pub fn root(vm: &str, level: &str) -> Logger {
    let level = level.parse().unwrap_or(Level::Info);
    let json = slog_json::Json::new(std::io::stderr()).add_default_keys().build().ignore_res();
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
