//! The questions for placements that are open at this VM.

use std::collections::HashMap;
use std::sync::Mutex;

use foldlock_request::scheduler::Reply;
use tokio::sync::mpsc;

use crate::fleet::peers::Scheduler;

/// The questions.
#[derive(Debug, Default)]
pub struct Table {
    requests: Mutex<HashMap<u64, mpsc::UnboundedSender<Reply>>>,
    /// The VM that was asked last.
    scheduler: Mutex<Option<Scheduler>>,
}

impl Table {
    /// Opens a question. Its replies come by what is returned.
    pub fn add(&self, number: u64) -> mpsc::UnboundedReceiver<Reply> {
        let (sender, replies) = mpsc::unbounded_channel();
        self.requests.lock().unwrap().insert(number, sender);
        replies
    }

    /// A question is asked no more.
    pub fn remove(&self, number: u64) {
        self.requests.lock().unwrap().remove(&number);
    }

    /// There is a reply for a request of this VM.
    pub fn deliver(&self, number: u64, reply: Reply) {
        if let Some(sender) = self.requests.lock().unwrap().get(&number) {
            // Who asked may have left just now; then the placement is given back.
            let _ = sender.send(reply);
        }
    }

    /// A VM is about to be asked. Answers whether it is another than before.
    pub fn set_scheduler(&self, scheduler: Option<&Scheduler>) -> bool {
        let mut current = self.scheduler.lock().unwrap();
        let changed = current.as_ref() != scheduler;
        if changed {
            *current = scheduler.cloned();
        }
        changed
    }
}
