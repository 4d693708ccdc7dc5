//! Compares routing policies: sends the same arrivals with each policy through real VMs to stand-in
//! engines.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use foldlock_version::policy::Route;
use serde_json::json;
use standin::client::{self, Answer, Request};
use standin::engine;
use standin::fleet::{Fleet, MODEL, Plan};
use standin::workload::{Arrival, Plan as Arrivals, Workload};

use crate::oracle::Oracle;
use crate::run::{BANDS, Outcome, first_tokens, open_loop};
use crate::table::{Table, Times};

/// Share of a run, from its start, whose arrivals are not counted, since the speed models are
/// still being learnt.
const WARM_UP_SHARE: f64 = 0.25;

/// Minimum length of the prompts that are left out to measure short ones alone, in tokens.
const MIN_LONG_PROMPT: u64 = 100_001;

#[derive(clap::Args, Clone)]
pub(crate) struct Args {
    /// The workload files.
    #[arg(long = "workload", default_values = ["examples/workloads/tunis.jsonc", "examples/workloads/hcm.jsonc"])]
    workloads: Vec<PathBuf>,
    /// Loads, as fractions of the engines' capacity.
    #[arg(long, value_delimiter = ',', default_values_t = [0.5, 0.8, 1.0, 1.5, 2.0])]
    loads: Vec<f64>,
    /// The load at which report lags and the slowdown by long prompts are compared.
    #[arg(long, default_value_t = 0.8)]
    at: f64,
    /// Report lags to compare, in milliseconds.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 1000, 5000])]
    lags: Vec<u64>,
    /// Compare only these routing policies: names as in the settings, or `oracle`.
    #[arg(long, value_delimiter = ',')]
    routes: Vec<String>,
    /// Duration of each run in seconds.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Factor by which the engines run faster than their settings.
    #[arg(long, default_value_t = 4.0)]
    speed: f64,
    /// Number of VMs.
    #[arg(long, default_value_t = 8)]
    vms: usize,
    /// Number of engines.
    #[arg(long, default_value_t = 20)]
    engines: usize,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write SVG plots to this directory.
    #[arg(long)]
    plots: Option<PathBuf>,
}

/// The policy that is measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Policy {
    Route(Route),
    Oracle,
}

impl Policy {
    fn all() -> Vec<Policy> {
        Route::ALL.iter().map(|r| Policy::Route(*r)).chain([Policy::Oracle]).collect()
    }

    fn name(self) -> String {
        match self {
            Policy::Route(route) => foldlock_request::decision::route_name(&route),
            Policy::Oracle => "oracle".to_owned(),
        }
    }
}

/// The parameters of one run.
#[derive(Clone)]
struct Case {
    policy: Policy,
    load: f64,
    lag: u64,
    workload: Arc<Workload>,
    /// Fraction of the complete workload's rate that is sent; below 1 if kinds are left out.
    share: f64,
}

/// The result of one run.
struct Result {
    case: Case,
    bands: Vec<Times>,
    sent: usize,
    good: usize,
    rejected: usize,
    failed: usize,
    retries: (usize, usize),
    seconds: f64,
    prefix_hits: f64,
}

pub(crate) async fn run(args: Args, program: PathBuf, json: bool) {
    for path in &args.workloads {
        let text = std::fs::read_to_string(path).expect("the workload file");
        let workload = Arc::new(Workload::parse(&text).expect("a workload"));
        compare(&args, &program, json, workload).await;
    }
}

async fn compare(args: &Args, program: &Path, json: bool, workload: Arc<Workload>) {
    let selected = |p: &Policy| args.routes.is_empty() || args.routes.contains(&p.name());
    let policies: Vec<Policy> = Policy::all().into_iter().filter(selected).collect();
    let mut by_load = Vec::new();
    for load in &args.loads {
        for policy in &policies {
            let workload = workload.clone();
            let case = Case { policy: *policy, load: *load, lag: 1000, workload, share: 1.0 };
            by_load.push(measure(args, program, case).await);
        }
    }
    println!("\n## {}: by load (reports 1 s old)\n", workload.name);
    print(&by_load, json);
    slowdown(args, program, json, &workload, &policies, &by_load).await;
    lags(args, program, json, &workload, &policies).await;
    if let Some(dir) = &args.plots {
        plot(dir, &workload.name, &policies, &by_load);
    }
}

async fn slowdown(
    args: &Args,
    program: &Path,
    json: bool,
    workload: &Arc<Workload>,
    policies: &[Policy],
    by_load: &[Result],
) {
    let short_only = Arc::new(workload.with_prompts_below(MIN_LONG_PROMPT));
    let share = workload.share_below(MIN_LONG_PROMPT);
    let mut table =
        Table::new(&["policy", "alone p95 ms", "with long p95 ms", "slowdown", "excess"]);
    for policy in policies {
        let with = by_load.iter().find(|r| r.case.policy == *policy && r.case.load == args.at);
        let Some(with) = with else { continue };
        let workload = short_only.clone();
        let case = Case { policy: *policy, load: args.at, lag: 1000, workload, share };
        let alone = measure(args, program, case).await;
        let (alone_ms, with_ms) = (alone.bands[0].ms(95.0), with.bands[0].ms(95.0));
        table.row(vec![
            policy.name(),
            format!("{alone_ms:.1}"),
            format!("{with_ms:.1}"),
            format!("{:.2}", with_ms / alone_ms),
            format!("{:.2}", with_ms / alone_ms - 1.0),
        ]);
    }
    println!("\n## {}: slowdown of prompts up to 4 k at load {}\n", workload.name, args.at);
    table.print(json);
}

async fn lags(
    args: &Args,
    program: &Path,
    json: bool,
    workload: &Arc<Workload>,
    policies: &[Policy],
) {
    let mut results = Vec::new();
    for lag in args.lags.iter().filter(|l| **l != 1000) {
        for policy in policies.iter().filter(|p| **p != Policy::Oracle) {
            let workload = workload.clone();
            let case = Case { policy: *policy, load: args.at, lag: *lag, workload, share: 1.0 };
            results.push(measure(args, program, case).await);
        }
    }
    if !results.is_empty() {
        println!("\n## {}: by age of reports, at load {}\n", workload.name, args.at);
        print(&results, json);
    }
}

/// Runs one case in a new fleet.
async fn measure(args: &Args, program: &Path, case: Case) -> Result {
    let engine = engine::Settings {
        speed: args.speed,
        report_lag_ms: case.lag,
        ..engine::Settings::default()
    };
    // The rate is derived from the capacity for the complete workload, even if kinds are left out.
    let cost = case.workload.mean_engine_seconds(&engine);
    let rate = case.load * args.engines as f64 * args.speed / cost * case.share;
    let rate =
        if case.share < 1.0 { rate_within_complete_workload(args, &case, &engine) } else { rate };
    let arrivals = case.workload.arrivals(Arrivals {
        seed: args.seed,
        rate,
        length: Duration::from_secs_f64(args.seconds),
        organisations: 10,
        speed: args.speed,
    });
    let plan = plan(args, program, &case, engine);
    let fleet = Arc::new(match case.policy {
        Policy::Route(_) => Fleet::start(plan).await,
        Policy::Oracle => Fleet::stand_ins(plan).await,
    });
    let outcomes = match case.policy {
        Policy::Route(_) => through_vms(&fleet, &case.workload, arrivals).await,
        Policy::Oracle => through_oracle(&fleet, &case.workload, arrivals).await,
    };
    let computed: u64 = fleet.engines.iter().map(|e| e.engine.stats().computed).sum();
    let result = summarize(case, outcomes, args.seconds, computed);
    eprintln!(
        "{} {} load {} lag {}: {} sent, {} good",
        result.case.workload.name,
        result.case.policy.name(),
        result.case.load,
        result.case.lag,
        result.sent,
        result.good
    );
    result
}

/// The rate of the remaining kinds, equal to their rate within the complete workload.
fn rate_within_complete_workload(args: &Args, case: &Case, engine: &engine::Settings) -> f64 {
    let complete = args.workloads.iter().find_map(|p| {
        let text = std::fs::read_to_string(p).ok()?;
        Workload::parse(&text).ok().filter(|w| w.name == case.workload.name)
    });
    let complete = complete.expect("the whole workload");
    case.load * args.engines as f64 * args.speed / complete.mean_engine_seconds(engine) * case.share
}

fn plan(args: &Args, program: &Path, case: &Case, engine: engine::Settings) -> Plan {
    let route = match case.policy {
        Policy::Route(route) => foldlock_request::decision::route_name(&route),
        Policy::Oracle => "length_aware".to_owned(),
    };
    let kinds: serde_json::Map<String, serde_json::Value> = case
        .workload
        .kinds
        .iter()
        .map(|k| (k.kind.clone(), json!({ "policy": { "timeout_ms": k.timeout_ms } })))
        .collect();
    Plan {
        vms: args.vms,
        engines: args.engines,
        organisations: 10,
        engine,
        policy: json!({ "route": route, "timeout_ms": 3_600_000 }),
        organisation: json!({ "kinds": kinds }),
        arguments: vec!["--threads".to_owned(), "1".to_owned()],
        ..Plan::small(program)
    }
}

async fn through_vms(
    fleet: &Arc<Fleet>,
    workload: &Arc<Workload>,
    arrivals: Vec<Arrival>,
) -> Vec<Outcome> {
    let next = Arc::new(AtomicUsize::new(0));
    let names: Arc<Vec<String>> = Arc::new(workload.kinds.iter().map(|k| k.kind.clone()).collect());
    let fleet = fleet.clone();
    open_loop(workload, arrivals, move |arrival, prompt| {
        let (fleet, next, names) = (fleet.clone(), next.clone(), names.clone());
        async move {
            let vm = next.fetch_add(1, Ordering::Relaxed) % fleet.vms.len();
            let request = Request {
                key: format!("key-{}", arrival.organisation),
                kind: Some(names[arrival.kind].clone()),
                model: MODEL.to_owned(),
                prompt,
                max_tokens: arrival.answer,
                stream: true,
                timeout: Some(arrival.timeout),
                idempotency_key: None,
            };
            let answer = client::send(&fleet.client, fleet.vms[vm].listen, &request).await;
            let retry_admitted = retry_once(&fleet, vm, &request, &answer).await;
            (answer, retry_admitted)
        }
    })
    .await
}

/// Retries once after the time in `retry-after-ms`; returns whether the retry was admitted.
async fn retry_once(fleet: &Fleet, vm: usize, request: &Request, answer: &Answer) -> Option<bool> {
    let after = answer.retry_after?;
    tokio::time::sleep(after).await;
    let answer = client::send(&fleet.client, fleet.vms[vm].listen, request).await;
    Some(answer.status == 200)
}

async fn through_oracle(
    fleet: &Arc<Fleet>,
    workload: &Arc<Workload>,
    arrivals: Vec<Arrival>,
) -> Vec<Outcome> {
    let engines = fleet.engines.iter().map(|e| e.engine.clone()).collect();
    let oracle = Arc::new(Oracle::new(engines, fleet.plan.engine.memory));
    open_loop(workload, arrivals, move |arrival, prompt| {
        let oracle = oracle.clone();
        async move { (oracle.send(arrival, prompt).await, None) }
    })
    .await
}

fn summarize(case: Case, outcomes: Vec<Outcome>, seconds: f64, computed: u64) -> Result {
    let prompt_tokens: u64 = outcomes.iter().filter(|o| o.good).map(|o| o.arrival.tokens).sum();
    let warm = Duration::from_secs_f64(seconds * WARM_UP_SHARE);
    let counted: Vec<Outcome> = outcomes.into_iter().filter(|o| o.arrival.at >= warm).collect();
    let is_rejected = |o: &&Outcome| o.answer.ran.as_deref() == Some("no");
    let retried: Vec<bool> = counted.iter().filter_map(|o| o.retry_admitted).collect();
    let good = counted.iter().filter(|o| o.good).count();
    let rejected = counted.iter().filter(is_rejected).count();
    Result {
        bands: first_tokens(&counted),
        sent: counted.len(),
        good,
        rejected,
        failed: counted.len() - good - rejected,
        retries: (retried.iter().filter(|r| **r).count(), retried.len()),
        seconds: seconds * (1.0 - WARM_UP_SHARE),
        prefix_hits: if prompt_tokens > computed {
            1.0 - computed as f64 / prompt_tokens as f64
        } else {
            0.0
        },
        case,
    }
}

fn print(results: &[Result], json: bool) {
    let mut table = Table::new(&[
        "policy",
        "load",
        "lag ms",
        "4k p50/95/99 ms",
        "32k p50/95/99",
        "100k p50/95/99",
        "one engine p50/95/99",
        "beyond p50",
        "sent",
        "good",
        "good/s",
        "refused",
        "failed",
        "came back: let in",
        "prefix hits",
    ]);
    for r in results {
        let band = |i: usize| {
            let b: &Times = &r.bands[i];
            format!("{} / {} / {}", b.cell(50.0), b.cell(95.0), b.cell(99.0))
        };
        table.row(vec![
            r.case.policy.name(),
            format!("{}", r.case.load),
            format!("{}", r.case.lag),
            band(0),
            band(1),
            band(2),
            band(3),
            format!(
                "{} (n={})",
                r.bands[BANDS.len() - 1].cell(50.0),
                r.bands[BANDS.len() - 1].count()
            ),
            r.sent.to_string(),
            format!("{:.1}%", 100.0 * r.good as f64 / r.sent.max(1) as f64),
            format!("{:.1}", r.good as f64 / r.seconds),
            r.rejected.to_string(),
            r.failed.to_string(),
            format!("{} of {}", r.retries.0, r.retries.1),
            format!("{:.1}%", 100.0 * r.prefix_hits),
        ]);
    }
    table.print(json);
}

fn plot(dir: &Path, name: &str, policies: &[Policy], results: &[Result]) {
    use plotters::prelude::*;
    let path = dir.join(format!("first-token-4k-{name}.svg"));
    let area = SVGBackend::new(&path, (720, 420)).into_drawing_area();
    let value = |r: &Result| r.bands[0].ms(95.0).max(1.0);
    let max_ms = results.iter().map(value).fold(10.0, f64::max);
    let loads = results.iter().map(|r| r.case.load);
    let last = loads.fold(0.0, f64::max);
    let draw = || -> std::result::Result<(), Box<dyn std::error::Error>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.4..last + 0.1, (1.0..max_ms * 1.2).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("load, part of capacity")
            .y_desc("p95 time to first token up to 4 k, ms")
            .draw()?;
        for (i, policy) in policies.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let points = results.iter().filter(|r| r.case.policy == *policy);
            let points: Vec<(f64, f64)> = points.map(|r| (r.case.load, value(r))).collect();
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))?
                .label(policy.name())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
        area.present()?;
        Ok(())
    };
    if let Err(e) = draw() {
        eprintln!("{}: {e}", path.display());
    }
}
