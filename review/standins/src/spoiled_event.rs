//! A server hands out wrong bytes: the id of one event of a stream is spoiled, in the same chunk as a sound event.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Finding;
use crate::http::{Connection, Request, Response, chunk, response};
use crate::world::{Client, Entry, Ids, Record, VMS, World, report, stamp, wall_ms, zone};

const SERVERS: usize = 3;
const SLOTS: usize = 16;
const CLIENTS_PER_VM: usize = 6;
const DURATION: Duration = Duration::from_secs(25);

/// Time to the first event.
const PREFILL: Duration = Duration::from_millis(30);

/// An engine plays several token steps in a pass, so its events come in pairs.
const EVENTS_PER_CHUNK: u64 = 2;
const CHUNK_INTERVAL: Duration = Duration::from_millis(60);

/// One answer in so many of the faulty server is spoiled: 0.05.
const SPOILED_INTERVAL: u64 = 20;

/// The spoiled event: the second one of its chunk.
const SPOILED_EVENT: u64 = 8;

struct Server {
    id: String,
    born: u64,
    is_faulty: bool,
    answers: AtomicU64,
    running: AtomicUsize,
    spoiled: Arc<Mutex<Vec<String>>>,
    record: Record,
}

pub fn run(work: &Path, record: &Record, has_trouble: bool) -> io::Result<Finding> {
    let mut world = World::new(work)?;
    let spoiled = Arc::new(Mutex::new(Vec::new()));
    for number in 0..SERVERS {
        let server = Server {
            id: format!("i-llm{number}"),
            born: wall_ms(),
            is_faulty: has_trouble && number == 0,
            answers: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            spoiled: spoiled.clone(),
            record: record.clone(),
        };
        let address = world.server_address(number);
        world.list_server(&Entry {
            id: &server.id,
            service: "model",
            address,
            zone: zone(number),
            born: server.born,
            slots: SLOTS as u32,
        });
        serve(Arc::new(server), address)?;
    }
    world.start_vms()?;
    record.add("all machines are ready");
    let ids = Arc::new(Ids::default());
    let checks = Arc::new(Mutex::new(BTreeMap::new()));
    let until = Instant::now() + DURATION;
    let mut clients = Vec::new();
    for number in 0..usize::from(VMS) * CLIENTS_PER_VM {
        let vm = &world.vms[number % usize::from(VMS)];
        let (name, client) = (vm.name.clone(), Client::new(vm.front));
        let (ids, checks, record) = (ids.clone(), checks.clone(), record.clone());
        clients.push(thread::spawn(move || ask_until(until, client, &name, &ids, &checks, &record)));
    }
    for client in clients {
        let _ = client.join();
    }
    drop(world);
    Ok(judge(&checks.lock().unwrap(), spoiled.lock().unwrap().len(), record, has_trouble))
}

/// What a client found in the answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Check {
    /// All events, once and in order, and the end of the answer.
    Whole,
    /// The first events, once and in order, and then the channel ended.
    BrokenOff,
    /// Events are missing, repeated or foreign, or the answer ends as complete before its last event.
    Wrong(String),
    /// No success.
    Refused,
}

/// Number of events in the answer to a request.
fn length(id: &str) -> u64 {
    12 + id.bytes().map(u64::from).sum::<u64>() % 8
}

fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} piece {number}\n\n")
}

fn ask_until(
    until: Instant,
    mut client: Client,
    vm: &str,
    ids: &Ids,
    checks: &Mutex<BTreeMap<String, Check>>,
    record: &Record,
) {
    while Instant::now() < until {
        let id = ids.next();
        let headers = format!(
            "Request-Id: {id}\r\nModel: m\r\nToken-Usage: 2000,688\r\nPrompt-Prefix: 5c1e07a2:40,{id}:1960\r\n\
             Deadline-Ms: 10000\r\n"
        );
        record.add(&format!("client sends stream {id} to {vm}"));
        let check = match client.ask("POST", &format!("/scan-explain/{id}"), &headers, "prompt") {
            Ok(response) => check(&id, &response),
            Err(_) => Check::BrokenOff,
        };
        record.add(&format!("client of {id}, {} events: {check:?}", length(&id)));
        checks.lock().unwrap().insert(id, check);
    }
}

fn check(id: &str, response: &Response) -> Check {
    if response.status != 200 {
        return Check::Refused;
    }
    let text = String::from_utf8_lossy(&response.body);
    let got: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
    let whole: String = (1..=length(id)).map(|number| event(id, number)).collect();
    if text == whole && response.is_whole {
        return Check::Whole;
    }
    let events: Vec<String> = text.split_inclusive("\n\n").map(str::to_owned).collect();
    let is_prefix = whole.starts_with(&*text) && events.len() as u64 <= length(id);
    if is_prefix && !response.is_whole {
        return Check::BrokenOff;
    }
    Check::Wrong(format!("ids {}, ends as complete: {}", got.join(" "), response.is_whole))
}

fn judge(
    checks: &BTreeMap<String, Check>,
    spoiled: usize,
    record: &Record,
    has_trouble: bool,
) -> Finding {
    let mut breaks = 0;
    for (id, check) in checks {
        if let Check::Wrong(what) = check {
            breaks += 1;
            record.add(&format!("ORDER: stream {id} of {} events: {what}", length(id)));
        }
    }
    let count = |wanted: Check| checks.values().filter(|check| **check == wanted).count();
    let whole = count(Check::Whole);
    let is_valid = whole * 2 > checks.len() && whole > 50 && (spoiled > 0) == has_trouble;
    let summary = format!(
        "{} streams, {whole} whole, {} broken off, {} refused; {spoiled} answers of a server were spoiled; {breaks} streams miss events or repeat them",
        checks.len(),
        count(Check::BrokenOff),
        count(Check::Refused),
    );
    Finding { breaks, is_valid, summary }
}

fn serve(server: Arc<Server>, address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let server = server.clone();
            thread::spawn(move || {
                let _ = Connection::new(stream).and_then(|connection| server.answer_all(connection));
            });
        }
    });
    Ok(())
}

impl Server {
    fn answer_all(&self, mut connection: Connection) -> io::Result<()> {
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
            if running >= SLOTS {
                let headers = format!("Not-Run: 1\r\nRequest-Id: {id}\r\n");
                connection.write(&response("503 Service Unavailable", &headers, b""))?;
                continue;
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            let answered = self.stream(&mut connection, &request, &id);
            self.running.fetch_sub(1, Ordering::Relaxed);
            answered?;
        }
        Ok(())
    }

    fn stream(&self, connection: &mut Connection, request: &Request, id: &str) -> io::Result<()> {
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        self.record.add(&format!("{} runs {id} from event {}", self.id, last + 1));
        let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let is_spoiled = self.is_faulty && last == 0 && number.is_multiple_of(SPOILED_INTERVAL);
        let stamp = stamp(&self.id, number);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\nContent-Type: text/event-stream\r\n\
             Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        thread::sleep(PREFILL);
        connection.write(head.as_bytes())?;
        let mut next = last + 1;
        while next <= length(id) {
            let end = (next + EVENTS_PER_CHUNK).min(length(id) + 1);
            let mut text: String = (next..end).map(|number| event(id, number)).collect();
            if is_spoiled && (next..end).contains(&SPOILED_EVENT) {
                text = text.replace(&format!("id: {SPOILED_EVENT}\n"), &format!("id: 9{SPOILED_EVENT}\n"));
                self.spoiled.lock().unwrap().push(id.to_owned());
                self.record.add(&format!("{} spoils the id of event {SPOILED_EVENT} of {id}", self.id));
            }
            connection.write(&chunk(text.as_bytes()))?;
            next = end;
            thread::sleep(CHUNK_INTERVAL);
        }
        connection.write(b"0\r\n\r\n")
    }
}
