//! A complete fleet on loopback for tests and measurements: stand-ins in this process, and
//! `foldlockd` child processes.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use foldlock_connection::http::{Client, body};
use foldlock_connection::kv::HttpStore;
use foldlock_connection::vms::{Listed, Listing};
use foldlock_version::branch::Name;
use foldlock_version::publish::{Base, Outcome, Publish, Rejection, read_head};
use foldlock_version::tree::{Texts, hash_of_key};
use hyper::Request;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::{engine, engine_http, kv, plain, port, vms};

/// Time after which a test fails if an awaited condition still does not hold.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which an awaited condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The data halls of a fleet.
pub const HALLS: [&str; 3] = ["charguia", "lac-deux", "ariana"];

/// The model of a fleet.
pub const MODEL: &str = "base";

/// The configuration of a fleet.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Path of the `foldlockd` executable.
    pub program: PathBuf,
    /// Number of VMs.
    pub vms: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of servers of the plain service.
    pub plains: usize,
    /// Number of organisations; their keys are `key-0`, `key-1` and so on.
    pub organisations: usize,
    /// The engines' settings.
    pub engine: engine::Settings,
    /// The key-value service's settings.
    pub kv: kv::Settings,
    /// Delay after which changes of the list of VMs are visible.
    pub list_lag: Duration,
    /// Policy in the fleet's branch of the settings, which applies to every request.
    pub policy: Value,
    /// Settings in each organisation's branch, in addition to its keys.
    pub organisation: Value,
    /// Additional arguments of each `foldlockd` process.
    pub arguments: Vec<String>,
}

impl Plan {
    /// A small fleet of fast engines.
    pub fn small(program: impl Into<PathBuf>) -> Plan {
        Plan {
            program: program.into(),
            vms: 3,
            engines: 4,
            plains: 2,
            organisations: 2,
            engine: engine::Settings { speed: 10.0, ..engine::Settings::default() },
            kv: kv::Settings { delay_ms: 1, ..kv::Settings::default() },
            list_lag: Duration::from_millis(100),
            policy: json!({}),
            organisation: json!({}),
            arguments: vec!["--drain-ms".to_owned(), "300".to_owned()],
        }
    }
}

/// A `foldlockd` process.
pub struct Vm {
    /// Its name.
    pub name: String,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for peers and operators.
    pub control: SocketAddr,
    child: Child,
}

impl Vm {
    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process exited with success; none while it runs.
    pub fn exited(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running fleet; it stops when dropped.
pub struct Fleet {
    /// The configuration.
    pub plan: Plan,
    /// The key-value service.
    pub kv: kv::Serving,
    /// The list of VMs.
    pub list: vms::Serving,
    /// The engines.
    pub engines: Vec<engine_http::Serving>,
    /// The servers of the plain service.
    pub plains: Vec<plain::Serving>,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The HTTP client.
    pub client: Client,
    next_index: usize,
}

impl Fleet {
    /// Starts stand-ins and VMs, publishes settings and waits until every VM is ready.
    pub async fn start(plan: Plan) -> Fleet {
        let mut fleet = Fleet::stand_ins(plan).await;
        for _ in 0..fleet.plan.vms {
            fleet.add_vm();
        }
        let texts = fleet.texts();
        fleet.publish("test", &texts).await.expect("the settings are accepted");
        fleet.wait_ready().await;
        fleet
    }

    /// Starts the stand-ins without VMs.
    pub async fn stand_ins(plan: Plan) -> Fleet {
        let kv = kv::serve(port::free(), plan.kv.clone()).await.expect("a free port");
        let list = vms::serve(port::free(), plan.list_lag).await.expect("a free port");
        let mut engines = Vec::new();
        for _ in 0..plan.engines {
            let engine = engine_http::serve(port::free(), plan.engine.clone()).await;
            engines.push(engine.expect("a free port"));
        }
        let mut plains = Vec::new();
        for _ in 0..plan.plains {
            let plain = plain::serve(port::free(), plain::Settings::default()).await;
            plains.push(plain.expect("a free port"));
        }
        let client = Client::default();
        Fleet { plan, kv, list, engines, plains, vms: Vec::new(), client, next_index: 0 }
    }

    /// Starts another VM and adds it to the list of VMs; returns its index.
    pub fn add_vm(&mut self) -> usize {
        let index = self.next_index;
        self.next_index += 1;
        let name = format!("vm-{index}");
        let mut child = Command::new(&self.plan.program)
            .args(["--vm", &name, "--hall", HALLS[index % HALLS.len()]])
            .args(["--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"])
            .args(["--kv", &self.kv.server.address.to_string()])
            .args(["--vms", &self.list.server.address.to_string()])
            .args(["--log-level", "error"])
            .args(&self.plan.arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("foldlockd starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("a pipe");
        BufReader::new(output).read_line(&mut line).expect("foldlockd prints its addresses");
        let fields: Vec<&str> = line.split_whitespace().collect();
        let address = |i: usize| fields[i].parse().expect("an address");
        let vm = Vm { name, listen: address(1), control: address(3), child };
        self.vms.push(vm);
        self.update_listing();
        self.vms.len() - 1
    }

    /// Writes the present VMs to the list of VMs.
    pub fn update_listing(&self) {
        let listed = |vm: &Vm| Listed {
            name: vm.name.clone(),
            address: vm.control.to_string(),
            hall: hall_of_vm(&vm.name).parse().expect("a name"),
            leaving: false,
        };
        let vms = self.vms.iter().map(listed).collect();
        self.list.list.set(Listing { vms, upstreams: Vec::new() });
    }

    /// The texts of this fleet's settings.
    pub fn texts(&self) -> Texts {
        let mut texts = Texts::new();
        texts.insert(Name::Fleet, self.fleet_text().to_string().into());
        for i in 0..self.plan.organisations {
            let mut value = self.plan.organisation.clone();
            value["keys"] = json!([hash_of_key(&format!("key-{i}"))]);
            let name = Name::Organisation(format!("org-{i}").parse().expect("a name"));
            texts.insert(name, value.to_string().into());
        }
        texts
    }

    fn fleet_text(&self) -> Value {
        let halls: BTreeMap<&str, Value> =
            HALLS.iter().map(|h| (*h, json!({ "region": "tunis" }))).collect();
        let engines: BTreeMap<String, Value> = self
            .engines
            .iter()
            .enumerate()
            .map(|(i, e)| {
                let entry = json!({
                    "address": e.server.address.to_string(),
                    "hall": HALLS[i % HALLS.len()],
                    "models": [MODEL],
                    "memory_tokens": self.plan.engine.memory,
                });
                (format!("engine-{i}"), entry)
            })
            .collect();
        let servers: BTreeMap<String, Value> = self
            .plains
            .iter()
            .enumerate()
            .map(|(i, p)| {
                let hall = HALLS[i % HALLS.len()];
                let address = p.server.address.to_string();
                (format!("registry-{i}"), json!({ "address": address, "hall": hall }))
            })
            .collect();
        json!({
            "policy": self.plan.policy,
            "halls": halls,
            "models": { MODEL: { "bytes_per_token": 4, "context_tokens": 10_000_000 } },
            "engines": engines,
            "services": {
                "registry": { "path": "/registry", "servers": servers, "once": ["/pulls"] }
            },
            "cursor_secret": "secret",
        })
    }

    /// A client of the key-value service, as operators use it.
    pub fn store(&self) -> HttpStore {
        HttpStore::new(self.client.clone(), &self.kv.server.address.to_string())
    }

    /// Publishes settings based on the accepted version.
    pub async fn publish(&self, author: &str, texts: &Texts) -> Result<u64, Rejection> {
        let store = self.store();
        let (head, _) = read_head(&store).await.map_err(Rejection::Store)?;
        self.publish_from(author, &Base::from(&head), texts).await
    }

    /// Publishes settings based on a given version.
    pub async fn publish_from(
        &self,
        author: &str,
        base: &Base,
        texts: &Texts,
    ) -> Result<u64, Rejection> {
        let store = self.store();
        let id = format!("{author}-{:x}", rand::random::<u64>());
        let publish = Publish { store: &store, id, author: author.to_owned() };
        match publish.run(base, texts).await? {
            Outcome::Accepted(head) | Outcome::Unchanged(head) => Ok(head.version),
        }
    }

    /// Waits until every VM is ready and has all others as members.
    pub async fn wait_ready(&self) {
        for vm in &self.vms {
            let others = self.vms.len() - 1;
            wait_for(&format!("{} to be ready", vm.name), async || {
                let Some(dump) = self.dump(vm).await else { return false };
                let members = dump["members"].as_object().map_or(0, |m| m.len());
                dump["ready"] == true && members >= others
            })
            .await;
        }
    }

    /// The state dump of a VM.
    pub async fn dump(&self, vm: &Vm) -> Option<Value> {
        serde_json::from_slice(&self.get_control(vm, "/dump").await?).ok()
    }

    /// Gets a path from a VM's control address.
    pub async fn get_control(&self, vm: &Vm, path: &str) -> Option<Vec<u8>> {
        let request = Request::get(format!("http://{}{path}", vm.control)).body(body("")).ok()?;
        let response = self.client.call(request, Duration::from_secs(2)).await.ok()?;
        (response.status() == 200).then(|| response.into_body().to_vec())
    }

    /// Tokens of engine memory in use, over all engines.
    pub fn memory_used(&self) -> u64 {
        self.engines.iter().map(|e| e.engine.stats().used).sum()
    }

    /// How many times each request was started, over all engines, by request id.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for engine in &self.engines {
            for (request, count) in engine.engine.stats().runs {
                *runs.entry(request).or_default() += count;
            }
        }
        runs
    }
}

fn hall_of_vm(vm: &str) -> &'static str {
    let index: usize = vm.trim_start_matches("vm-").parse().unwrap_or(0);
    HALLS[index % HALLS.len()]
}

/// Waits until a condition holds; panics if it does not within [`CONDITION_TIMEOUT`].
pub async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
