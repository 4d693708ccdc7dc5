//! The processes and stand-ins of one run, and the disturbances of each part.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use foldlock_platform_standin::server::{Journal, Notice, Server};
use foldlock_platform_standin::store::{Entry, Store};
use foldlock_request::scheduler::Policy;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use standin::port::free;
use standin::proxy::{Mode, Proxy};
use standin::server::Handle;

use crate::links::Links;

/// Number of VMs in a run.
pub(crate) const VM_COUNT: usize = 3;

/// How long a part must be undisturbed before time limits apply to it again.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(3);

/// How often the soak checks whether its own process was stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A longer pause of the soak process stalls its callers and servers too, so it counts as a disturbance of all
/// parts: late or truncated responses are then caused by the soak itself.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);

/// Maximum age of settings at which a VM still accepts their API keys.
pub(crate) const MAX_SETTINGS_AGE: Duration = Duration::from_secs(5);

/// Time for a VM to exit after SIGTERM, before it is killed.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// The services, with their number of servers.
const SERVICES: [(&str, usize); 2] = [("model", 4), ("plain", 3)];

/// The part of a run that a disturbance affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    Vm(usize),
    /// A VM, only by a planned stop and the start after it.
    PlannedStop(usize),
    Store,
    Servers,
    /// Servers that are silent for about a second. Excuses late arrivals, and no lost request.
    Silence,
    /// The soak process itself; its stalls affect all parts.
    Harness,
}

/// A VM: its process, and the links from callers to it and from it to the store.
pub(crate) struct Vm {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) caller_link: Proxy,
    pub(crate) store_link: Proxy,
    _store_served: Handle,
    folder: PathBuf,
    scheduling: Policy,
    process: Mutex<Process>,
}

#[derive(Default)]
struct Process {
    child: Option<Child>,
    incarnation: usize,
}

/// A server address at which one instance after the other serves.
pub(crate) struct Endpoint {
    pub(crate) service: &'static str,
    pub(crate) links: Links,
    instance: Mutex<Instance>,
}

struct Instance {
    id: String,
    server: Server,
    /// Whether its entry announces that it is leaving.
    leaving: bool,
    _served: Handle,
}

/// All VMs, servers and the store of a run.
pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) journal: Arc<Journal>,
    pub(crate) vms: Vec<Vm>,
    pub(crate) endpoints: Vec<Endpoint>,
    /// The version of the settings in the store.
    pub(crate) settings_version: Mutex<u64>,
    /// Messages about violated guarantees.
    pub(crate) violations: Mutex<Vec<String>>,
    disturbances: Mutex<Vec<(Part, Instant, Option<Instant>)>>,
    last_tick: Mutex<Instant>,
}

impl Vm {
    async fn new(
        index: usize,
        store: &Store,
        endpoints: &[Endpoint],
        folder: &std::path::Path,
        scheduling: Policy,
    ) -> Vm {
        let listen = free();
        let link = |endpoint: &Endpoint| (endpoint.links.listed, endpoint.links.address(index));
        let addresses: BTreeMap<_, _> = endpoints.iter().map(link).collect();
        let store_served = store.with_addresses(addresses).serve().await;
        let vm = Vm {
            name: format!("vm-{index}"),
            listen,
            caller_link: Proxy::start(listen).await,
            store_link: Proxy::start(store_served.address).await,
            _store_served: store_served,
            folder: folder.to_owned(),
            scheduling,
            process: Mutex::default(),
        };
        fs::write(vm.config_path(), vm.config().to_string()).unwrap();
        vm
    }

    fn config_path(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    fn config(&self) -> Value {
        json!({
            "vm": self.name, "hall": "a", "listen": self.listen, "log_level": "debug",
            "fleet": {
                "ready": free(), "peers": free(), "directory": self.store_link.address.to_string(),
                "settings_age_ms": MAX_SETTINGS_AGE.as_millis() as u64,
                "stop_ms": STOP_TIMEOUT.as_millis() as u64,
                "repeat_ratio": 0.2, "repeat_slack": 100.0, "repeat_window_ms": 10_000,
                "scheduling": self.scheduling,
            },
        })
    }

    /// Starts the process. All its incarnations append to one log file.
    pub(crate) fn start(&self) {
        let mut process = self.process.lock().unwrap();
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_foldlockd"))
            .arg("--config")
            .arg(self.config_path())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("foldlockd starts");
        process.child = Some(child);
        process.incarnation += 1;
    }

    /// Sends the process a signal if it is running.
    pub(crate) fn signal(&self, signal: Signal) {
        let process = self.process.lock().unwrap();
        if let Some(child) = &process.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// The exit status of the process if it has exited since the last start; returned once.
    pub(crate) fn exit_status(&self) -> Option<std::process::ExitStatus> {
        let mut process = self.process.lock().unwrap();
        let status = process.child.as_mut()?.try_wait().ok()??;
        process.child = None;
        Some(status)
    }

    /// Number of the current process: how often it was started.
    pub(crate) fn incarnation(&self) -> usize {
        self.process.lock().unwrap().incarnation
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(child) = &mut self.process.lock().unwrap().child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Endpoint {
    /// The id of the current instance.
    pub(crate) fn id(&self) -> String {
        self.instance.lock().unwrap().id.clone()
    }
}

impl Endpoint {
    /// Sets the rate limit that the current instance announces.
    pub(crate) fn set_rate_limit(&self, rate: Option<f64>) {
        self.instance.lock().unwrap().server.set_rate_limit(rate);
    }

    /// Sets the notice in the responses of the current instance.
    pub(crate) fn set_notice(&self, notice: Notice) {
        self.instance.lock().unwrap().server.set_notice(notice);
    }
}

/// Names of entries that another program has written, spread over the pages of the list of servers.
const ODD_NAMES: [&str; 5] = ["a&b=c", "i-&", "i-1 2#", "m+%41", "z%"];

impl World {
    /// Starts the store, the servers and the VM processes.
    pub(crate) async fn start(folder: PathBuf, settings: &Value, scheduling: Policy) -> Arc<World> {
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let store = Store::default();
        store.put_settings(settings);
        ODD_NAMES.iter().for_each(|name| store.put_server_bytes(name, b"{}"));
        store.put_server_bytes("m-nested", "[".repeat(100_000).as_bytes());
        let journal = Arc::new(Journal::default());
        let mut endpoints = Vec::new();
        for (service, count) in SERVICES {
            for index in 0..count {
                endpoints.push(start_endpoint(service, index, &journal).await);
            }
        }
        let mut vms = Vec::new();
        for index in 0..VM_COUNT {
            vms.push(Vm::new(index, &store, &endpoints, &folder, scheduling).await);
        }
        let world = World {
            store,
            journal,
            vms,
            endpoints,
            settings_version: Mutex::new(crate::FIRST_VERSION),
            violations: Mutex::default(),
            disturbances: Mutex::default(),
            last_tick: Mutex::new(Instant::now()),
        };
        world.endpoints.iter().for_each(|endpoint| world.register(endpoint, false));
        world.vms.iter().for_each(Vm::start);
        let world = Arc::new(world);
        tokio::spawn(watch_stalls(Arc::downgrade(&world)));
        world
    }

    /// Records that the soak process runs, and a disturbance if it was stalled.
    fn tick(&self) {
        let before = std::mem::replace(&mut *self.last_tick.lock().unwrap(), Instant::now());
        if before.elapsed() > STALL_THRESHOLD {
            println!("the soak process was stalled for {:?}", before.elapsed());
            let stall = (Part::Harness, before, Some(Instant::now()));
            self.disturbances.lock().unwrap().push(stall);
        }
    }

    /// Writes the store entry of the endpoint's current instance.
    pub(crate) fn register(&self, endpoint: &Endpoint, leaving: bool) {
        endpoint.instance.lock().unwrap().leaving = leaving;
        let entry = Entry { service: endpoint.service, address: endpoint.links.listed, leaving };
        self.store.put_server(&endpoint.id(), &entry);
    }

    /// Writes the entries of all current instances again, as servers do after the store was restored from a
    /// snapshot.
    pub(crate) fn register_all(&self) {
        for endpoint in &self.endpoints {
            let leaving = endpoint.instance.lock().unwrap().leaving;
            self.register(endpoint, leaving);
        }
    }

    /// Removes the entries of servers that have exited, as they expire after a restore.
    pub(crate) fn remove_stale(&self) {
        let current: Vec<String> = self.endpoints.iter().map(Endpoint::id).collect();
        let stale = self.store.servers().into_iter().filter(|id| !current.contains(id));
        stale.for_each(|id| self.store.remove_server(&id));
    }

    /// Replaces the instance of an endpoint; the previous one ends at once.
    pub(crate) async fn replace(&self, endpoint: &Endpoint) {
        let id = format!("{}-{}", endpoint.service, next_number());
        let server = Server::new(&id, self.journal.clone());
        let served = server.serve().await;
        endpoint.links.set_target(served.address);
        let next = Instance { id, server, leaving: false, _served: served };
        let before = std::mem::replace(&mut *endpoint.instance.lock().unwrap(), next);
        self.store.remove_server(&before.id);
        self.register(endpoint, false);
    }

    /// Sets the mode of all links of a VM to servers.
    pub(crate) fn set_server_links(&self, vm: usize, mode: Mode) {
        self.endpoints.iter().for_each(|endpoint| endpoint.links.set_vm(vm, mode));
    }

    /// Number of memory reservations at the current instances.
    pub(crate) fn reservation_count(&self) -> usize {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.instance.lock().unwrap().server.reservation_count())
            .sum()
    }

    /// Records a violated guarantee.
    pub(crate) fn record_violation(&self, what: String) {
        self.violations.lock().unwrap().push(what);
    }

    /// How long the soak process was stalled since `from`.
    pub(crate) fn stall_time_since(&self, from: Instant) -> Duration {
        self.tick();
        let disturbances = self.disturbances.lock().unwrap();
        let stalls =
            disturbances.iter().filter(|(part, begin, _)| *part == Part::Harness && *begin > from);
        stalls.filter_map(|(_, begin, end)| end.map(|end| end - *begin)).sum()
    }

    /// Begins a disturbance; [`World::end_disturbance`] takes the returned index.
    pub(crate) fn begin_disturbance(&self, part: Part) -> usize {
        let mut disturbances = self.disturbances.lock().unwrap();
        disturbances.push((part, Instant::now(), None));
        disturbances.len() - 1
    }

    /// Ends a disturbance.
    pub(crate) fn end_disturbance(&self, disturbance: usize) {
        self.disturbances.lock().unwrap()[disturbance].2 = Some(Instant::now());
    }

    /// Whether a VM was undisturbed from [`SETTLE_TIME`] before `from` until `to`.
    pub(crate) fn vm_is_settled(&self, vm: usize, from: Instant, to: Instant) -> bool {
        self.is_undisturbed(Part::Vm(vm), from - SETTLE_TIME, to)
            && self.is_undisturbed(Part::PlannedStop(vm), from - SETTLE_TIME, to)
    }

    /// Whether a response that a silence held up may be lost: it was in progress in the last sixth of the time of a planned stop.
    pub(crate) fn is_stopping_late(&self, vm: usize, from: Instant, now: Instant) -> bool {
        let is_late = |(part, begin, end): &(Part, Instant, Option<Instant>)| {
            *part == Part::PlannedStop(vm)
                && now >= *begin + STOP_TIMEOUT * 5 / 6
                && end.is_none_or(|end| end >= now)
        };
        !self.is_undisturbed(Part::Silence, from, now)
            && self.disturbances.lock().unwrap().iter().any(is_late)
    }

    /// Whether all VMs and the store were undisturbed from [`SETTLE_TIME`] before `from` until `to`.
    pub(crate) fn all_settled(&self, from: Instant, to: Instant) -> bool {
        let vms = (0..self.vms.len()).all(|vm| self.vm_is_settled(vm, from, to));
        vms && self.is_undisturbed(Part::Store, from - SETTLE_TIME, to)
    }

    /// Whether no disturbance but planned stops affected a VM or the servers.
    pub(crate) fn only_planned_stops(&self, vm: usize, from: Instant, to: Instant) -> bool {
        let parts = [Part::Vm(vm), Part::Servers];
        parts.into_iter().all(|part| self.is_undisturbed(part, from - SETTLE_TIME, to))
    }

    /// Whether no disturbance of a part, or stall of the soak process, overlaps the time from `from` to `to`.
    pub(crate) fn is_undisturbed(&self, part: Part, from: Instant, to: Instant) -> bool {
        self.tick();
        let disturbances = self.disturbances.lock().unwrap();
        let overlaps = |(disturbed, begin, end): &(Part, Instant, Option<Instant>)| {
            (*disturbed == part || *disturbed == Part::Harness)
                && *begin <= to
                && end.is_none_or(|end| end >= from)
        };
        !disturbances.iter().any(overlaps)
    }
}

async fn watch_stalls(world: Weak<World>) {
    while let Some(world) = world.upgrade() {
        world.tick();
        drop(world);
        tokio::time::sleep(STALL_CHECK_INTERVAL).await;
    }
}

fn next_number() -> usize {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(100);
    NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
}

async fn start_endpoint(service: &'static str, index: usize, journal: &Arc<Journal>) -> Endpoint {
    let id = format!("{service}-{index}");
    let server = Server::new(&id, journal.clone());
    let served = server.serve().await;
    let links = Links::start(served.address, VM_COUNT).await;
    let instance = Mutex::new(Instance { id, server, leaving: false, _served: served });
    Endpoint { service, links, instance }
}
