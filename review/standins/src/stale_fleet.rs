//! The three machines that watch the store for all others lose power together, right after a key was taken away.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Finding;
use crate::http::{Connection, response};
use crate::vm::Vm;
use crate::world::{Client, Entry, Ids, KEY, Record, World, report, stamp, wall_ms, zone};

const SERVERS: usize = 3;
const SLOTS: usize = 6;

/// More than ten machines, so that not all of them watch the store.
const MACHINES: u8 = 12;

/// The machines with the most processor time, which watch the store for the others.
const WATCHERS: u8 = 3;
const WATCHER_CORES: &str = "0.5";

/// Time from the acknowledgement of the change to the loss of power, one for each round: less than 4 ms.
const DELAYS_US: [u64; 6] = [1_000, 1_500, 2_000, 1_250, 1_750, 2_250];

/// How long the machines are without power.
const DARK: Duration = Duration::from_millis(6_000);

/// Time until a change is in force everywhere before the next one is made.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Time after the machines are back.
const BACK: Duration = Duration::from_millis(2_500);

/// `ApplyMs` and `RevokeMs` of a grown installation.
const APPLY: Duration = Duration::from_millis(3_000);
const REVOKE: Duration = Duration::from_millis(5_000);

/// Time between two requests of a client.
const INTERVAL: Duration = Duration::from_millis(150);

/// A request with a key that was taken away.
struct Sent {
    id: String,
    machine: String,
    /// Time from the acknowledgement of the change.
    after: Duration,
    status: u16,
}

pub fn run(work: &Path, record: &Record, has_trouble: bool) -> io::Result<Finding> {
    let mut world = World::new(work)?;
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for number in 0..SERVERS {
        let address = world.server_address(number);
        let (id, born) = (format!("i-reg{number}"), wall_ms());
        world.list_server(&Entry {
            id: &id,
            service: "registry",
            address,
            zone: zone(number),
            born,
            slots: SLOTS as u32,
        });
        serve(id, born, address, runs.clone(), record.clone())?;
    }
    world.start_machines(
        MACHINES,
        |number| if number <= WATCHERS { WATCHER_CORES } else { "0.25" },
    )?;
    record.add("all machines are ready");
    let world = Arc::new(world);
    let (watchers, others) = world.vms.split_at(usize::from(WATCHERS));
    let (mut late, mut revoked, mut stale_rounds, mut checked) = (0, 0, 0, 0);
    let mut version = 7;
    for (round, delay) in DELAYS_US.into_iter().enumerate() {
        let key = format!("k{round}xfzs989anu6wsjnb");
        version += 1;
        world.put_config(version, &[KEY, &key]);
        thread::sleep(SETTLE);
        let accepted =
            others.iter().filter(|vm| ask(vm, &key, &format!("before-{round}")) == 200).count();
        version += 1;
        world.put_config(version, &[KEY]);
        let acknowledged = Instant::now();
        record.add(&format!(
            "round {round}: {accepted} of {} machines took the key; version {version} without it is acknowledged",
            others.len()
        ));
        if has_trouble {
            thread::sleep(Duration::from_micros(delay));
            watchers.iter().for_each(Vm::kill);
            record.add(&format!(
                "{} lose power {:?} after the acknowledgement",
                watchers.iter().map(|vm| vm.name.as_str()).collect::<Vec<_>>().join(", "),
                acknowledged.elapsed()
            ));
        }
        let sent = ask_all(&world, &key, round, acknowledged, record);
        if has_trouble {
            watchers.iter().for_each(Vm::reap);
            watchers.iter().try_for_each(Vm::start_again)?;
            record.add("they have power again");
        }
        let runs = runs.lock().unwrap();
        let ran = |limit: Duration| {
            sent.iter()
                .filter(|sent| sent.after > limit && runs.contains(&sent.id))
                .collect::<Vec<_>>()
        };
        let stale = ran(APPLY);
        for sent in &stale {
            record.add(&format!(
                "CONFIG: {} ran, sent to {} {} ms after its key was taken away; status {}",
                sent.id,
                sent.machine,
                sent.after.as_millis(),
                sent.status
            ));
        }
        late += stale.len();
        revoked += ran(REVOKE).len();
        stale_rounds += usize::from(!stale.is_empty());
        checked += usize::from(accepted == others.len());
        drop(runs);
        thread::sleep(if has_trouble { BACK } else { SETTLE });
    }
    let summary = format!(
        "{checked} rounds; in {stale_rounds} of them requests ran with a key that was taken away: {late} sent over {} ms after the acknowledgement, {revoked} over {} ms",
        APPLY.as_millis(),
        REVOKE.as_millis()
    );
    Ok(Finding { breaks: late, is_valid: checked >= DELAYS_US.len() / 2, summary })
}

fn ask(vm: &Vm, key: &str, id: &str) -> u16 {
    let headers = format!("Request-Id: {id}-{}\r\nDeadline-Ms: 4000\r\n", vm.name);
    let mut client = Client::with_key(vm.front, key);
    client.ask("POST", "/tag-lookup/1", &headers, "tag").map_or(0, |answer| answer.status)
}

/// Sends requests with the key to all machines that were not disturbed, until the others have power again.
fn ask_all(
    world: &Arc<World>,
    key: &str,
    round: usize,
    acknowledged: Instant,
    record: &Record,
) -> Vec<Sent> {
    let clients: Vec<_> = (usize::from(WATCHERS)..usize::from(MACHINES))
        .map(|machine| {
            let (world, key, record) = (world.clone(), key.to_owned(), record.clone());
            thread::spawn(move || {
                let vm = &world.vms[machine];
                let ids = Ids::default();
                let mut client = Client::with_key(vm.front, &key);
                let mut all = Vec::new();
                while acknowledged.elapsed() + INTERVAL < DARK {
                    let id = format!("{round}-{machine}-{}", ids.next());
                    let headers = format!("Request-Id: {id}\r\nDeadline-Ms: 4000\r\n");
                    let after = acknowledged.elapsed();
                    let answer = client.ask("POST", &format!("/tag-lookup/{id}"), &headers, "tag");
                    let status = answer.map_or(0, |answer| answer.status);
                    record.add(&format!("client sent {id} to {}, got {status}", vm.name));
                    all.push(Sent { id, machine: vm.name.clone(), after, status });
                    thread::sleep(INTERVAL);
                }
                all
            })
        })
        .collect();
    clients.into_iter().filter_map(|client| client.join().ok()).flatten().collect()
}

fn serve(
    id: String,
    born: u64,
    address: SocketAddr,
    runs: Arc<Mutex<Vec<String>>>,
    record: Record,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs, record) = (id.clone(), runs.clone(), record.clone());
            thread::spawn(move || {
                let _ = Connection::new(stream)
                    .and_then(|connection| answer_all(connection, &id, born, &runs, &record));
            });
        }
    });
    Ok(())
}

fn answer_all(
    mut connection: Connection,
    server: &str,
    born: u64,
    runs: &Mutex<Vec<String>>,
    record: &Record,
) -> io::Result<()> {
    while let Some(request) = connection.read_request()? {
        if let Some(answer) = report(&request, 0, born) {
            connection.write(&answer)?;
            continue;
        }
        let id = request.header("request-id").to_owned();
        if request.header("expect-instance") != server {
            let headers = format!("Instance-Id: {server}\r\nRequest-Id: {id}\r\n");
            connection.write(&response("421 Misdirected Request", &headers, b""))?;
            continue;
        }
        record.add(&format!("{server} runs {id} of tenant {}", request.header("tenant")));
        runs.lock().unwrap().push(id.clone());
        let stamp = stamp(server, 0);
        let headers =
            format!("Request-Id: {id}\r\nServer-Stamp: {stamp}\r\nKeep-Alive: timeout=5\r\n");
        connection.write(&response("200 OK", &headers, b"tag"))?;
    }
    Ok(())
}
