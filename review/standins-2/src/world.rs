//! A small deployment on loopback: the store, the servers and the VMs, with a record of what was sent, answered and run.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer};
use crate::store::Store;

/// How often a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// `ContactMs` of the deployment.
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// The program, as the deploy file runs it.
const PROGRAM: &str = "target/release/foldlockd";

/// Something that a server saw.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Time since the start.
    pub at: Duration,
    /// The server's id.
    pub server: String,
    /// The word for it.
    pub what: String,
    /// The request.
    pub request: String,
    /// Further fields.
    pub more: String,
}

struct Vm {
    name: String,
    ip: Ipv4Addr,
    folder: PathBuf,
    child: Process,
}

/// A VM's process, while it runs.
type Process = Arc<Mutex<Option<Child>>>;

/// The processes of all VMs, to be ended whatever happens.
static PROCESSES: Mutex<Vec<Process>> = Mutex::new(Vec::new());

/// Ends the processes of all VMs. Servers end with this process, as their standard input does.
pub fn end_all() {
    for process in PROCESSES.lock().unwrap_or_else(|e| e.into_inner()).iter() {
        if let Some(mut child) = process.lock().unwrap_or_else(|e| e.into_inner()).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct Server {
    service: &'static str,
    address: SocketAddr,
    options: Vec<String>,
    /// The process: its id, its start, and what it is told on its standard input.
    process: Mutex<Option<(String, u64, Child, ChildStdin)>>,
    /// For how long it is down after a crash; none if it stays down.
    back: Option<Duration>,
    /// Whether its entry says that it is draining.
    drains: AtomicBool,
}

/// The deployment.
pub struct World {
    /// The store.
    pub store: Store,
    start: Instant,
    net: u8,
    folder: PathBuf,
    record: Mutex<File>,
    seen: Mutex<Vec<Seen>>,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    boots: Mutex<u32>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// What a case can't do without: it ends with 2.
pub type Setup<T> = Result<T, String>;

impl World {
    /// Starts the store, and prepares this many VMs, whose record goes to a file.
    pub fn new(record: &str, vms: usize) -> Setup<World> {
        let net = free_net().ok_or("no free loopback addresses")?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let record = File::create(record).map_err(|e| format!("{record}: {e}"))?;
        let vm = |index: usize| {
            let name = format!("front-{}", index + 1);
            let folder = folder.join(&name);
            let child = Process::default();
            PROCESSES.lock().unwrap().push(child.clone());
            Vm { name, ip: Ipv4Addr::new(127, net, 1, index as u8 + 1), folder, child }
        };
        let world = World {
            store: Store::default(),
            start: Instant::now(),
            net,
            folder: folder.clone(),
            record: Mutex::new(record),
            seen: Mutex::default(),
            vms: (0..vms).map(vm).collect(),
            servers: Vec::new(),
            boots: Mutex::new(0),
        };
        world.store.serve(world.store_address()).map_err(|e| format!("store: {e}"))?;
        Ok(world)
    }

    fn store_address(&self) -> SocketAddr {
        SocketAddr::from(([127, self.net, 3, 1], 8223))
    }

    /// Adds a server of a service, which is back this long after a crash. To be called before [`World::begin`].
    pub fn add_server(&mut self, service: &'static str, options: &[&str], back: Option<Duration>) {
        let address = SocketAddr::from(([127, self.net, 2, self.servers.len() as u8 + 1], 8080));
        let options = options.iter().map(|option| (*option).to_owned()).collect();
        self.servers.push(Server {
            service,
            address,
            options,
            process: Mutex::new(None),
            back,
            drains: AtomicBool::new(false),
        });
    }

    /// Starts the servers and the VMs, with this desired state, and waits until all VMs are ready.
    pub fn begin(self, config: &str) -> Setup<Arc<World>> {
        self.store.put("op/config", config);
        let world = Arc::new(self);
        for index in 0..world.servers.len() {
            world.start_server(index)?;
        }
        let beating = world.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        for index in 0..world.vms.len() {
            world.start_vm(index)?;
        }
        world.wait_ready(Duration::from_secs(15))?;
        // The fleet settles: schedulers are chosen, and all VMs have each other's listings.
        thread::sleep(CONTACT);
        Ok(world)
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }

    /// What the servers saw so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// What the servers saw of one kind.
    pub fn seen_as(&self, what: &str) -> Vec<Seen> {
        self.seen().into_iter().filter(|seen| seen.what == what).collect()
    }

    /// The address for consumers of a VM.
    pub fn front(&self, vm: usize) -> SocketAddr {
        SocketAddr::from((self.vms[vm].ip, 8227))
    }

    /// Whether a VM says that it is ready.
    pub fn is_ready(&self, vm: usize) -> bool {
        let address = SocketAddr::from((self.vms[vm].ip, 8220));
        let head = "GET /api/readyz HTTP/1.1\r\nHost: ready\r\n";
        http::ask(address, head, b"", Duration::from_secs(1)).status == 200
    }

    /// Waits until all VMs are ready.
    pub fn wait_ready(&self, limit: Duration) -> Setup<()> {
        let until = Instant::now() + limit;
        while !(0..self.vms.len()).all(|vm| self.is_ready(vm)) {
            if Instant::now() >= until {
                return Err("the VMs were not ready in time".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Starts a VM with the settings that the template of the deploy file gives.
    pub fn start_vm(&self, index: usize) -> Setup<()> {
        let vm = &self.vms[index];
        fs::create_dir_all(&vm.folder).map_err(|e| e.to_string())?;
        let settings = vm.folder.join("node.json");
        fs::write(&settings, self.settings(vm)?).map_err(|e| e.to_string())?;
        let output = |name: &str| {
            let opened = File::options().create(true).append(true).open(vm.folder.join(name));
            opened.map(Stdio::from).map_err(|e| e.to_string())
        };
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("FOLDLOCK_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(output("out")?)
            .stderr(output("err")?)
            .spawn()
            .map_err(|e| format!("{PROGRAM}: {e}"))?;
        self.note(&format!("{} starts", vm.name));
        *vm.child.lock().unwrap() = Some(child);
        Ok(())
    }

    fn settings(&self, vm: &Vm) -> Setup<String> {
        let mut text =
            fs::read_to_string("deploy/vm.jsonc").map_err(|e| format!("deploy/vm.jsonc: {e}"))?;
        for section in
            ["Limits.CpuShare", "Limits.MemoryMb", "Bounds.StrictRevoke", "Bounds.ReleaseMs"]
        {
            text = text
                .replace(&format!("{{{{#{section}}}}}"), "")
                .replace(&format!("{{{{/{section}}}}}"), "");
        }
        let (ip, store) = (vm.ip.to_string(), self.store_address().to_string());
        let values = [
            ("Node", vm.name.clone()),
            ("Zone", "charguia".to_owned()),
            ("Listen.Front", format!("{ip}:8227")),
            ("Listen.Ready", format!("{ip}:8220")),
            ("Ip", ip),
            ("PortRange.0", "7340".to_owned()),
            ("Provider.Address", store),
            ("Limits.CpuShare", "0.25".to_owned()),
            ("Limits.MemoryMb", "260".to_owned()),
            ("Bounds.RevokeMs", "5000".to_owned()),
            ("Bounds.ReleaseMs", "4000".to_owned()),
            ("Bounds.GraceS", "8".to_owned()),
            ("Bounds.RetryRatio", "0.2".to_owned()),
            ("Bounds.RetrySlack", "100".to_owned()),
            ("Bounds.RetryWindowS", "10".to_owned()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(format!(
                "deploy/vm.jsonc has a gap that this stand-in does not fill: {text}"
            ));
        }
        Ok(text)
    }

    /// Kills a VM (SIGKILL).
    pub fn kill_vm(&self, index: usize) {
        let vm = &self.vms[index];
        if let Some(mut child) = vm.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.note(&format!("{} is killed", vm.name));
        }
    }

    /// Whether a VM's process runs.
    pub fn runs(&self, index: usize) -> bool {
        let mut child = self.vms[index].child.lock().unwrap();
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// The lines that a VM wrote to standard error.
    pub fn errors(&self, index: usize) -> String {
        fs::read_to_string(self.vms[index].folder.join("err")).unwrap_or_default()
    }

    /// Notes a request whose channel was closed without an answer.
    pub fn note_lost(&self, request: &str) {
        let seen = Seen {
            at: self.now(),
            server: String::new(),
            what: "LOST".to_owned(),
            request: request.to_owned(),
            more: String::new(),
        };
        self.seen.lock().unwrap().push(seen);
    }

    /// The id of a server that runs.
    pub fn server_ids(&self, index: usize) -> Vec<String> {
        self.servers[index].process.lock().unwrap().iter().map(|(id, ..)| id.clone()).collect()
    }

    /// Number of VMs.
    pub fn vm_count(&self) -> usize {
        self.vms.len()
    }

    fn start_server(self: &Arc<World>, index: usize) -> Setup<()> {
        let server = &self.servers[index];
        let id = {
            let mut boots = self.boots.lock().unwrap();
            *boots += 1;
            format!("i-{:04x}{:02x}", std::process::id() & 0xffff, *boots)
        };
        let born = unix_ms();
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut child = Command::new(program)
            .args(["server", &id, &server.address.to_string(), &born.to_string()])
            .args(&server.options)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| e.to_string())?;
        let input = child.stdin.take().ok_or("no standard input")?;
        let output = child.stdout.take().ok_or("no standard output")?;
        let mut lines = BufReader::new(output).lines();
        match lines.next() {
            Some(Ok(line)) if line.starts_with("READY") => {}
            _ => return Err(format!("server {id} does not start at {}", server.address)),
        }
        self.note(&format!("server {id} of {} starts at {}", server.service, server.address));
        *server.process.lock().unwrap() = Some((id.clone(), born, child, input));
        self.write_entry(index);
        let world = self.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                world.on_line(index, &id, &line);
            }
        });
        Ok(())
    }

    fn on_line(self: &Arc<World>, index: usize, id: &str, line: &str) {
        let mut words = line.splitn(3, ' ');
        let mut word = || words.next().unwrap_or_default().to_owned();
        let seen = Seen {
            at: self.now(),
            server: id.to_owned(),
            what: word(),
            request: word(),
            more: word(),
        };
        self.note(&format!("server {id}: {} {} {}", seen.what, seen.request, seen.more));
        let ends = seen.what == "CRASHING" || seen.what == "HALF";
        self.seen.lock().unwrap().push(seen);
        if ends {
            self.crash_server(index);
        }
    }

    /// Kills a server. Its entry goes after three heartbeats of silence, and it starts again under a new id.
    fn crash_server(self: &Arc<World>, index: usize) {
        let Some((id, _, mut child, _input)) = self.servers[index].process.lock().unwrap().take()
        else {
            return;
        };
        let _ = child.kill();
        let _ = child.wait();
        self.note(&format!("server {id} has crashed"));
        let (world, back) = (self.clone(), self.servers[index].back);
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            world.store.remove(&format!("servers/{id}"));
        });
        let world = self.clone();
        thread::spawn(move || {
            let Some(back) = back else { return };
            thread::sleep(back);
            if let Err(why) = world.start_server(index) {
                world.note(&why);
            }
        });
    }

    /// Tells a server on its standard input.
    pub fn tell_server(&self, index: usize, what: &str) {
        if let Some((id, _, _, input)) = self.servers[index].process.lock().unwrap().as_mut() {
            let _ = writeln!(input, "{what}");
            self.note(&format!("server {id} is told: {what}"));
        }
    }

    /// Empties a server: it says that it is draining, in the store and in its answers, and is gone after this time.
    pub fn take_away(self: &Arc<World>, index: usize, after: Duration) {
        self.servers[index].drains.store(true, Ordering::SeqCst);
        self.tell_server(index, "leave");
        self.write_entry(index);
        let world = self.clone();
        thread::spawn(move || {
            thread::sleep(after);
            world.crash_server(index);
        });
    }

    fn beat(&self) {
        (0..self.servers.len()).for_each(|index| self.write_entry(index));
    }

    fn write_entry(&self, index: usize) {
        let server = &self.servers[index];
        let Some((id, born)) =
            server.process.lock().unwrap().as_ref().map(|(id, born, ..)| (id.clone(), *born))
        else {
            return;
        };
        let state = if server.drains.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"charguia\",\"Version\":\"v1\",\"Slots\":16,\
             \"State\":\"{state}\",\"ColdLeftMs\":0,\"Stage\":\"dual\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\
             \"Adapters\":[]}}],\"Seq\":0,\"born\":{born}}}",
            server.service, server.address
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Notes a request and what the consumer got for it.
    pub fn note_answer(&self, request: &str, vm: usize, answer: &Answer) {
        self.note(&format!(
            "consumer of {}: {request} got {}",
            self.vms[vm].name,
            answer.describe()
        ));
    }
}

impl World {
    /// Ends all processes that were started.
    pub fn end(&self) {
        end_all();
        for server in &self.servers {
            if let Some((_, _, mut child, _)) = server.process.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A network `127.N` in which the store's port is free.
fn free_net() -> Option<u8> {
    let first = std::process::id() % 150;
    (0..150).map(|step| 60 + ((first + step) % 150) as u8).find(|net| {
        let ports = [(1, 1, 8227), (2, 1, 8080), (3, 1, 8223), (1, 1, 7340), (1, 1, 9464)];
        ports.iter().all(|(third, fourth, port)| {
            TcpListener::bind(SocketAddr::from(([127, *net, *third, *fourth], *port))).is_ok()
        })
    })
}

/// A desired state with the routes of the cases. `tenants` is the JSON of `Tenants`.
pub fn config(version: u64, tenants: &str) -> String {
    let route = |name: &str,
                 kind: &str,
                 service: &str,
                 timeout: u32,
                 slo: u32,
                 attempts: u32,
                 more: &str| {
        format!(
            "{{\"Name\":\"r-{name}\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/{name}/\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":{timeout},\"SloMs\":{slo},\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":{attempts},\
             \"Public\":false{more}}}"
        )
    };
    let resumable = ",\"Sticky\":true,\"Resumable\":true,\"gap_aim_ms\":250";
    let routes = [
        route("explain", "streaming", "foldlock-llm", 10_000, 300, 2, resumable),
        route(
            "report",
            "streaming",
            "foldlock-llm",
            15_000,
            2_500,
            1,
            ",\"Sticky\":true,\"gap_aim_ms\":1000",
        ),
        route("lookup", "unsafe", "registry-api", 2_000, 300, 1, ""),
        route("count", "safe", "registry-api", 2_000, 300, 2, ""),
    ];
    let engine = "{\"Slots\":16,\"KvCapacity\":232000,\"KvTokenBytes\":327680,\"LinkMbps\":400000.0,\"stride\":43,\
                  \"Models\":[{\"Name\":\"m\"}],\"step_ms\":1.02,\"per_seq_ms\":0.00226,\"context_per_k\":0.00431,\
                  \"read_per_s\":206000.0,\"pairs_per_m\":0.138,\"chunk\":2048,\"report_lag_ms\":200.0,\
                  \"loads_per_s\":0.0,\"loads_at_once\":8,\"delays\":[],\"usual\":{\"prompt\":12331,\"answer\":1303},\
                  \"hop_ms\":0.075}";
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"foldlock-llm\",\"HealthPath\":\"/healthz\",\
         \"MaxConns\":264,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{engine}}},{{\"Name\":\"registry-api\",\
         \"HealthPath\":\"/healthz\",\"MaxConns\":96,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":{tenants}}}",
        routes.join(",")
    )
}

/// The two tenants of the cases.
pub const TENANTS: &str = "[{\"Name\":\"hule930\",\"ApiKeys\":[\"n2ctnfzs989anu6wsjnb\"],\"Priority\":1},\
                           {\"Name\":\"mifi981\",\"ApiKeys\":[\"k7wqhd02lxpa\"],\"Priority\":1}]";

/// The key of the first tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// The head of a request, without its length and the last empty line.
pub fn head(
    method: &str,
    path: &str,
    id: &str,
    vm: usize,
    key: Option<&str>,
    time_ms: u64,
    more: &str,
) -> String {
    let key = key.map(|key| format!("Key: {key}\r\n")).unwrap_or_default();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {time_ms}\r\nX-Vm: {vm}\r\n{key}{more}"
    )
}

/// Reads `TROUBLE`: whether the case has its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
