//! Overhead of foldlock: added latency without load, processor time per token, memory per stream.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_connection::engine::{Engine as _, HttpEngine, Job, Stream as _};
use foldlock_connection::http::{Client, body};
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::json;
use standin::engine;
use standin::fleet::{Fleet, MODEL, Plan, wait_for};

use crate::table::{Table, Times};

#[derive(clap::Args)]
pub(crate) struct Args {
    /// Number of requests for the latency, each sent directly and through foldlock.
    #[arg(long, default_value_t = 3000)]
    requests: usize,
    /// Number of concurrent streams for the throughput.
    #[arg(long, default_value_t = 64)]
    streams: usize,
    /// Tokens of each stream for the throughput.
    #[arg(long, default_value_t = 4000)]
    tokens: u64,
    /// Number of open streams for the memory.
    #[arg(long, default_value_t = 2000)]
    open: usize,
}

pub(crate) async fn run(args: Args, program: PathBuf, json: bool) {
    let mut table = Table::new(&["what", "p50 ms", "p99 ms", "value"]);
    let fleet = fleet(&program, 1e9).await;
    unloaded(&args, &fleet, &mut table).await;
    throughput(&args, &fleet, &mut table).await;
    drop(fleet);
    let slow = self::fleet(&program, 0.2).await;
    memory(&args, &slow, &mut table).await;
    table.print(json);
}

async fn fleet(program: &std::path::Path, speed: f64) -> Fleet {
    let engine = engine::Settings {
        speed,
        memory: 100_000_000,
        max_waiting: 100_000,
        step_tokens: 100_000,
        ..engine::Settings::default()
    };
    Fleet::start(Plan {
        vms: 1,
        engines: 1,
        organisations: 1,
        engine,
        policy: json!({ "timeout_ms": 600_000, "max_answer_tokens": 1_000_000 }),
        arguments: vec!["--threads".to_owned(), "1".to_owned()],
        ..Plan::small(program)
    })
    .await
}

fn request(listen: SocketAddr, tokens: u64) -> Request<http_body_util::Full<bytes::Bytes>> {
    let text = json!({ "model": MODEL, "prompt": "hello world ".repeat(8), "max_tokens": tokens,
                       "stream": true });
    Request::post(format!("http://{listen}/v1/completions"))
        .header("authorization", "Bearer key-0")
        .body(body(text.to_string()))
        .expect("plain headers")
}

fn job(tokens: u64, i: usize) -> Job {
    Job {
        request: format!("direct-{i}").parse().expect("a name"),
        model: MODEL.parse().expect("a name"),
        prompt: "hello world ".repeat(8).into(),
        max_tokens: tokens,
        priority: 3,
        first_index: 0,
        deadline: Duration::from_secs(60),
        linger: Duration::ZERO,
        segment: None,
    }
}

/// Sends the same request alternately to the engine directly and through foldlock.
async fn unloaded(args: &Args, fleet: &Fleet, table: &mut Table) {
    let direct = HttpEngine::new(Client::default(), &fleet.engines[0].server.address.to_string());
    let (mut direct_times, mut foldlock_times) = (Times::default(), Times::default());
    for i in 0..args.requests + 200 {
        let started = Instant::now();
        let mut stream = direct.generate(&job(1, i)).await.expect("an answer");
        while let Ok(Some(_)) = stream.next().await {}
        let direct_time = started.elapsed();
        let started = Instant::now();
        let answer = fleet.client.send(request(fleet.vms[0].listen, 1)).await.expect("an answer");
        let _ = answer.into_body().collect().await;
        if i >= 200 {
            direct_times.add(direct_time.as_secs_f64());
            foldlock_times.add(started.elapsed().as_secs_f64());
        }
    }
    row(table, "directly", &direct_times);
    row(table, "through foldlock", &foldlock_times);
    let added = |p| foldlock_times.ms(p) - direct_times.ms(p);
    let cells = [format!("{:.3}", added(50.0)), format!("{:.3}", added(99.0))];
    let [p50, p99] = cells;
    table.row(vec!["added (aim 0.2, 1)".to_owned(), p50, p99, String::new()]);
}

fn row(table: &mut Table, what: &str, times: &Times) {
    let count = format!("n={}", times.count());
    let (p50, p99) = (times.ms(50.0), times.ms(99.0));
    table.row(vec![what.to_owned(), format!("{p50:.3}"), format!("{p99:.3}"), count]);
}

/// Tokens per second with one thread, and per second of processor time.
async fn throughput(args: &Args, fleet: &Fleet, table: &mut Table) {
    let listen = fleet.vms[0].listen;
    let before = processor_seconds(fleet.vms[0].pid());
    let started = Instant::now();
    let tasks: Vec<_> = (0..args.streams)
        .map(|_| {
            let (client, tokens) = (fleet.client.clone(), args.tokens);
            tokio::spawn(async move {
                let answer = client.send(request(listen, tokens)).await.expect("an answer");
                let mut body = answer.into_body();
                let mut bytes = 0;
                while let Some(Ok(frame)) = body.frame().await {
                    bytes += frame.data_ref().map_or(0, |d| d.len());
                }
                bytes
            })
        })
        .collect();
    let mut bytes = 0;
    for task in tasks {
        bytes += task.await.expect("a stream");
    }
    let seconds = started.elapsed().as_secs_f64();
    let used = processor_seconds(fleet.vms[0].pid()) - before;
    let tokens = args.streams as f64 * args.tokens as f64;
    let mut value = |what: &str, value: String| {
        table.row(vec![what.to_owned(), String::new(), String::new(), value]);
    };
    value("tokens a second, one thread", format!("{:.0}", tokens / seconds));
    value("tokens a core-second (aim 200,000)", format!("{:.0}", tokens / used));
    value("bytes a token to the caller", format!("{:.0}", bytes as f64 / tokens));
}

/// Resident memory added by open streams.
async fn memory(args: &Args, fleet: &Fleet, table: &mut Table) {
    let pid = fleet.vms[0].pid();
    let before = resident_bytes(pid);
    let bodies: Arc<std::sync::Mutex<Vec<_>>> = Arc::default();
    for _ in 0..args.open {
        let (client, bodies) = (fleet.client.clone(), bodies.clone());
        let request = request(fleet.vms[0].listen, 5_000);
        // Limits the connection rate so that the listener's backlog does not overflow.
        tokio::time::sleep(Duration::from_millis(1)).await;
        tokio::spawn(async move {
            if let Ok(answer) = client.send(request).await {
                if answer.status() != 200 {
                    eprintln!("status {}", answer.status());
                }
                let mut body = answer.into_body();
                let _ = body.frame().await;
                bodies.lock().unwrap().push(body);
            }
        });
    }
    wait_for("streams to open", async || bodies.lock().unwrap().len() == args.open).await;
    let added = resident_bytes(pid).saturating_sub(before);
    let each = added as f64 / args.open as f64 / 1024.0;
    let what = format!("KiB a stream, {} open (aim 32)", args.open);
    table.row(vec![what, String::new(), String::new(), format!("{each:.1}")]);
}

/// Processor seconds used by a process: the 14th and 15th field of `stat`, in ticks of 10 ms.
pub(crate) fn processor_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / 100.0
}

/// Resident bytes of a process.
pub(crate) fn resident_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().unwrap_or(0);
    kib * 1024
}
