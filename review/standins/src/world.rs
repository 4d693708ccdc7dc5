//! What the cases share: the operator's desired state, servers' entries, clients' requests, and the record of a run.

use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Request, Response};
use crate::store::Store;
use crate::vm::{Network, Vm, ZONES};

/// Number of machines.
pub const VMS: u8 = 3;

/// First host number of the servers.
const FIRST_SERVER: u8 = 100;

/// Host number of the store.
const STORE_HOST: u8 = 200;

/// The host of all routes.
const HOST: &str = "ficu95.example";

/// The key of all clients, and its tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
const TENANT: &str = "hule930";

/// The routes, as in the sheet of a small deployment.
const ROUTES: &str = r#"
{"Name":"r-explain","Host":"HOST","PathPrefix":"/scan-explain/","Kind":"streaming","TimeoutMs":10000,"SloMs":300,"Priority":1,"Service":"model","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"gap_aim_ms":250},
{"Name":"r-tag","Host":"HOST","PathPrefix":"/tag-lookup/","Kind":"unsafe","TimeoutMs":2000,"SloMs":300,"Priority":2,"Service":"registry","MaxAttempts":1,"Public":false},
{"Name":"r-pull","Host":"HOST","PathPrefix":"/pull-count/","Kind":"safe","TimeoutMs":2000,"SloMs":300,"Priority":2,"Service":"registry","MaxAttempts":2,"Public":false}"#;

const SERVICES: &str = r#"
{"Name":"model","HealthPath":"/healthz","MaxConns":264,"Protocol":"h1","Tls":false,"Engine":{"Slots":16,"KvCapacity":232000,"KvTokenBytes":327680,"LinkMbps":400000.0,"stride":43,"Models":[{"Name":"m"}],"step_ms":1.02,"per_seq_ms":0.00226,"context_per_k":0.00431,"read_per_s":206000.0,"pairs_per_m":0.138,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":12331,"answer":1303},"hop_ms":0.075}},
{"Name":"registry","HealthPath":"/healthz","MaxConns":96,"Protocol":"h1","Tls":false}"#;

const LIMITS: &str = r#"{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}"#;

/// The record of a run: lines with the time since its start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<String>>,
    path: PathBuf,
}

impl Record {
    pub fn new(path: PathBuf) -> Record {
        Record { began: Instant::now(), lines: Arc::default(), path }
    }

    pub fn add(&self, line: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.lines.lock().unwrap(), "{seconds:8.3} {line}");
    }

    /// Writes the record to its file.
    pub fn write(&self) -> io::Result<()> {
        fs::write(&self.path, &*self.lines.lock().unwrap())
    }
}

/// The store and the machines.
pub struct World {
    pub network: Network,
    pub store: Store,
    pub store_address: SocketAddr,
    pub vms: Vec<Vm>,
    pub folder: PathBuf,
}

impl World {
    /// Starts the store, with the operator's desired state.
    pub fn new(folder: &Path) -> io::Result<World> {
        let network = Network::find()?;
        let store = Store::default();
        let store_address = network.address(STORE_HOST, 8223);
        store.serve(store_address)?;
        let folder = folder.to_owned();
        let world = World { network, store, store_address, vms: Vec::new(), folder };
        world.put_config(7, &[KEY]);
        Ok(world)
    }

    /// Writes the operator's desired state with these keys of the tenant.
    pub fn put_config(&self, version: u64, keys: &[&str]) {
        let routes = ROUTES.replace("HOST", HOST);
        let keys = keys.iter().map(|key| format!(r#""{key}""#)).collect::<Vec<_>>().join(",");
        let tenants = format!(r#"[{{"Name":"{TENANT}","ApiKeys":[{keys}],"Priority":1}}]"#);
        self.store.put(
            "op/config",
            &format!(
                r#"{{"Version":{version},"Routes":[{routes}],"Services":[{SERVICES}],"Limits":{LIMITS},"Tenants":{tenants}}}"#
            ),
        );
    }

    /// Starts the machines and waits until they are ready.
    pub fn start_vms(&mut self) -> io::Result<()> {
        self.start_machines(VMS, |_| "0.25")
    }

    /// The same for this many machines, each with its share of a core.
    pub fn start_machines(
        &mut self,
        count: u8,
        cores: impl Fn(u8) -> &'static str,
    ) -> io::Result<()> {
        for number in 1..=count {
            let vm =
                Vm::start(self.network, number, cores(number), self.store_address, &self.folder)?;
            self.vms.push(vm);
        }
        // By then all of them know each other.
        std::thread::sleep(Duration::from_secs(2));
        Ok(())
    }

    /// The address of a server.
    pub fn server_address(&self, number: usize) -> SocketAddr {
        self.network.address(FIRST_SERVER + number as u8, 8080)
    }

    /// Writes the entry of a server.
    pub fn list_server(&self, server: &Entry<'_>) {
        let Entry { id, service, address, zone, born, slots } = server;
        self.store.put(
            &format!("servers/{id}"),
            &format!(
                r#"{{"Service":"{service}","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":{slots},"State":"ready","ColdLeftMs":0,"Stage":"dual","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Seq":4,"born":{born}}}"#
            ),
        );
    }
}

/// The entry of a server.
pub struct Entry<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub address: SocketAddr,
    pub zone: &'a str,
    pub born: u64,
    pub slots: u32,
}

/// The zone of a server.
pub fn zone(number: usize) -> &'static str {
    ZONES[number % ZONES.len()]
}

/// The time of day, Unix milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Makes request ids that are unique in a run.
#[derive(Default)]
pub struct Ids(AtomicU64);

impl Ids {
    pub fn next(&self) -> String {
        let number = self.0.fetch_add(1, Ordering::Relaxed);
        let mixed = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!("{mixed:016x}")
    }
}

/// A client that keeps its channel to one machine.
pub struct Client {
    address: SocketAddr,
    key: String,
    connection: Option<Connection>,
}

/// Time after which a client gives up its read; no request lasts that long.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client::with_key(address, KEY)
    }

    /// A client with a key of its own.
    pub fn with_key(address: SocketAddr, key: &str) -> Client {
        Client { address, key: key.to_owned(), connection: None }
    }

    /// Whether the next request uses the channel of the one before.
    pub fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    /// Sends a request and reads its response. The client opens a new channel after a failure, and where the machine
    /// closes the channel.
    pub fn ask(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> io::Result<Response> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
                stream.set_read_timeout(Some(READ_TIMEOUT))?;
                Connection::new(stream)?
            }
        };
        let length = match method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let key = &self.key;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nKey: {key}\r\n{headers}{length}\r\n{body}"
        );
        connection.write(text.as_bytes())?;
        let response = connection.read_response()?;
        if response.is_whole && response.header("connection") != "close" {
            self.connection = Some(connection);
        }
        Ok(response)
    }
}

/// The response to a request for a server's state; none if the request is another one.
pub fn report(request: &Request, running: usize, born: u64) -> Option<Vec<u8>> {
    let body = match request.path.as_str() {
        "/api/report" => format!(
            r#"{{"Stage":"dual","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Utilization":false,"Seq":4,"Waiting":0,"Running":{running},"KvUsed":0,"KvTotal":232000,"Handles":0,"born":{born}}}"#
        ),
        "/api/order" => r#"{"free":232000}"#.to_owned(),
        "/healthz" => String::new(),
        _ => return None,
    };
    Some(crate::http::response("200 OK", "Content-Type: application/json\r\n", body.as_bytes()))
}

/// A short form of a signature that belongs to one run of a request at a server.
pub fn stamp(server: &str, run: u64) -> String {
    format!("{server}.{run:x}")
}
