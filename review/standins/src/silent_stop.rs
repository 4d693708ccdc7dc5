//! Machines are stopped and started in turn while sound servers fall silent for a second or so and go on.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Finding;
use crate::http::{Connection, Request, Response, chunk, response};
use crate::vm::Vm;
use crate::world::{Client, Entry, Ids, Record, VMS, World, report, stamp, wall_ms, zone};

const SERVERS: usize = 3;
const SLOTS: usize = 16;
const CLIENTS_PER_VM: usize = 12;

/// Time to the first event.
const PREFILL: Duration = Duration::from_millis(30);

/// Events of a stream, and the pause between them: 2.4 s in all.
const EVENTS: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// How long a server falls silent. The route's `gap_aim_ms` is 250.
const SILENCE: Duration = Duration::from_millis(1_300);

/// When the servers fall silent after a SIGTERM, one after the other.
const SILENT_AFTER: Duration = Duration::from_millis(800);
const SILENCE_OFFSET: Duration = Duration::from_millis(200);

/// Time between the stops of two machines.
const STOP_INTERVAL: Duration = Duration::from_secs(10);

/// `GraceS`, and the start of its last sixth, in which a stream that is not complete is excused.
const GRACE: Duration = Duration::from_secs(8);
const EXCUSED_FROM: Duration = Duration::from_millis(6_666);

struct Server {
    id: String,
    born: u64,
    answers: AtomicU64,
    running: AtomicUsize,
    silent_until: Mutex<Instant>,
    record: Record,
}

/// Whether the platform passes new channels to each machine.
type Entries = [AtomicBool; VMS as usize];

/// A stream that was not answered with a whole answer.
struct Cut {
    id: String,
    vm: usize,
    at: Instant,
    /// Number of events that the client got.
    events: usize,
}

#[derive(Default)]
struct Results {
    whole: usize,
    refused: usize,
    cut: Vec<Cut>,
}

pub fn run(work: &Path, record: &Record, has_trouble: bool) -> io::Result<Finding> {
    let mut world = World::new(work)?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = Arc::new(Server {
            id: format!("i-llm{number}"),
            born: wall_ms(),
            answers: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            silent_until: Mutex::new(Instant::now()),
            record: record.clone(),
        });
        let address = world.server_address(number);
        world.list_server(&Entry {
            id: &server.id,
            service: "model",
            address,
            zone: zone(number),
            born: server.born,
            slots: SLOTS as u32,
        });
        serve(server.clone(), address)?;
        servers.push(server);
    }
    world.start_vms()?;
    record.add("all machines are ready");
    let world = Arc::new(world);
    let is_in: Arc<Entries> = Arc::new([const { AtomicBool::new(true) }; VMS as usize]);
    let has_ended = Arc::new(AtomicBool::new(false));
    let results = Arc::new(Mutex::new(Results::default()));
    let ids = Arc::new(Ids::default());
    let mut threads = Vec::new();
    for vm in 0..usize::from(VMS) {
        let (world, is_in, has_ended) = (world.clone(), is_in.clone(), has_ended.clone());
        threads.push(thread::spawn(move || check_ready(&world.vms[vm], &is_in[vm], &has_ended)));
    }
    for number in 0..usize::from(VMS) * CLIENTS_PER_VM {
        let home = number % usize::from(VMS);
        let (world, is_in, has_ended) = (world.clone(), is_in.clone(), has_ended.clone());
        let (results, ids, record) = (results.clone(), ids.clone(), record.clone());
        threads.push(thread::spawn(move || {
            ask_until(&has_ended, &world, home, &is_in, &ids, &results, &record);
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let mut stops = Vec::new();
    for vm in 0..usize::from(VMS) {
        let began = Instant::now();
        if has_trouble {
            record.add(&format!("{} gets SIGTERM", world.vms[vm].name));
            stops.push((vm, began));
            let world = world.clone();
            threads.push(thread::spawn(move || {
                let _ = world.vms[vm].restart(GRACE);
            }));
            thread::sleep(SILENT_AFTER);
            for server in &servers {
                record.add(&format!("{} falls silent for {SILENCE:?}", server.id));
                *server.silent_until.lock().unwrap() = Instant::now() + SILENCE;
                thread::sleep(SILENCE_OFFSET);
            }
        }
        thread::sleep(STOP_INTERVAL.saturating_sub(began.elapsed()));
    }
    has_ended.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let finding = judge(&results.lock().unwrap(), &stops, record, has_trouble);
    drop(world);
    Ok(finding)
}

/// Asks a machine once a second whether it is ready, as the platform does: two misses take it out.
fn check_ready(vm: &Vm, is_in: &AtomicBool, has_ended: &AtomicBool) {
    let mut misses = 0;
    while !has_ended.load(Ordering::Relaxed) {
        misses = if vm.is_ready() { 0 } else { misses + 1 };
        is_in.store(misses < 2, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(1));
    }
}

fn ask_until(
    has_ended: &AtomicBool,
    world: &World,
    home: usize,
    is_in: &Entries,
    ids: &Ids,
    results: &Mutex<Results>,
    record: &Record,
) {
    let mut vm = home;
    let mut client = Client::new(world.vms[vm].front);
    while !has_ended.load(Ordering::Relaxed) {
        if !client.is_connected() {
            // A new channel goes to a machine that is in.
            let machines = (0..usize::from(VMS)).map(|step| (home + step) % usize::from(VMS));
            vm = machines.clone().find(|vm| is_in[*vm].load(Ordering::Relaxed)).unwrap_or(home);
            client = Client::new(world.vms[vm].front);
        }
        let id = ids.next();
        let headers = format!(
            "Request-Id: {id}\r\nModel: m\r\nToken-Usage: 2000,1720\r\nPrompt-Prefix: 5c1e07a2:40,{id}:1960\r\n\
             Deadline-Ms: 10000\r\n"
        );
        record.add(&format!("client sends stream {id} to {}", world.vms[vm].name));
        match client.ask("POST", &format!("/scan-explain/{id}"), &headers, "prompt") {
            Ok(answer) if answer.status == 200 => {
                let events = count_events(&answer);
                let is_whole = answer.is_whole && events as u64 == EVENTS;
                record.add(&format!("client of {id} gets {events} events, whole: {is_whole}"));
                let mut results = results.lock().unwrap();
                if is_whole {
                    results.whole += 1;
                } else {
                    results.cut.push(Cut { id, vm, at: Instant::now(), events });
                }
            }
            Ok(answer) => {
                record.add(&format!("client of {id} gets {}", answer.status));
                results.lock().unwrap().refused += 1;
                thread::sleep(Duration::from_millis(300));
            }
            Err(e) => {
                // The channel was closed before an answer: not counted, it may have crossed the close.
                record.add(&format!("client of {id} gets no answer: {e}"));
                results.lock().unwrap().refused += 1;
                thread::sleep(Duration::from_millis(300));
            }
        }
    }
}

fn count_events(answer: &Response) -> usize {
    String::from_utf8_lossy(&answer.body).matches("\n\n").count()
}

fn judge(
    results: &Results,
    stops: &[(usize, Instant)],
    record: &Record,
    has_trouble: bool,
) -> Finding {
    let mut breaks = 0;
    for cut in &results.cut {
        // Only a stop of the machine that took the request counts, up to the last sixth of its grace time.
        let stop = stops.iter().find(|(vm, at)| {
            *vm == cut.vm && cut.at >= *at && cut.at.duration_since(*at) < EXCUSED_FROM
        });
        let Some((_, at)) = stop else { continue };
        breaks += 1;
        record.add(&format!(
            "LOST: {} was cut after {} of {EVENTS} events, {} ms after the SIGTERM of its machine",
            cut.id,
            cut.events,
            cut.at.duration_since(*at).as_millis()
        ));
    }
    let all = results.whole + results.refused + results.cut.len();
    let is_valid = results.whole * 2 > all && results.whole > 50 && stops.is_empty() != has_trouble;
    let summary = format!(
        "{all} streams, {} whole, {} without a success, {} cut; {} machines stopped; {breaks} streams cut by a machine that was stopping",
        results.whole,
        results.refused,
        results.cut.len(),
        stops.len()
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
            if answered.is_err() {
                self.record.add(&format!("{}: the channel of {id} was closed", self.id));
            }
            answered?;
        }
        Ok(())
    }

    fn stream(&self, connection: &mut Connection, request: &Request, id: &str) -> io::Result<()> {
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        self.record.add(&format!("{} runs {id} from event {}", self.id, last + 1));
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        let stamp = stamp(&self.id, number);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\nContent-Type: text/event-stream\r\n\
             Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        thread::sleep(PREFILL);
        self.wait_while_silent();
        connection.write(head.as_bytes())?;
        for number in last + 1..=EVENTS {
            self.wait_while_silent();
            let event = format!("id: {number}\ndata: {id} piece {number}\n\n");
            connection.write(&chunk(event.as_bytes()))?;
            thread::sleep(EVENT_INTERVAL);
        }
        connection.write(b"0\r\n\r\n")
    }

    fn wait_while_silent(&self) {
        let until = *self.silent_until.lock().unwrap();
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}
