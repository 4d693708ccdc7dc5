//! The processes and stand-ins of one run, and when each part was disturbed.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use foldlock_platform_standin::server::{Journal, Notice, Server};
use foldlock_platform_standin::store::{Entry, Store};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use standin::port::free;
use standin::server::Handle;

use crate::proxy::Proxy;

/// VMs of a run.
pub(crate) const VMS: usize = 3;

/// For how long a part has to be without a disturbance before it is bound by times again.
pub(crate) const IN_TOUCH: Duration = Duration::from_secs(3);

/// How often the soak looks whether it runs itself.
const TICK: Duration = Duration::from_millis(50);

/// A longer pause of the soak itself, with its callers and servers, disturbs all it watches: what it
/// then sees late or broken off is its own.
const STALL: Duration = Duration::from_millis(400);

/// How old settings may be while keys are trusted.
pub(crate) const REVOKE: Duration = Duration::from_secs(5);

/// The time between the signal to stop and the kill.
pub(crate) const GRACE: Duration = Duration::from_secs(8);

/// The services, with the number of their servers.
const SERVICES: [(&str, usize); 2] = [("model", 4), ("plain", 3)];

/// What a disturbance disturbs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    Vm(usize),
    /// A VM, by a planned stop and the start after it alone.
    PlannedStop(usize),
    Store,
    Servers,
    /// The soak's own process.
    Itself,
}

/// A VM: its process, and the links to it and from it to the store.
pub(crate) struct Vm {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) front: Proxy,
    pub(crate) store: Proxy,
    folder: PathBuf,
    process: Mutex<Process>,
}

#[derive(Default)]
struct Process {
    child: Option<Child>,
    starts: usize,
}

/// A server in its place: one instance after the other serves there.
pub(crate) struct Place {
    pub(crate) service: &'static str,
    pub(crate) link: Proxy,
    instance: Mutex<Instance>,
}

struct Instance {
    id: String,
    server: Server,
    /// Whether its entry says that it leaves.
    leaving: bool,
    _served: Handle,
}

/// All of it.
pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) book: Arc<Journal>,
    pub(crate) vms: Vec<Vm>,
    pub(crate) places: Vec<Place>,
    /// What should not have happened.
    pub(crate) broken: Mutex<Vec<String>>,
    disturbed: Mutex<Vec<(Part, Instant, Option<Instant>)>>,
    ticked: Mutex<Instant>,
    _store_served: Handle,
}

impl Vm {
    async fn new(index: usize, store: SocketAddr, folder: &std::path::Path) -> Vm {
        let listen = free();
        let vm = Vm {
            name: format!("vm-{index}"),
            listen,
            front: Proxy::start(listen).await,
            store: Proxy::start(store).await,
            folder: folder.to_owned(),
            process: Mutex::default(),
        };
        fs::write(vm.config(), vm.text().to_string()).unwrap();
        vm
    }

    fn config(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    fn text(&self) -> Value {
        json!({
            "vm": self.name, "hall": "a", "listen": self.listen, "log_level": "debug",
            "fleet": {
                "ready": free(), "peers": free(), "directory": self.store.address.to_string(),
                "settings_age_ms": REVOKE.as_millis() as u64,
                "stop_ms": GRACE.as_millis() as u64,
                "repeat_ratio": 0.2, "repeat_slack": 100.0, "repeat_window_ms": 10_000,
            },
        })
    }

    /// Starts the process. Its log goes on in one file over all starts.
    pub(crate) fn start(&self) {
        let mut process = self.process.lock().unwrap();
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_foldlockd"))
            .arg("--config")
            .arg(self.config())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("foldlockd starts");
        process.child = Some(child);
        process.starts += 1;
    }

    /// Sends the process a signal, if it runs.
    pub(crate) fn signal(&self, signal: Signal) {
        let process = self.process.lock().unwrap();
        if let Some(child) = &process.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// How the process ended, if it did.
    pub(crate) fn ended(&self) -> Option<std::process::ExitStatus> {
        let mut process = self.process.lock().unwrap();
        let status = process.child.as_mut()?.try_wait().ok()??;
        process.child = None;
        Some(status)
    }

    /// How often it was started.
    pub(crate) fn starts(&self) -> usize {
        self.process.lock().unwrap().starts
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

impl Place {
    /// The id of the instance that serves there.
    pub(crate) fn id(&self) -> String {
        self.instance.lock().unwrap().id.clone()
    }
}

impl Place {
    /// The server names this rate limit from now on.
    pub(crate) fn limit(&self, rate: Option<f64>) {
        self.instance.lock().unwrap().server.set_rate_limit(rate);
    }

    /// The server says this of itself from now on.
    pub(crate) fn say(&self, notice: Notice) {
        self.instance.lock().unwrap().server.set_notice(notice);
    }
}

impl World {
    /// Starts everything; returns once all VMs serve.
    pub(crate) async fn start(folder: PathBuf, settings: &Value) -> Arc<World> {
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let store = Store::default();
        store.put_settings(settings);
        let store_served = store.serve().await;
        let book = Arc::new(Journal::default());
        let mut places = Vec::new();
        for (service, count) in SERVICES {
            for index in 0..count {
                places.push(place(service, index, &book).await);
            }
        }
        let mut vms = Vec::new();
        for index in 0..VMS {
            vms.push(Vm::new(index, store_served.address, &folder).await);
        }
        let world = World {
            store,
            book,
            vms,
            places,
            broken: Mutex::default(),
            disturbed: Mutex::default(),
            ticked: Mutex::new(Instant::now()),
            _store_served: store_served,
        };
        world.places.iter().for_each(|place| world.list(place, false));
        world.vms.iter().for_each(Vm::start);
        let world = Arc::new(world);
        tokio::spawn(watch_itself(Arc::downgrade(&world)));
        world
    }

    /// Notes that the soak runs; if it stood still, since when.
    fn tick(&self) {
        let before = std::mem::replace(&mut *self.ticked.lock().unwrap(), Instant::now());
        if before.elapsed() > STALL {
            println!("the soak itself stood still for {:?}", before.elapsed());
            let stall = (Part::Itself, before, Some(Instant::now()));
            self.disturbed.lock().unwrap().push(stall);
        }
    }

    /// Writes the entry of the instance in a place.
    pub(crate) fn list(&self, place: &Place, leaving: bool) {
        place.instance.lock().unwrap().leaving = leaving;
        let entry = Entry { service: place.service, address: place.link.address, leaving };
        self.store.put_server(&place.id(), &entry);
    }

    /// Servers write their entries again, as they do after the store has come back from a copy; those of
    /// servers that have ended lapse.
    pub(crate) fn list_again(&self) {
        for place in &self.places {
            let leaving = place.instance.lock().unwrap().leaving;
            self.list(place, leaving);
        }
    }

    /// Ends the entries of servers that are not there any more.
    pub(crate) fn lapse(&self) {
        let living: Vec<String> = self.places.iter().map(Place::id).collect();
        let ended = self.store.servers().into_iter().filter(|id| !living.contains(id));
        ended.for_each(|id| self.store.remove_server(&id));
    }

    /// A new instance takes over a place; the one before it ends at once.
    pub(crate) async fn replace(&self, place: &Place) {
        let id = format!("{}-{}", place.service, next());
        let server = Server::new(&id, self.book.clone());
        let served = server.serve().await;
        place.link.lead_to(served.address);
        let next = Instance { id, server, leaving: false, _served: served };
        let before = std::mem::replace(&mut *place.instance.lock().unwrap(), next);
        self.store.remove_server(&before.id);
        self.list(place, false);
    }

    /// Memory that is set aside at servers that live.
    pub(crate) fn tickets(&self) -> usize {
        self.places
            .iter()
            .map(|place| place.instance.lock().unwrap().server.reservation_count())
            .sum()
    }

    /// Notes what should not have happened.
    pub(crate) fn note(&self, what: String) {
        self.broken.lock().unwrap().push(what);
    }

    /// For how long the soak itself stood still since `from`.
    pub(crate) fn stood_still_since(&self, from: Instant) -> Duration {
        self.tick();
        let disturbed = self.disturbed.lock().unwrap();
        let own =
            disturbed.iter().filter(|(part, begin, _)| *part == Part::Itself && *begin > from);
        own.filter_map(|(_, begin, end)| end.map(|end| end - *begin)).sum()
    }

    /// A disturbance begins; its number ends it.
    pub(crate) fn disturb(&self, part: Part) -> usize {
        let mut disturbed = self.disturbed.lock().unwrap();
        disturbed.push((part, Instant::now(), None));
        disturbed.len() - 1
    }

    /// A disturbance ends.
    pub(crate) fn calm(&self, number: usize) {
        self.disturbed.lock().unwrap()[number].2 = Some(Instant::now());
    }

    /// Whether a VM was in touch from `from` to `to`.
    pub(crate) fn vm_in_touch(&self, vm: usize, from: Instant, to: Instant) -> bool {
        self.calm_since(Part::Vm(vm), from - IN_TOUCH, to)
            && self.calm_since(Part::PlannedStop(vm), from - IN_TOUCH, to)
    }

    /// Whether all VMs and the store were in touch.
    pub(crate) fn all_in_touch(&self, from: Instant, to: Instant) -> bool {
        let vms = (0..self.vms.len()).all(|vm| self.vm_in_touch(vm, from, to));
        vms && self.calm_since(Part::Store, from - IN_TOUCH, to)
    }

    /// Whether nothing but planned stops disturbed a VM and the servers.
    pub(crate) fn only_planned(&self, vm: usize, from: Instant, to: Instant) -> bool {
        let parts = [Part::Vm(vm), Part::Servers];
        parts.into_iter().all(|part| self.calm_since(part, from - IN_TOUCH, to))
    }

    /// Whether no disturbance of a part touches the time from `from` to `to`.
    pub(crate) fn calm_since(&self, part: Part, from: Instant, to: Instant) -> bool {
        self.tick();
        let disturbed = self.disturbed.lock().unwrap();
        let meets = |(of, begin, end): &(Part, Instant, Option<Instant>)| {
            (*of == part || *of == Part::Itself)
                && *begin <= to
                && end.is_none_or(|end| end >= from)
        };
        !disturbed.iter().any(meets)
    }
}

async fn watch_itself(world: Weak<World>) {
    while let Some(world) = world.upgrade() {
        world.tick();
        drop(world);
        tokio::time::sleep(TICK).await;
    }
}

fn next() -> usize {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(100);
    NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
}

async fn place(service: &'static str, index: usize, book: &Arc<Journal>) -> Place {
    let id = format!("{service}-{index}");
    let server = Server::new(&id, book.clone());
    let served = server.serve().await;
    let link = Proxy::start(served.address).await;
    let instance = Mutex::new(Instance { id, server, leaving: false, _served: served });
    Place { service, link, instance }
}
