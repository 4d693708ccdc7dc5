//! The links of an endpoint: one from each VM to the current server. A VM that is partitioned has its own mode on all of its
//! links, whatever the state of the server.

use std::net::SocketAddr;
use std::sync::Mutex;

use standin::proxy::{Mode, Proxy};

/// The links from all VMs to one endpoint.
pub(crate) struct Links {
    /// The address under which the store lists the endpoint; each VM's view of the store has its link instead.
    pub(crate) listed: SocketAddr,
    links: Vec<Proxy>,
    modes: Mutex<Modes>,
}

struct Modes {
    /// The mode of the server itself.
    server: Mode,
    /// Whether the server sends and reads nothing, as a frozen process.
    is_silent: bool,
    /// The modes of VMs that are partitioned; [`Mode::Open`] if not.
    vms: Vec<Mode>,
}

impl Links {
    /// Starts the links of this many VMs to a server.
    pub(crate) async fn start(server: SocketAddr, vms: usize) -> Links {
        let mut links = Vec::new();
        for _ in 0..vms {
            links.push(Proxy::start(server).await);
        }
        let modes =
            Mutex::new(Modes { server: Mode::Open, is_silent: false, vms: vec![Mode::Open; vms] });
        Links { listed: server, links, modes }
    }

    /// The address of a VM's link.
    pub(crate) fn address(&self, vm: usize) -> SocketAddr {
        self.links[vm].address
    }

    /// Sets the mode of the server.
    pub(crate) fn set(&self, mode: Mode) {
        let mut modes = self.modes.lock().unwrap();
        modes.server = mode;
        (0..self.links.len()).for_each(|vm| self.apply(&modes, vm));
    }

    /// Sets whether the server is silent. Any other mode takes precedence.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        let mut modes = self.modes.lock().unwrap();
        modes.is_silent = is_silent;
        (0..self.links.len()).for_each(|vm| self.apply(&modes, vm));
    }

    /// Sets the mode of a VM, [`Mode::Open`] after a partition.
    pub(crate) fn set_vm(&self, vm: usize, mode: Mode) {
        let mut modes = self.modes.lock().unwrap();
        modes.vms[vm] = mode;
        self.apply(&modes, vm);
    }

    /// Sets the server of new connections.
    pub(crate) fn set_target(&self, server: SocketAddr) {
        self.links.iter().for_each(|link| link.set_target(server));
    }

    fn apply(&self, modes: &Modes, vm: usize) {
        let server = match modes.server {
            Mode::Open if modes.is_silent => Mode::Blackhole,
            mode => mode,
        };
        let own = modes.vms[vm];
        self.links[vm].set(if own == Mode::Open { server } else { own });
    }
}
