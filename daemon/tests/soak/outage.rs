//! All VMs are killed at the same moment and return together, under load and with the store in various states.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_platform_standin::store::Behaviour;
use nix::sys::signal::Signal;
use rand::Rng;
use rand::rngs::StdRng;
use standin::proxy::Mode;
use tokio::task::JoinHandle;

use crate::fault;
use crate::world::{Part, VM_COUNT, World};

/// Time for which all VMs are down.
const DOWNTIME: Duration = Duration::from_millis(1_400);

/// Time for which the store is disturbed after the VMs are killed.
const STORE_DISTURBANCE: Duration = Duration::from_secs(4);

/// The state of the store while the VMs return.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Store {
    /// Undisturbed.
    Sound,
    /// With this behaviour.
    Disturbed(Behaviour),
    /// One VM reaches it only later.
    CutFromOneVm,
    /// Restored from an older copy.
    Restored,
    /// Without the entries of the servers, which return later.
    WithoutServers,
}

pub(crate) const STORES: [Store; 9] = [
    Store::Sound,
    Store::Disturbed(Behaviour::Unavailable),
    Store::Disturbed(Behaviour::Unresponsive),
    Store::Disturbed(Behaviour::DropsResponses),
    Store::Disturbed(Behaviour::Slow(Duration::from_millis(200))),
    Store::Disturbed(Behaviour::Slow(Duration::from_millis(700))),
    Store::CutFromOneVm,
    Store::Restored,
    Store::WithoutServers,
];

/// Kills all VMs. Returns once they run again and the store is undisturbed, with the time of their return.
pub(crate) async fn bring_about(world: &Arc<World>, store: Store) -> Instant {
    let older = world.store.snapshot();
    let kills: Vec<_> = (0..VM_COUNT)
        .map(|vm| {
            let world = world.clone();
            tokio::spawn(async move { fault::kill(&world, vm, DOWNTIME).await })
        })
        .collect();
    let began = Instant::now();
    match store {
        Store::Sound => {}
        Store::Disturbed(behaviour) => world.store.set_behaviour(behaviour),
        Store::CutFromOneVm => world.vms[0].store_link.set(Mode::Blackhole),
        Store::Restored => world.store.restore(older),
        Store::WithoutServers => {
            world.endpoints.iter().for_each(|e| world.store.remove_server(&e.id()))
        }
    }
    for kill in kills {
        kill.await.unwrap();
    }
    let returned = Instant::now();
    if !matches!(store, Store::Sound) {
        tokio::time::sleep(STORE_DISTURBANCE.saturating_sub(began.elapsed())).await;
        world.store.set_behaviour(Behaviour::Normal);
        world.vms[0].store_link.set(Mode::Open);
        world.register_all();
    }
    returned
}

/// How a process ends in an outage.
#[derive(Debug, Clone, Copy)]
enum End {
    Killed,
    /// Killed this long after the signal to stop.
    KilledInStop(Duration),
    /// Killed this long after it was frozen.
    KilledFrozen(Duration),
}

/// The end of all VMs, and their return in any order, once or several times; the store and the servers may be disturbed
/// before, meanwhile and after.
#[derive(Debug, Clone)]
pub(crate) struct Outage {
    ends: [End; VM_COUNT],
    /// How long each VM is down.
    downtimes: [Duration; VM_COUNT],
    /// Pauses before the VMs end once more.
    repeats: Vec<Duration>,
    store: Option<Behaviour>,
    /// How long before the first end the disturbance of the store begins.
    store_lead: Duration,
    /// How long after the last return it ends.
    store_lag: Duration,
    /// Whether the store comes back from a copy that was made before the outage.
    is_restored: bool,
    /// Whether all servers are replaced during the outage.
    replaces_servers: bool,
    /// Whether the settings change during the outage.
    changes_settings: bool,
}

fn random_time(rng: &mut StdRng, max_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(0..=max_ms))
}

impl End {
    fn random(rng: &mut StdRng) -> End {
        match rng.random_range(0..4) {
            0 => End::KilledInStop(random_time(rng, 3_000)),
            1 => End::KilledFrozen(random_time(rng, 1_500)),
            _ => End::Killed,
        }
    }

    async fn bring_about(self, world: &World, vm: usize) {
        let (signal, time) = match self {
            End::Killed => return,
            End::KilledInStop(time) => (Signal::SIGTERM, time),
            End::KilledFrozen(time) => (Signal::SIGSTOP, time),
        };
        world.vms[vm].signal(signal);
        tokio::time::sleep(time).await;
    }
}

impl Outage {
    pub(crate) fn random(rng: &mut StdRng) -> Outage {
        let behaviours = [
            None,
            Some(Behaviour::Unavailable),
            Some(Behaviour::Unresponsive),
            Some(Behaviour::DropsResponses),
            Some(Behaviour::Slow(random_time(rng, 900))),
        ];
        Outage {
            ends: [(); VM_COUNT].map(|()| End::random(rng)),
            downtimes: [(); VM_COUNT].map(|()| random_time(rng, 3_000)),
            repeats: (0..rng.random_range(0..3)).map(|_| random_time(rng, 2_500)).collect(),
            store: behaviours[rng.random_range(0..behaviours.len())],
            store_lead: random_time(rng, 2_000),
            store_lag: random_time(rng, 5_000),
            is_restored: rng.random_bool(0.3),
            replaces_servers: rng.random_bool(0.4),
            changes_settings: rng.random_bool(0.4),
        }
    }

    /// Ends all VMs and starts them again. Returns the time of the last start. The store is undisturbed again, with what its
    /// clients have written, when the returned task ends.
    pub(crate) async fn bring_about(&self, world: &Arc<World>) -> (Instant, JoinHandle<()>) {
        let disturbances = [Part::Store, Part::Servers].map(|part| world.begin_disturbance(part));
        let copy = world.store.snapshot();
        if let Some(behaviour) = self.store {
            world.store.set_behaviour(behaviour);
            tokio::time::sleep(self.store_lead).await;
        }
        let ended = self.end_all(world);
        if self.replaces_servers {
            for endpoint in &world.endpoints {
                world.replace(endpoint).await;
            }
        }
        if self.changes_settings {
            crate::put_settings(world, 0);
        }
        ended.await;
        if self.is_restored {
            world.store.restore(copy);
        }
        for pause in &self.repeats {
            tokio::time::sleep(*pause).await;
            self.end_all(world).await;
        }
        let returned = Instant::now();
        let (world, lag) = (world.clone(), self.store_lag);
        let calming = tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            world.store.set_behaviour(Behaviour::Normal);
            crate::put_settings(&world, 0);
            world.register_all();
            world.remove_stale();
            disturbances.into_iter().for_each(|index| world.end_disturbance(index));
        });
        (returned, calming)
    }

    fn end_all(&self, world: &Arc<World>) -> impl Future<Output = ()> + use<> {
        let ends = self.ends.into_iter().zip(self.downtimes).enumerate();
        let tasks: Vec<_> = ends
            .map(|(vm, (end, downtime))| {
                let world = world.clone();
                tokio::spawn(async move {
                    let disturbance = world.begin_disturbance(Part::Vm(vm));
                    end.bring_about(&world, vm).await;
                    fault::kill(&world, vm, downtime).await;
                    world.end_disturbance(disturbance);
                })
            })
            .collect();
        async {
            for task in tasks {
                task.await.unwrap();
            }
        }
    }
}
