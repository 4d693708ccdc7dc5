//! What the directory is to be told beside a request's way.

use std::sync::Mutex;

use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::quarantine_entry;
use tokio::sync::mpsc;

/// Orders that wait while the directory is away. Each is a request that ended three upstreams or more.
const WAITING: usize = 256;

/// What is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// A request is held.
    Hold(quarantine_entry::Entry),
    /// It is no longer.
    Release(Fingerprint),
    /// The same, of an entry that came back with a copy of the directory and is not believed here.
    Remove(Fingerprint),
    /// This VM lists itself again.
    Announce,
}

/// The orders that wait.
#[derive(Debug)]
pub struct Register {
    sender: mpsc::Sender<Order>,
    receiver: Mutex<Option<mpsc::Receiver<Order>>>,
}

impl Default for Register {
    fn default() -> Register {
        let (sender, receiver) = mpsc::channel(WAITING);
        Register { sender, receiver: Mutex::new(Some(receiver)) }
    }
}

impl Register {
    /// The orders, for the one task that carries them out.
    pub fn take(&self) -> Option<mpsc::Receiver<Order>> {
        self.receiver.lock().unwrap().take()
    }

    /// Gives an order. Where too many wait it is left: VMs tell each other of what is held anyway.
    pub fn order(&self, order: Order) {
        let _ = self.sender.try_send(order);
    }
}
