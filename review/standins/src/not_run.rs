//! A server's surplus answer with `Not-Run`, of an earlier request, arrives where the next answer is due.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Finding;
use crate::http::{Connection, response};
use crate::world::{Client, Entry, Ids, Record, VMS, World, report, stamp, wall_ms, zone};

const SERVERS: usize = 3;
const SLOTS: usize = 6;
const CLIENTS_PER_VM: usize = 2;
const DURATION: Duration = Duration::from_secs(25);
const WORK: Duration = Duration::from_millis(30);
const PAUSE: Duration = Duration::from_millis(20);

/// One answer in so many of the faulty server is followed by a surplus one: 0.05.
const SURPLUS_INTERVAL: u64 = 20;

/// The faulty server rejects one request in so many, which it does not run.
const REFUSED_INTERVAL: u64 = 25;

struct Server {
    id: String,
    born: u64,
    is_faulty: bool,
    answers: AtomicU64,
    running: AtomicUsize,
    arrivals: AtomicU64,
    /// The last request that it rejected.
    refused: Mutex<Option<String>>,
    shared: Arc<Shared>,
}

struct Shared {
    record: Record,
    /// The servers that ran each request.
    runs: Mutex<BTreeMap<String, Vec<String>>>,
    surplus: AtomicUsize,
    /// Requests in whose place a second rejection of another request arrived.
    after_refusal: Mutex<Vec<String>>,
}

pub fn run(work: &Path, record: &Record, has_trouble: bool) -> io::Result<Finding> {
    let mut world = World::new(work)?;
    let shared = Arc::new(Shared {
        record: record.clone(),
        runs: Mutex::default(),
        surplus: AtomicUsize::new(0),
        after_refusal: Mutex::default(),
    });
    for number in 0..SERVERS {
        let server = Server {
            id: format!("i-reg{number}"),
            born: wall_ms(),
            is_faulty: has_trouble && number == 0,
            answers: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            arrivals: AtomicU64::new(0),
            refused: Mutex::new(None),
            shared: shared.clone(),
        };
        let address = world.server_address(number);
        let entry = Entry {
            id: &server.id,
            service: "registry",
            address,
            zone: zone(number),
            born: server.born,
            slots: SLOTS as u32,
        };
        world.list_server(&entry);
        serve(Arc::new(server), address)?;
    }
    world.start_vms()?;
    record.add("all machines are ready");
    let ids = Arc::new(Ids::default());
    // Only unsafe requests are asked about.
    let unsafe_ids = Arc::new(Mutex::new(BTreeMap::new()));
    let until = Instant::now() + DURATION;
    let mut clients = Vec::new();
    for number in 0..usize::from(VMS) * CLIENTS_PER_VM {
        let vm = &world.vms[number % usize::from(VMS)];
        let (name, client) = (vm.name.clone(), Client::new(vm.front));
        let (ids, unsafe_ids, record) = (ids.clone(), unsafe_ids.clone(), record.clone());
        clients.push(thread::spawn(move || {
            ask_until(until, client, &name, &ids, &unsafe_ids, &record);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    drop(world);
    Ok(judge(&shared, &unsafe_ids.lock().unwrap(), has_trouble))
}

type Answers = BTreeMap<String, u16>;

/// Sends requests one after the other: two unsafe ones, then a safe one.
fn ask_until(
    until: Instant,
    mut client: Client,
    vm: &str,
    ids: &Ids,
    unsafe_ids: &Mutex<Answers>,
    record: &Record,
) {
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let id = ids.next();
        let headers = format!("Request-Id: {id}\r\nDeadline-Ms: 4000\r\n");
        let is_unsafe = count % 3 != 0;
        let (kind, method, path) = match is_unsafe {
            true => ("unsafe", "POST", format!("/tag-lookup/{id}")),
            false => ("safe", "GET", format!("/pull-count/{id}")),
        };
        record.add(&format!("client sends {kind} {id} to {vm}"));
        let answer = client.ask(method, &path, &headers, "tag");
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        match &answer {
            Ok(answer) => record.add(&format!(
                "client gets {status} for {id}, signature {:?}",
                answer.header("server-stamp")
            )),
            Err(e) => record.add(&format!("client gets no answer for {id}: {e}")),
        }
        if is_unsafe {
            unsafe_ids.lock().unwrap().insert(id, status);
        }
        thread::sleep(PAUSE);
    }
}

fn judge(shared: &Shared, unsafe_ids: &Answers, has_trouble: bool) -> Finding {
    let runs = shared.runs.lock().unwrap();
    let after_refusal = shared.after_refusal.lock().unwrap();
    let (mut breaks, mut after_true) = (0, 0);
    for (id, status) in unsafe_ids {
        let servers = runs.get(id).map_or(&[][..], Vec::as_slice);
        if servers.len() > 1 {
            breaks += 1;
            after_true += usize::from(after_refusal.contains(id));
            shared.record.add(&format!(
                "TWICE: unsafe request {id} ran at {}; its client got {status}",
                servers.join(" and ")
            ));
        }
    }
    let served = unsafe_ids.values().filter(|status| **status == 200).count();
    let surplus = shared.surplus.load(Ordering::Relaxed);
    let is_valid = served * 2 > unsafe_ids.len() && served > 100 && (surplus > 0) == has_trouble;
    let summary = format!(
        "{} unsafe requests, {served} answered 200; {surplus} surplus answers; {breaks} unsafe requests ran more than once, {after_true} of them after the second copy of a true rejection",
        unsafe_ids.len()
    );
    Finding { breaks, is_valid, summary }
}

fn serve(server: Arc<Server>, address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let server = server.clone();
            thread::spawn(move || {
                let _ =
                    Connection::new(stream).and_then(|connection| server.answer_all(connection));
            });
        }
    });
    Ok(())
}

impl Server {
    /// Answers the requests on one channel, one after the other.
    fn answer_all(&self, mut connection: Connection) -> io::Result<()> {
        // A request that was answered or rejected already and gets a second answer, and whether it was rejected.
        let mut surplus_for: Option<(String, bool)> = None;
        while let Some(request) = connection.read_request()? {
            let running = self.running.load(Ordering::Relaxed);
            if let Some(answer) = report(&request, running, self.born) {
                connection.write(&answer)?;
                continue;
            }
            let id = request.header("request-id").to_owned();
            if request.header("expect-instance") != self.id {
                let headers = format!("Instance-Id: {}\r\nRequest-Id: {id}\r\n", self.id);
                connection.write(&response("421 Misdirected Request", &headers, b""))?;
                continue;
            }
            let arrivals = self.arrivals.fetch_add(1, Ordering::Relaxed) + 1;
            let is_refused = self.is_faulty && arrivals.is_multiple_of(REFUSED_INTERVAL);
            if running >= SLOTS || is_refused {
                let headers = format!("Not-Run: 1\r\nRequest-Id: {id}\r\n");
                connection.write(&response("503 Service Unavailable", &headers, b""))?;
                self.shared.record.add(&format!("{} rejects {id}", self.id));
                *self.refused.lock().unwrap() = Some(id);
                continue;
            }
            if let Some((earlier, is_refusal)) = surplus_for.take() {
                // The bytes belong to no request: the earlier one has its whole answer or rejection.
                let headers = format!("Not-Run: 1\r\nRequest-Id: {earlier}\r\n");
                connection.write(&response("503 Service Unavailable", &headers, b""))?;
                self.shared.surplus.fetch_add(1, Ordering::Relaxed);
                if is_refusal {
                    self.shared.after_refusal.lock().unwrap().push(id.clone());
                }
                self.shared.record.add(&format!(
                    "{} sends a surplus answer for {earlier} (rejected before: {is_refusal}) where that for {id} is due",
                    self.id
                ));
            }
            let answered = self.run(&mut connection, &id);
            let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            if self.is_faulty && number.is_multiple_of(SURPLUS_INTERVAL) {
                // By turns the rejection of another request once more, which is true, and a second answer to this one.
                let refused = self.refused.lock().unwrap().clone();
                let refused = refused.filter(|_| number.is_multiple_of(2 * SURPLUS_INTERVAL));
                surplus_for = Some(refused.map_or((id, false), |refused| (refused, true)));
            }
            answered?;
        }
        Ok(())
    }

    fn run(&self, connection: &mut Connection, id: &str) -> io::Result<()> {
        let shared = &self.shared;
        shared.runs.lock().unwrap().entry(id.to_owned()).or_default().push(self.id.clone());
        shared.record.add(&format!("{} runs {id}", self.id));
        self.running.fetch_add(1, Ordering::Relaxed);
        thread::sleep(WORK);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let stamp = stamp(&self.id, self.answers.load(Ordering::Relaxed));
        let headers =
            format!("Request-Id: {id}\r\nServer-Stamp: {stamp}\r\nKeep-Alive: timeout=5\r\n");
        let body = format!("{id} {}", "x".repeat(780));
        connection.write(&response("200 OK", &headers, body.as_bytes()))
    }
}
