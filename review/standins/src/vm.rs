//! The project's processes, started with the command and the template of the deploy file.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

/// The zones of a small deployment.
pub const ZONES: [&str; 3] = ["charguia", "lac-deux", "ariana"];

/// Ports of a process; each process has an address of its own.
const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const PEER_PORT: u16 = 7340;
const METRICS_PORT: u16 = 9464;

/// Time for a process to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Time from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A loopback network `127.A.B.0/24` on which the used ports are free.
#[derive(Debug, Clone, Copy)]
pub struct Network(u8, u8);

impl Network {
    /// Finds a free network; the search begins at a number that differs between processes.
    pub fn find() -> io::Result<Network> {
        let seed = std::process::id() ^ Instant::now().elapsed().subsec_nanos();
        let networks = (0..200).map(|i| (seed + i * 7) % (100 * 250));
        networks
            .map(|n| Network(20 + (n / 250) as u8, 1 + (n % 250) as u8))
            .find(|network| network.is_free())
            .ok_or_else(|| io::Error::other("no free loopback addresses"))
    }

    fn is_free(self) -> bool {
        let ports = [FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT];
        let own = ports.map(|port| self.address(1, port));
        own.iter().all(|address| TcpListener::bind(address).is_ok())
    }

    /// An address on the network.
    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.0, self.1, host], port))
    }
}

/// A machine with its process.
pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
}

impl Vm {
    /// Starts the process of machine `number` and waits until it is ready.
    pub fn start(
        network: Network,
        number: u8,
        cores: &str,
        store: SocketAddr,
        folder: &Path,
    ) -> io::Result<Vm> {
        let zone = ZONES[usize::from(number - 1) % ZONES.len()];
        let name = format!("front-{zone}-{number}");
        let (front, ready) =
            (network.address(number, FRONT_PORT), network.address(number, READY_PORT));
        let values: BTreeMap<&str, String> = [
            ("Node", name.clone()),
            ("Zone", zone.to_owned()),
            ("Ip", front.ip().to_string()),
            ("Listen.Front", front.to_string()),
            ("Listen.Ready", ready.to_string()),
            ("PortRange.0", PEER_PORT.to_string()),
            ("Provider.Address", store.to_string()),
            ("Limits.CpuShare", cores.to_owned()),
            ("Limits.MemoryMb", "260".to_owned()),
            ("Bounds.StrictRevoke", "true".to_owned()),
            ("Bounds.RevokeMs", "5000".to_owned()),
            ("Bounds.ReleaseMs", "4000".to_owned()),
            ("Bounds.GraceS", "8".to_owned()),
            ("Bounds.RetryRatio", "0.2".to_owned()),
            ("Bounds.RetrySlack", "100".to_owned()),
            ("Bounds.RetryWindowS", "10".to_owned()),
        ]
        .into();
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, fill(&fs::read_to_string("deploy/vm.jsonc")?, &values)?)?;
        let log = folder.join(format!("{name}.log"));
        let child = Mutex::new(spawn(&settings, &log)?);
        let vm = Vm { name, front, ready, settings, log, child };
        let until = Instant::now() + START_TIMEOUT;
        while !vm.is_ready() {
            if Instant::now() > until {
                return Err(io::Error::other(format!("{} is not ready in time", vm.name)));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(vm)
    }

    /// Whether the process answers the platform's question with 200.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            let mut connection = Connection::new(stream)?;
            let request = format!("GET /api/readyz HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
            connection.write(request.as_bytes())?;
            Ok(connection.read_response()?.status)
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Kills the process.
    pub fn kill(&self) {
        let _ = self.child.lock().unwrap().kill();
    }

    /// Waits for the end of a killed process.
    pub fn reap(&self) {
        let _ = self.child.lock().unwrap().wait();
    }

    /// Starts the process again after its end.
    pub fn start_again(&self) -> io::Result<()> {
        *self.child.lock().unwrap() = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Stops the process as the platform does: SIGTERM, SIGKILL after the grace time, and after a short delay a new start.
    pub fn restart(&self, grace: Duration) -> io::Result<()> {
        let id = self.child.lock().unwrap().id().to_string();
        Command::new("kill").args(["-TERM", &id]).status()?;
        let until = Instant::now() + grace;
        while self.child.lock().unwrap().try_wait()?.is_none() {
            if Instant::now() > until {
                self.child.lock().unwrap().kill()?;
            }
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(RESTART_DELAY);
        self.start_again()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Starts a process with the command of the deploy file.
fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new("target/release/foldlockd")
        .env("FOLDLOCK_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    note_process(child.id())?;
    Ok(child)
}

/// Notes a process that was started, so that the script ends it also if this program is killed.
fn note_process(id: u32) -> io::Result<()> {
    let Some(path) = std::env::var_os("REVIEW_PIDS") else { return Ok(()) };
    writeln!(File::options().append(true).open(path)?, "{id}")
}

/// Fills the gaps of a template. All sections of the template stand for values that are given.
fn fill(template: &str, values: &BTreeMap<&str, String>) -> io::Result<String> {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (gap, after) =
            after.split_once("}}").ok_or_else(|| io::Error::other("a gap without an end"))?;
        text.push_str(before);
        rest = after;
        let name = gap.trim_start_matches(['#', '/']);
        let value = values.get(name);
        let value = value.ok_or_else(|| io::Error::other(format!("no value for {name}")))?;
        if name == gap {
            text.push_str(value);
        }
    }
    text.push_str(rest);
    Ok(text)
}
