//! The scheduler's decisions by forecasts, as operators see them: log lines and the state in the dump.
//!
//! Load patterns A and B (`docs/design/overload.md`): the number of lines a second is bounded, however many requests are
//! decided on.

use std::collections::HashMap;
use std::time::Instant;

use foldlock_base::clock::millis;
use foldlock_base::prelude::*;
use foldlock_request::cluster::{Cluster, Holder};
use foldlock_request::dialect::Dialect;
use foldlock_request::scheduler::Scheduler;
use foldlock_request::scheduler::overview::{Overview, Queued};
use foldlock_request::scheduler::record::{KeptChange, Outcome, Record, Taken};
use foldlock_request::tag::Tag;
use foldlock_version::routes::Table;
use serde_json::{Value, json};

use crate::fleet::process::Process;

/// Logs decisions of the scheduler, as many as the throttles admit.
pub fn log<D: Dialect>(process: &Process<D>, taken: Taken) {
    let Taken { decisions, mut left_out, kept } = taken;
    let now = process.now();
    for record in &decisions {
        let throttle = match record.outcome {
            Outcome::RejectedNew | Outcome::RejectedQueued => &process.overload_lines,
            _ => &process.scheduling_lines,
        };
        if let Some(suppressed) = throttle.admit(now) {
            log_one(process, record, std::mem::take(&mut left_out) + suppressed);
        }
    }
    // Each service has at most four changes a second.
    for change in &kept {
        log_kept(process, change);
    }
}

fn log_one<D: Dialect>(process: &Process<D>, record: &Record, left_out: u64) {
    let event = match record.outcome {
        Outcome::Queued => Event::QueuedByForecast,
        Outcome::RejectedNew | Outcome::RejectedQueued => Event::RejectedByForecast,
        Outcome::Granted(_) => Event::GrantedInOrder,
        Outcome::Redeemed => Event::PromiseRedeemed,
    };
    let from = match &record.key.holder {
        Holder::Own => &process.member.vm,
        Holder::Peer(vm) => vm,
    };
    slog::debug!(process.log, "{}", event.text();
        "event" => event.number(),
        "from" => from.as_str(),
        "incarnation" => record.key.incarnation,
        "grant_request" => record.key.number,
        "outcome" => record.outcome.as_str(),
        "kind" => record.kind.as_str(),
        "rank" => record.rank,
        "waited_ms" => millis(record.waited),
        "in_time" => record.in_time,
        "wait_ms" => record.forecast.map(|forecast| millis(forecast.wait)),
        "rate" => record.forecast.map(|forecast| forecast.rate),
        "measured_ms" => record.forecast.map(|forecast| millis(forecast.measured)),
        "forecast_age_ms" => record.forecast_age().map(millis),
        "retry_after_ms" => record.returns.map(|returns| millis(returns.after)),
        "promised" => record.returns.map(|returns| returns.promised),
        "left_out" => (left_out > 0).then_some(left_out),
    );
}

fn log_kept<D: Dialect>(process: &Process<D>, change: &KeptChange) {
    let event = Event::KeptEnginesChanged;
    slog::info!(process.log, "{}", event.text();
        "event" => event.number(),
        "service" => &change.service,
        "engines" => change.engines,
        "previously" => change.previous,
        "needed_by_short" => change.short,
        "needed_by_long" => change.long,
        "all" => change.all,
    );
}

/// The state of admission by forecasts, with the names of organisations; null with another policy.
pub fn dump(
    scheduler: &Scheduler,
    cluster: &Cluster,
    table: Option<&Table>,
    now: Instant,
) -> Value {
    let Some(table) = table.filter(|_| scheduler.policy().is_forecast()) else {
        return Value::Null;
    };
    let names: HashMap<Tag, &str> = table
        .organisations()
        .map(|organisation| (Tag::of(&organisation.name), organisation.name.as_str()))
        .collect();
    let overviews = scheduler.overview(cluster, table, now);
    let services: Vec<Value> = overviews.iter().map(|one| service(one, &names)).collect();
    let (stored, counts) = scheduler.promise_counts();
    json!({
        "services": services,
        "promises": {
            "stored": stored, "made": counts.made, "declined": counts.declined,
            "redeemed": counts.redeemed, "expired": counts.expired,
        },
    })
}

fn service(overview: &Overview, names: &HashMap<Tag, &str>) -> Value {
    let queued: Vec<Value> = overview.queued.iter().map(|group| queue(group, names)).collect();
    json!({
        "service": overview.service,
        "queue": queued,
        "rate": overview.rate.map(|rate| rate.per_s),
        "measured_ms": overview.rate.map(|rate| rate.measured.as_millis() as u64),
        "engines": overview.engines,
        "needed_by_short": overview.short,
        "needed_by_long": overview.long,
        "kept": overview.kept,
    })
}

/// An organisation that the settings in force no longer have is shown by its tag.
fn queue(group: &Queued, names: &HashMap<Tag, &str>) -> Value {
    let name = |tag: Tag| names.get(&tag).map_or_else(|| tag.to_string(), |name| name.to_string());
    json!({
        "organisation": group.organisation.map(name),
        "kind": group.kind.as_str(),
        "requests": group.count,
        "longest_wait_ms": group.longest_wait.as_millis() as u64,
    })
}
