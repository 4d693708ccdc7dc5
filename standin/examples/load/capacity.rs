//! Cost of the control plane at several sizes, with real VMs and no load except heartbeats.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::json;
use standin::engine;
use standin::fleet::{Fleet, Plan};

use crate::overhead::{processor_seconds, resident_bytes};
use crate::table::Table;

#[derive(clap::Args)]
pub(crate) struct Args {
    /// Numbers of VMs to measure, with 20 engines.
    #[arg(long, value_delimiter = ',', default_values_t = [2, 4, 8, 16, 32])]
    vms: Vec<usize>,
    /// Numbers of engines to measure, with 8 VMs.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 40, 80, 160])]
    engines: Vec<usize>,
    /// Numbers of organisations to measure, with 8 VMs and 20 engines.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 150, 450])]
    organisations: Vec<usize>,
    /// Duration of each measurement in seconds.
    #[arg(long, default_value_t = 6.0)]
    seconds: f64,
}

/// The result at one size; each figure is the mean over the VMs.
struct Point {
    vms: usize,
    engines: usize,
    organisations: usize,
    bytes_per_s: f64,
    cpu_percent: f64,
    memory_mib: f64,
    kv_reads_per_s: f64,
    kv_writes_per_s: f64,
    peers: f64,
}

pub(crate) async fn run(args: Args, program: PathBuf, json: bool) {
    let mut points = Vec::new();
    for vms in &args.vms {
        points.push(measure(&args, &program, *vms, 20, 10).await);
    }
    for engines in &args.engines {
        points.push(measure(&args, &program, 8, *engines, 10).await);
    }
    for organisations in &args.organisations {
        points.push(measure(&args, &program, 8, 20, *organisations).await);
    }
    let mut table = Table::new(&[
        "VMs",
        "engines",
        "organisations",
        "control B/s a VM",
        "CPU % a VM",
        "MiB a VM",
        "KV reads/s",
        "KV writes/s",
        "peers a VM",
    ]);
    for p in &points {
        table.row(vec![
            p.vms.to_string(),
            p.engines.to_string(),
            p.organisations.to_string(),
            format!("{:.0}", p.bytes_per_s),
            format!("{:.2}", p.cpu_percent),
            format!("{:.1}", p.memory_mib),
            format!("{:.2}", p.kv_reads_per_s),
            format!("{:.2}", p.kv_writes_per_s),
            format!("{:.1}", p.peers),
        ]);
    }
    table.print(json);
    let by_vms = &points[..args.vms.len()];
    let by_engines = &points[args.vms.len()..args.vms.len() + args.engines.len()];
    let by_organisations = &points[args.vms.len() + args.engines.len()..];
    print_fits(json, by_vms, by_engines, by_organisations);
}

fn print_fits(json: bool, by_vms: &[Point], by_engines: &[Point], by_organisations: &[Point]) {
    type Value = fn(&Point) -> f64;
    let values: [(&str, Value); 4] = [
        ("control B/s", |p| p.bytes_per_s),
        ("CPU %", |p| p.cpu_percent),
        ("MiB", |p| p.memory_mib),
        ("KV reads/s", |p| p.kv_reads_per_s),
    ];
    let mut table = Table::new(&["value", "by", "at none", "slope", "largest residual"]);
    let groups: [(&str, &[Point], Value); 4] = [
        ("peers a VM", by_vms, |p| p.peers),
        ("VMs", by_vms, |p| p.vms as f64),
        ("engines", by_engines, |p| p.engines as f64),
        ("organisations", by_organisations, |p| p.organisations as f64),
    ];
    for (by, points, x) in groups {
        for (name, y) in values {
            let (intercept, slope, residual) = fit(points, x, y);
            table.row(vec![
                name.to_owned(),
                by.to_owned(),
                format!("{intercept:.3}"),
                format!("{slope:.4}"),
                format!("{residual:.3}"),
            ]);
        }
    }
    table.print(json);
}

/// Linear least-squares fit: intercept, slope and largest residual.
fn fit(points: &[Point], x: fn(&Point) -> f64, y: fn(&Point) -> f64) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(x).sum::<f64>() / n;
    let mean_y = points.iter().map(y).sum::<f64>() / n;
    let numerator: f64 = points.iter().map(|p| (x(p) - mean_x) * (y(p) - mean_y)).sum();
    let denominator: f64 = points.iter().map(|p| (x(p) - mean_x).powi(2)).sum();
    let slope = if denominator > 0.0 { numerator / denominator } else { 0.0 };
    let intercept = mean_y - slope * mean_x;
    let residual = points.iter().map(|p| (y(p) - intercept - slope * x(p)).abs());
    (intercept, slope, residual.fold(0.0, f64::max))
}

async fn measure(
    args: &Args,
    program: &Path,
    vms: usize,
    engines: usize,
    organisations: usize,
) -> Point {
    let fleet = Fleet::start(Plan {
        vms,
        engines,
        organisations,
        engine: engine::Settings::default(),
        organisation: json!({ "policy": { "concurrency": 100 } }),
        arguments: vec!["--threads".to_owned(), "1".to_owned()],
        ..Plan::small(program)
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = sample(&fleet).await;
    let kv = fleet.kv.kv.stats();
    let started = Instant::now();
    tokio::time::sleep(Duration::from_secs_f64(args.seconds)).await;
    let after = sample(&fleet).await;
    let kv_after = fleet.kv.kv.stats();
    let seconds = started.elapsed().as_secs_f64();
    let count = vms as f64;
    eprintln!("{vms} VMs, {engines} engines, {organisations} organisations");
    Point {
        vms,
        engines,
        organisations,
        bytes_per_s: (after.bytes - before.bytes) / seconds / count,
        cpu_percent: (after.cpu - before.cpu) / seconds / count * 100.0,
        memory_mib: after.memory / count / f64::from(1 << 20),
        kv_reads_per_s: (kv_after.reads - kv.reads) as f64 / seconds,
        kv_writes_per_s: (kv_after.writes - kv.writes) as f64 / seconds,
        peers: after.peers / count,
    }
}

/// Sums over all VMs.
#[derive(Default)]
struct Sample {
    bytes: f64,
    cpu: f64,
    memory: f64,
    peers: f64,
}

async fn sample(fleet: &Fleet) -> Sample {
    let mut sum = Sample::default();
    for vm in &fleet.vms {
        let dump = fleet.dump(vm).await.expect("a dump");
        let bytes = &dump["peer_bytes"];
        sum.bytes += bytes[0].as_f64().unwrap_or(0.0) + bytes[1].as_f64().unwrap_or(0.0);
        sum.peers += dump["peers"].as_f64().unwrap_or(0.0);
        sum.cpu += processor_seconds(vm.pid());
        sum.memory += resident_bytes(vm.pid()) as f64;
    }
    sum
}
