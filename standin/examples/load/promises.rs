//! Measures the figures of docs/PROMISES.md.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_connection::http::{Client, body};
use foldlock_version::branch::Name;
use http_body_util::BodyExt;
use hyper::{Method, Request};
use serde_json::json;
use standin::client;
use standin::engine;
use standin::fault::{Fault, Kind};
use standin::fleet::{Fleet, MODEL, Plan};
use standin::kv;

use crate::table::{Table, Times};

#[derive(clap::Args)]
pub(crate) struct Args {
    /// Number of requests whose engine freezes.
    #[arg(long, default_value_t = 3000)]
    requests: usize,
    /// Claims per second.
    #[arg(long, default_value_t = 1000.0)]
    claims: f64,
    /// Duration of the claims in seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Number of settings changes.
    #[arg(long, default_value_t = 40)]
    changes: usize,
}

pub(crate) async fn run(args: Args, program: PathBuf, json: bool) {
    let mut table = Table::new(&["figure", "p50", "p99", "p99.9", "value"]);
    deadlines(&args, &program, &mut table).await;
    claims(&args, &program, &mut table).await;
    changes(&args, &program, &mut table).await;
    resumes(&program, &mut table).await;
    table.print(json);
}

fn row(table: &mut Table, figure: &str, times: &Times, value: String) {
    let cell = |p: f64| format!("{:.1} ms", times.ms(p));
    table.row(vec![figure.to_owned(), cell(50.0), cell(99.0), cell(99.9), value]);
}

fn request(prompt_tokens: usize, max_tokens: u64) -> client::Request {
    client::Request {
        key: "key-0".to_owned(),
        model: MODEL.to_owned(),
        prompt: "abc ".repeat(prompt_tokens),
        max_tokens,
        stream: true,
        ..client::Request::default()
    }
}

/// Delay of responses past their deadline when engines freeze before the first token or later.
async fn deadlines(args: &Args, program: &Path, table: &mut Table) {
    let policy = json!({ "retries": 0, "timeout_ms": 10_000 });
    let fleet = Arc::new(Fleet::start(Plan { policy, ..Plan::small(program) }).await);
    for engine in &fleet.engines {
        for i in 0..args.requests as u64 {
            engine.engine.add_fault(Fault { kind: Kind::Freeze, at: (i % 2) * 5, count: 1 });
        }
    }
    let mut tasks = Vec::new();
    for i in 0..args.requests {
        let fleet = fleet.clone();
        tokio::time::sleep(Duration::from_millis(2)).await;
        tasks.push(tokio::spawn(async move {
            let timeout = Duration::from_millis(300 + (i as u64 * 7) % 700);
            let request = client::Request { timeout: Some(timeout), ..request(50, 100) };
            let answer = client::send(&fleet.client, fleet.vms[i % 3].listen, &request).await;
            answer.total.saturating_sub(timeout)
        }));
    }
    let mut delays = Times::default();
    for task in tasks {
        delays.add(task.await.expect("a request's task").as_secs_f64());
    }
    let value = format!("n={}, max {:.1} ms", delays.count(), delays.ms(100.0));
    row(table, "answer past its deadline, engines frozen", &delays, value);
}

/// Latency that a claim adds to a plain call, and its writes to the key-value service.
async fn claims(args: &Args, program: &Path, table: &mut Table) {
    let kv = kv::Settings { delay_ms: 5, ..kv::Settings::default() };
    let fleet = Arc::new(Fleet::start(Plan { kv, ..Plan::small(program) }).await);
    let count = (args.claims * args.seconds) as usize;
    // Warm-up: at the first claim the writer reads the claims log.
    let _ = call(&fleet, 0, Method::POST, Some("warm".to_owned())).await;
    let mut with = Times::default();
    let mut without = Times::default();
    let before = fleet.kv.kv.stats();
    let started = Instant::now();
    let mut tasks = Vec::new();
    for i in 0..count {
        let due = started + Duration::from_secs_f64(i as f64 / args.claims);
        tokio::time::sleep_until(due.into()).await;
        let fleet = fleet.clone();
        tasks.push(tokio::spawn(async move {
            let key = Some(format!("key-{i}"));
            let claimed = call(&fleet, i % 3, Method::POST, key).await;
            let plain = call(&fleet, i % 3, Method::GET, None).await;
            (claimed, plain)
        }));
    }
    for task in tasks {
        let (claimed, plain) = task.await.expect("a call's task");
        with.add(claimed.as_secs_f64());
        without.add(plain.as_secs_f64());
    }
    let seconds = started.elapsed().as_secs_f64();
    let writes = (fleet.kv.kv.stats().writes - before.writes) as f64 / seconds;
    let runs: u64 = fleet.plains.iter().map(|p| p.plain.stats().runs).sum();
    row(table, "plain call without a claim", &without, format!("n={}", without.count()));
    row(table, "plain call with a claim", &with, format!("n={}", with.count()));
    let (p50, p99) = (with.ms(50.0) - without.ms(50.0), with.ms(99.0) - without.ms(99.0));
    table.row(vec![
        "added by a claim (aim p99 30 ms)".to_owned(),
        format!("{p50:.1} ms"),
        format!("{p99:.1} ms"),
        String::new(),
        format!(
            "{:.0} claims/s, {writes:.1} KV writes/s (aim 20), {runs} runs",
            count as f64 / seconds
        ),
    ]);
}

async fn call(fleet: &Fleet, vm: usize, method: Method, key: Option<String>) -> Duration {
    let path = if method == Method::POST { "pulls" } else { "tags" };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{}/registry/{path}", fleet.vms[vm].listen))
        .header("authorization", "Bearer key-0");
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(body("")).expect("plain headers");
    let started = Instant::now();
    let answer = fleet.client.call(request, Duration::from_secs(10)).await;
    if !answer.as_ref().is_ok_and(|a| a.status() == 200) {
        eprintln!("a call failed: {:?}", answer.map(|a| a.status()));
    }
    started.elapsed()
}

/// Time from before the first write of a settings change until it is in force on all eight VMs.
async fn changes(args: &Args, program: &Path, table: &mut Table) {
    let kv = kv::Settings { delay_ms: 5, ..kv::Settings::default() };
    let fleet = Fleet::start(Plan { vms: 8, kv, ..Plan::small(program) }).await;
    let mut times = Times::default();
    let mut texts = fleet.texts();
    let name = Name::Organisation("org-0".parse().expect("a name"));
    let text = texts[&name].clone();
    let mut decreases = 0;
    let mut versions = vec![0; fleet.vms.len()];
    for i in 0..args.changes {
        texts.insert(name.clone(), format!("// {i}\n{text}").into());
        let started = Instant::now();
        let version = fleet.publish("load", &texts).await.expect("accepted");
        loop {
            let responses = fleet.vms.iter().map(|vm| fleet.get_control(vm, "/version"));
            let heads = futures::future::join_all(responses).await;
            for (vm, head) in heads.iter().enumerate() {
                let head: serde_json::Value =
                    serde_json::from_slice(head.as_deref().unwrap_or(b"{}")).unwrap_or_default();
                let now = head["version"].as_u64().unwrap_or(0);
                decreases += u32::from(now < versions[vm]);
                versions[vm] = now;
            }
            if versions.iter().all(|v| *v >= version) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        times.add(started.elapsed().as_secs_f64());
    }
    let value = format!("n={}, versions seen going back: {decreases}", times.count());
    row(table, "a change in force on 8 VMs (aim 1 s)", &times, value);
}

/// Compares resuming from a cursor with sending the request again, at several points of an answer.
async fn resumes(program: &Path, table: &mut Table) {
    let engine = engine::Settings { speed: 1.0, ..engine::Settings::default() };
    let fleet = Fleet::start(Plan { engine, ..Plan::small(program) }).await;
    let computed = || fleet.engines.iter().map(|e| e.engine.stats().computed).sum::<u64>();
    for resume_at in [10, 50, 90] {
        let (mut resumed, mut rerun) = (Times::default(), Times::default());
        let (mut recomputed_resumed, mut recomputed_rerun) = (0, 0);
        for round in 0..5 {
            let mut request = request(8_000, 100);
            request.prompt = format!("{resume_at} {round} {}", request.prompt);
            let cursor = read_until(&fleet.client, fleet.vms[0].listen, &request, resume_at).await;
            let before = computed();
            let resumed_answer =
                client::resume(&fleet.client, fleet.vms[1].listen, "key-0", &cursor).await;
            assert!(resumed_answer.complete, "{resumed_answer:?}");
            resumed.add(resumed_answer.first_token.unwrap_or_default().as_secs_f64());
            recomputed_resumed += computed() - before;
            // The changed prompt avoids prefix cache hits: a request that is sent again often
            // runs on an engine that has not cached its prompt.
            request.prompt.push_str("x ");
            request.prompt.insert_str(0, "again ");
            let before = computed();
            let complete = client::send(&fleet.client, fleet.vms[1].listen, &request).await;
            rerun.add(complete.total.as_secs_f64() * f64::from(resume_at as u32) / 100.0);
            recomputed_rerun += computed() - before + resume_at as u64;
        }
        let (a, b) = (recomputed_resumed / 5, recomputed_rerun / 5);
        row(
            table,
            &format!("next token, resumed at {resume_at} of 100"),
            &resumed,
            format!("{a} tokens again"),
        );
        row(
            table,
            &format!("next token, asked again at {resume_at} of 100"),
            &rerun,
            format!("{b} tokens again"),
        );
    }
}

/// Reads a response up to a token, then closes the connection; returns the cursor of that token.
async fn read_until(
    client: &Client,
    vm: std::net::SocketAddr,
    request: &client::Request,
    tokens: usize,
) -> String {
    let text = json!({ "model": request.model, "prompt": request.prompt, "max_tokens": request.max_tokens,
                       "stream": true });
    let request = Request::post(format!("http://{vm}/v1/completions"))
        .header("authorization", format!("Bearer {}", request.key))
        .body(body(text.to_string()))
        .expect("plain headers");
    let mut answer = client.send(request).await.expect("an answer").into_body();
    let mut read = String::new();
    while let Some(Ok(frame)) = answer.frame().await {
        read.push_str(&String::from_utf8_lossy(frame.data_ref().expect("data")));
        let mut cursors = read.lines().filter_map(|l| l.strip_prefix("id: "));
        if let Some(cursor) = cursors.nth(tokens - 1) {
            return cursor.to_owned();
        }
    }
    panic!("the answer ended before token {tokens}");
}
