//! Queue of writes to the directory that are done in the background, apart from the handling of
//! requests.

use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::quarantine_entry;
use tokio::sync::{Mutex, MutexGuard, mpsc};

/// Maximum number of writes queued while the directory is unavailable. Apart from
/// registrations, they are for requests during which three or more upstreams crashed.
const CAPACITY: usize = 256;

/// A write to the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Lists a request as quarantined.
    Quarantine(quarantine_entry::Entry),
    /// Releases a request from quarantine.
    Release(Fingerprint),
    /// Removes an entry that a restored directory lists although the request was released after the
    /// copy.
    RemoveRestored(Fingerprint),
    /// Registers this VM again.
    Register,
}

/// The queued writes.
#[derive(Debug)]
pub struct Queue {
    sender: mpsc::Sender<Write>,
    receiver: Mutex<mpsc::Receiver<Write>>,
}

impl Default for Queue {
    fn default() -> Queue {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        Queue { sender, receiver: Mutex::new(receiver) }
    }
}

impl Queue {
    /// The receiving end, for the one task that executes the writes.
    pub async fn receiver(&self) -> MutexGuard<'_, mpsc::Receiver<Write>> {
        self.receiver.lock().await
    }

    /// Queues a write. If the queue is full the write is dropped: VMs announce quarantined requests
    /// to each other anyway.
    pub fn push(&self, write: Write) {
        let _ = self.sender.try_send(write);
    }
}
