//! What the directory is to be told beside a request's way.

use std::sync::Mutex;

use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::quarantine_entry;
use tokio::sync::mpsc;

/// Orders that wait while the directory is away. Each is a request that ended three upstreams or more.
const CAPACITY: usize = 256;

/// What is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// A request is held.
    Quarantine(quarantine_entry::Entry),
    /// It is no longer.
    Release(Fingerprint),
    /// The same, of an entry that came back with a copy of the directory and is not believed here.
    RemoveRestored(Fingerprint),
    /// This VM lists itself again.
    Register,
}

/// The orders that wait.
#[derive(Debug)]
pub struct Queue {
    sender: mpsc::Sender<Write>,
    receiver: Mutex<Option<mpsc::Receiver<Write>>>,
}

impl Default for Queue {
    fn default() -> Queue {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        Queue { sender, receiver: Mutex::new(Some(receiver)) }
    }
}

impl Queue {
    /// The orders, for the one task that carries them out.
    pub fn take_receiver(&self) -> Option<mpsc::Receiver<Write>> {
        self.receiver.lock().unwrap().take()
    }

    /// Gives an order. Where too many wait it is left: VMs tell each other of what is held anyway.
    pub fn push(&self, write: Write) {
        let _ = self.sender.try_send(write);
    }
}
