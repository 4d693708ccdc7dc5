//! All VMs are killed at the same moment and return together, under load and with the store in various states.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_platform_standin::store::Behaviour;
use standin::proxy::Mode;

use crate::fault;
use crate::world::{VM_COUNT, World};

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
