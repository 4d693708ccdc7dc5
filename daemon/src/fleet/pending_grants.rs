//! Grant requests of this VM that are in progress.

use std::collections::HashMap;
use std::sync::Mutex;

use foldlock_request::scheduler::Reply;
use tokio::sync::mpsc;

use crate::fleet::peers::Scheduler;

/// The grant requests, by number, each with the channel for its replies.
#[derive(Debug, Default)]
pub struct Table {
    requests: Mutex<HashMap<u64, mpsc::UnboundedSender<Reply>>>,
    /// The scheduler of the last grant request.
    scheduler: Mutex<Option<Scheduler>>,
}

impl Table {
    /// Whether a thread has panicked while it held a lock.
    pub fn is_poisoned(&self) -> bool {
        self.requests.is_poisoned() || self.scheduler.is_poisoned()
    }

    /// Adds a grant request. Returns the channel that receives its replies.
    pub fn add(&self, number: u64) -> mpsc::UnboundedReceiver<Reply> {
        let (sender, replies) = mpsc::unbounded_channel();
        self.requests.lock().unwrap().insert(number, sender);
        replies
    }

    /// Removes a grant request; later replies to it are dropped.
    pub fn remove(&self, number: u64) {
        self.requests.lock().unwrap().remove(&number);
    }

    /// Delivers a reply to a grant request.
    pub fn deliver(&self, number: u64, reply: Reply) {
        if let Some(sender) = self.requests.lock().unwrap().get(&number) {
            // Fails if the request was dropped meanwhile, which releases the placement.
            let _ = sender.send(reply);
        }
    }

    /// Sets the scheduler of the next grant request. Returns whether it differs from the last one.
    pub fn set_scheduler(&self, scheduler: Option<&Scheduler>) -> bool {
        let mut current = self.scheduler.lock().unwrap();
        let changed = current.as_ref() != scheduler;
        if changed {
            *current = scheduler.cloned();
        }
        changed
    }
}
