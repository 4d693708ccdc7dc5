//! Real `foldlockd` processes whose upstreams, processes of their own, are frozen for about a second while the settings
//! change.
//!
//! Load pattern: callers with kept connections, and silences in series, of a share of the upstreams or of all of them. Bound:
//! a request that was sent to a sound upstream gets its whole response, or ends at its deadline or its route's timeout. Callers
//! cannot tell silence from work, so it is no reason to end a response sooner.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foldlock_platform_standin::caller::Call;
use foldlock_platform_standin::server::{self, Journal, Notice, Server};
use foldlock_platform_standin::settings::{self, Route};
use foldlock_platform_standin::store::{Entry, Store};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use standin::port::free;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const VM_COUNT: usize = 3;
const CALLERS_PER_VM: usize = 20;

/// Those of them that send a request only when a silence begins, so that many wait for their first event.
const BURST_CALLERS_PER_VM: usize = 8;

/// The services, with their number of upstreams. Routes of streams move between the first two.
const SERVICES: [(&str, usize); 3] = [("model", 4), ("spare", 3), ("plain", 4)];

/// Every third upstream is frozen with the others of its share.
const SHARES: usize = 3;

/// Duration of a silence, milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 1_000..1_300;

/// Pause between two silences, milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 400..800;

/// The shortest timeout of a route in any settings.
const MIN_ROUTE_TIMEOUT: Duration = Duration::from_secs(9);

/// Tokens of a prompt that exceeds the memory of one engine.
const LONG_PROMPT: u64 = 24_000;

/// Tokens of a prompt that an engine reads in a second.
const READ_RATE: f64 = 40_000.0;

/// The command after which an upstream rejects new requests, as a full one does, and the one that ends it.
const FULL: &str = "full";
const FREE: &str = "free";

/// How long before the end of a silence the other upstreams become full.
const FILLING_TIME: Duration = Duration::from_millis(250);

/// The backoff that a full upstream requests.
const BACKOFF: Duration = Duration::from_millis(50);

/// Requests that must be in progress during silences, so that the run shows something.
const MIN_INTERRUPTED: usize = 100;

/// Set for the processes of upstreams, to their id.
const UPSTREAM_ID: &str = "FOLDLOCK_TEST_UPSTREAM";

/// How often a VM is started with other ports.
const MAX_STARTS: usize = 3;

const KEY: &str = "key-of-one";

/// An upstream process. It ends once its standard input is closed, after a line with the requests that it ran.
struct Upstream {
    id: String,
    service: &'static str,
    child: Child,
    output: BufReader<ChildStdout>,
}

impl Upstream {
    fn start(service: &'static str, index: usize) -> Upstream {
        let id = format!("{service}-{index}");
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--ignored", "--exact", "upstream_process", "--nocapture"])
            .env(UPSTREAM_ID, &id)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the test starts itself");
        let output = BufReader::new(child.stdout.take().expect("it is piped"));
        Upstream { id, service, child, output }
    }

    /// The rest of the first line of its output that begins with `name`.
    fn line(&mut self, name: &str) -> String {
        let lines = self.output.by_ref().lines().map(|line| line.expect("the process prints text"));
        let mut found = lines.filter_map(|line| line.strip_prefix(name).map(str::to_owned));
        found.next().expect("the process prints the line")
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process runs");
    }

    /// Sends a command to the process.
    fn command(&self, command: &str) {
        let mut input = self.child.stdin.as_ref().expect("it is piped");
        writeln!(input, "{command}").expect("the process runs");
    }

    /// Ends the process and returns the requests that it ran.
    fn end(&mut self) -> Vec<String> {
        drop(self.child.stdin.take());
        serde_json::from_str(&self.line("runs ")).expect("it prints a list")
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::test]
#[ignore = "the process of an upstream, started by the other tests"]
async fn upstream_process() {
    let Ok(id) = std::env::var(UPSTREAM_ID) else { return };
    let journal = Arc::new(Journal::default());
    let server = Server::new(&id, journal.clone()).with_read_rate(READ_RATE);
    let served = server.serve().await;
    println!("\naddress {}", served.address);
    let commands = move || {
        for command in std::io::stdin().lines() {
            let is_full = command.expect("commands are text") == FULL;
            server.set_notice(Notice { backoff: is_full.then_some(BACKOFF), ..Notice::default() });
        }
    };
    tokio::task::spawn_blocking(commands).await.unwrap();
    let runs: Vec<String> = journal.all_runs().into_iter().map(|(id, _)| id).collect();
    println!("\nruns {}", json!(runs));
}

struct Vm {
    listen: SocketAddr,
    log: PathBuf,
    child: Child,
}

impl Vm {
    /// Starts a process and waits until it listens; again with other ports if they were taken meanwhile.
    async fn start(folder: &Path, index: usize, directory: SocketAddr, limits: &Value) -> Vm {
        for _ in 0..MAX_STARTS {
            let mut vm = Vm::spawn(folder, index, directory, limits);
            while vm.child.try_wait().unwrap().is_none() {
                let listens = TcpStream::connect(vm.listen).await.is_ok();
                // Another process may listen there, and this one exits.
                tokio::time::sleep(Duration::from_millis(50)).await;
                if listens && vm.child.try_wait().unwrap().is_none() {
                    return vm;
                }
            }
        }
        panic!("vm-{index} did not start");
    }

    fn spawn(folder: &Path, index: usize, directory: SocketAddr, limits: &Value) -> Vm {
        let (name, listen) = (format!("vm-{index}"), free());
        let (config, log) =
            (folder.join(format!("{name}.json")), folder.join(format!("{name}.log")));
        let mut fleet = json!({
            "ready": free(), "peers": free(), "directory": directory.to_string(), "stop_ms": 8_000,
        });
        fleet.as_object_mut().unwrap().extend(limits.as_object().unwrap().clone());
        let content = json!({
            "vm": name, "hall": "a", "listen": listen, "log_level": "debug", "fleet": fleet,
        });
        fs::write(&config, content.to_string()).unwrap();
        let output = File::create(&log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_foldlockd"))
            .arg("--config")
            .arg(&config)
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .expect("foldlockd starts");
        Vm { listen, log, child }
    }

    /// The log lines about a request.
    fn lines_about(&self, id: &str) -> String {
        let log = fs::read_to_string(&self.log).unwrap();
        let name = format!("\"request\":\"{id}\"");
        log.lines()
            .filter(|line| line.contains(&name))
            .map(|line| format!("    {line}\n"))
            .collect()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Settings that differ in the services of routes, a route, the timeouts of routes and the idle timeout.
fn settings_at(version: u64) -> Value {
    let turn = version as usize;
    let model = ["model", "spare"][turn / 2 % 2];
    let added = format!("added-{version}");
    let route = |path, kind, service, attempts, resumable| Route {
        path,
        kind,
        service,
        attempts,
        resumable,
        objective_ms: 500,
        pause_ms: 250,
    };
    let routes = [
        route("safe", "safe", "plain", 2, false),
        route("once", "unsafe", "plain", 1, false),
        route("gen/again", "streaming", model, 3, true),
        route("gen/once", "streaming", model, 2, false),
        route(&added, "safe", "plain", 2, false),
    ];
    let mut settings = settings::encode(version, &routes, &[("one", KEY)]);
    for route in settings["Routes"].as_array_mut().unwrap() {
        route["TimeoutMs"] = json!([9_000, 11_000, 10_000][turn % 3]);
    }
    settings["Services"][1]["Engine"]["read_per_s"] = json!(READ_RATE);
    settings["Limits"]["IdleTimeoutMs"] = json!([15_000, 3_000, 8_000][turn % 3]);
    let mut spare = settings["Services"][1].clone();
    spare["Name"] = json!("spare");
    settings["Services"].as_array_mut().unwrap().push(spare);
    settings
}

/// A request and how it ended.
#[derive(Debug)]
struct Outcome {
    id: String,
    route: &'static str,
    vm: usize,
    sent: Instant,
    elapsed: Duration,
    deadline: Duration,
    end: End,
}

#[derive(Debug, PartialEq)]
enum End {
    Complete,
    Status(u16),
    /// A success with other bytes than the upstream's.
    Altered,
    /// The connection was closed after this many bytes of the response.
    Truncated(usize),
    /// The connection was closed without a response.
    Closed,
}

impl Outcome {
    /// Whether the request ended before its time, without its whole response.
    fn is_cut(&self) -> bool {
        let limit = self.deadline.min(MIN_ROUTE_TIMEOUT) - Duration::from_millis(10);
        self.end != End::Complete && self.elapsed < limit
    }
}

async fn connect(vm: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(vm).await.unwrap();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// Sends requests on a kept connection until cancelled.
async fn run_caller(
    vm: usize,
    address: SocketAddr,
    number: usize,
    mut bursts: Option<watch::Receiver<usize>>,
    stop: CancellationToken,
) -> Vec<Outcome> {
    let mut rng = StdRng::seed_from_u64(number as u64);
    let mut outcomes: Vec<Outcome> = Vec::new();
    let mut sender = connect(address).await;
    while !stop.is_cancelled() {
        if sender.ready().await.is_err() {
            sender = connect(address).await;
            continue;
        }
        if let Some(bursts) = &mut bursts
            && bursts.changed().await.is_err()
        {
            break;
        }
        let paths = ["gen/again", "safe", "gen/once", "once"];
        let route = paths[rng.random_range(0..if bursts.is_some() { 2 } else { paths.len() })];
        let is_stream = route.starts_with("gen");
        let id = format!("{vm}-{number}-{}", outcomes.len());
        let is_short = !is_stream && rng.random_bool(0.2);
        let deadline = Duration::from_millis(if is_short { 600 } else { 9_000 });
        let prompt = if rng.random_bool(0.3) { LONG_PROMPT } else { 1_000 };
        let path = format!("/{route}/{id}");
        let (sent, time, parts, body) = (Instant::now(), deadline, &["a0"][..], &b"the body"[..]);
        let call = Call { id: &id, vm, path: &path, key: KEY, time, prompt, parts, body };
        let end = exchange(&mut sender, &call).await;
        let outcome = Outcome { id, route, vm, sent, elapsed: sent.elapsed(), deadline, end };
        outcomes.push(outcome);
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..60))).await;
    }
    outcomes
}

async fn exchange(sender: &mut SendRequest<Full<Bytes>>, call: &Call<'_>) -> End {
    let Ok(response) = sender.send_request(call.encode()).await else { return End::Closed };
    let (status, is_matching) = (response.status().as_u16(), call.is_answered_by(&response));
    let (mut body, mut bytes) = (response.into_body(), Vec::new());
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => return End::Truncated(bytes.len()),
        }
    }
    if status != 200 {
        return End::Status(status);
    }
    let expected = if call.path.starts_with(server::STREAMS) {
        (1..=server::events(call.path)).map(|id| server::event(call.path, id)).collect()
    } else {
        server::plain(call.path, call.body)
    };
    if is_matching && bytes == expected.as_bytes() { End::Complete } else { End::Altered }
}

/// Freezes the upstreams, and changes the settings before and in the middle of each silence. Returns the silences.
async fn freeze(
    upstreams: &[Upstream],
    store: &Store,
    bursts: watch::Sender<usize>,
) -> Vec<(Instant, Instant)> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut version = 1;
    let mut change_settings = || {
        version += 1;
        store.put_settings(&settings_at(version));
    };
    let mut silences = Vec::new();
    for turn in 0..SHARES * 2 {
        // All of them after each share.
        let is_frozen = |index: usize| turn % 2 == 1 || index % SHARES == turn / 2;
        let frozen = || upstreams.iter().enumerate().filter(|(index, _)| is_frozen(*index));
        let silence = Duration::from_millis(rng.random_range(SILENCE_MS));
        change_settings();
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..200))).await;
        let began = Instant::now();
        frozen().for_each(|(_, upstream)| upstream.signal(Signal::SIGSTOP));
        bursts.send_replace(turn);
        tokio::time::sleep(silence / 2).await;
        change_settings();
        tokio::time::sleep(silence / 2 - FILLING_TIME).await;
        // The others fill up with the requests that are sent again.
        let full = || upstreams.iter().enumerate().filter(|(index, _)| !is_frozen(*index));
        full().for_each(|(_, upstream)| upstream.command(FULL));
        tokio::time::sleep(FILLING_TIME).await;
        frozen().for_each(|(_, upstream)| upstream.signal(Signal::SIGCONT));
        silences.push((began, Instant::now()));
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        full().for_each(|(_, upstream)| upstream.command(FREE));
    }
    silences
}

/// Runs the fleet under silences and checks the bound for each request. `limits` are added to the fleet's configuration.
async fn check(name: &str, limits: Value) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("silent-{name}"));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    let store = Store::default();
    store.put_settings(&settings_at(1));
    let kinds =
        SERVICES.iter().flat_map(|(service, count)| (0..*count).map(move |i| (*service, i)));
    let mut upstreams: Vec<_> = kinds.map(|(service, i)| Upstream::start(service, i)).collect();
    for upstream in &mut upstreams {
        let address = upstream.line("address ").parse().unwrap();
        let entry = Entry { service: upstream.service, address, leaving: false };
        store.put_server(&upstream.id, &entry);
    }
    let directory = store.serve().await;
    let mut vms = Vec::new();
    for index in 0..VM_COUNT {
        vms.push(Vm::start(&folder, index, directory.address, &limits).await);
    }
    for vm in &vms {
        wait_until_served(vm.listen).await;
    }
    let stop = CancellationToken::new();
    let (bursts, burst) = watch::channel(0);
    let callers: Vec<_> = (0..VM_COUNT * CALLERS_PER_VM)
        .map(|number| {
            let vm = number % VM_COUNT;
            let burst = (number < VM_COUNT * BURST_CALLERS_PER_VM).then(|| burst.clone());
            tokio::spawn(run_caller(vm, vms[vm].listen, number, burst, stop.clone()))
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let silences = freeze(&upstreams, &store, bursts).await;
    stop.cancel();
    let mut outcomes = Vec::new();
    for caller in callers {
        outcomes.extend(caller.await.unwrap());
    }
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for upstream in &mut upstreams {
        for request in upstream.end() {
            runs.entry(request).or_default().push(upstream.id.clone());
        }
    }
    report(name, &vms, &outcomes, &silences, &runs);
}

/// Waits until a VM serves a stream.
async fn wait_until_served(vm: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(10);
    for attempt in 0.. {
        let (id, path) = (format!("first-{vm}-{attempt}"), "/gen/again/first");
        let time = Duration::from_secs(5);
        let call =
            Call { id: &id, vm: 0, path, key: KEY, time, prompt: 1_000, parts: &[], body: b"" };
        if exchange(&mut connect(vm).await, &call).await == End::Complete {
            return;
        }
        assert!(Instant::now() < until, "{vm} serves no stream");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Prints the requests that were cut with their log lines, and fails if there are any.
fn report(
    name: &str,
    vms: &[Vm],
    outcomes: &[Outcome],
    silences: &[(Instant, Instant)],
    runs: &BTreeMap<String, Vec<String>>,
) {
    let is_interrupted = |outcome: &&Outcome| {
        let ended = outcome.sent + outcome.elapsed;
        silences.iter().any(|(began, end)| outcome.sent < *end && ended > *began)
    };
    let interrupted = outcomes.iter().filter(is_interrupted).count();
    let complete = outcomes.iter().filter(|outcome| outcome.end == End::Complete).count();
    let cut: Vec<_> = outcomes
        .iter()
        .filter(|outcome| outcome.is_cut() && runs.contains_key(&outcome.id))
        .collect();
    println!(
        "{name}: {} requests, {interrupted} during silences, {complete} complete, {} cut",
        outcomes.len(),
        cut.len()
    );
    for outcome in &cut {
        let (id, vm) = (&outcome.id, &vms[outcome.vm]);
        println!("  {outcome:?}, run by {:?}\n{}", runs[id], vm.lines_about(id));
    }
    let twice = |outcome: &&Outcome| {
        ["once", "gen/once"].contains(&outcome.route)
            && runs.get(&outcome.id).is_some_and(|runs| runs.len() > 1)
    };
    let twice: Vec<_> = outcomes.iter().filter(twice).collect();
    assert!(twice.is_empty(), "ran more than once: {twice:?}");
    assert!(interrupted >= MIN_INTERRUPTED, "{interrupted} requests during silences");
    assert!(complete * 2 > outcomes.len(), "{complete} of {} requests complete", outcomes.len());
    assert!(cut.is_empty(), "{} requests were cut by silences, see above", cut.len());
}

/// Guards against streams that end with their upstreams' silence when no retry is granted.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_cut_by_silences_with_admission_by_timeout() {
    let limits = json!({
        "repeat_ratio": 0.1, "repeat_slack": 3.0, "repeat_window_ms": 10_000,
        "scheduling": {"admission": "timeout"},
    });
    check("timeout", limits).await;
}

/// Guards against requests that are retried because of a silence and then lost.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_cut_by_silences_with_admission_by_forecast() {
    let limits = json!({
        "repeat_ratio": 0.2, "repeat_slack": 100.0, "repeat_window_ms": 2_000,
        "scheduling": {"admission": "forecast"},
    });
    check("forecast", limits).await;
}

/// Guards against streams of divided prompts that end while their engines leave report requests unanswered.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_cut_by_silences_where_memory_must_be_released_sooner() {
    let limits = json!({
        "repeat_ratio": 0.2, "repeat_slack": 100.0, "repeat_window_ms": 1_000,
        "memory_release_ms": 2_000, "scheduling": {"admission": "forecast"},
    });
    check("release", limits).await;
}
