//! The questions for placements that are open at this VM.

use std::collections::HashMap;
use std::sync::Mutex;

use foldlock_request::scheduler::Reply;
use tokio::sync::mpsc;

use crate::fleet::peers::Scheduler;

/// The questions.
#[derive(Debug, Default)]
pub struct Questions {
    open: Mutex<HashMap<u64, mpsc::UnboundedSender<Reply>>>,
    /// The VM that was asked last.
    scheduler: Mutex<Option<Scheduler>>,
}

impl Questions {
    /// Opens a question. Its answers come by what is returned.
    pub fn open(&self, number: u64) -> mpsc::UnboundedReceiver<Reply> {
        let (sender, answers) = mpsc::unbounded_channel();
        self.open.lock().unwrap().insert(number, sender);
        answers
    }

    /// A question is asked no more.
    pub fn close(&self, number: u64) {
        self.open.lock().unwrap().remove(&number);
    }

    /// There is an answer for a request of this VM.
    pub fn deliver(&self, number: u64, answer: Reply) {
        if let Some(open) = self.open.lock().unwrap().get(&number) {
            // Who asked may have left just now; then the placement is given back.
            let _ = open.send(answer);
        }
    }

    /// A VM is about to be asked. Answers whether it is another than before.
    pub fn asked(&self, scheduler: Option<&Scheduler>) -> bool {
        let mut known = self.scheduler.lock().unwrap();
        let other = known.as_ref() != scheduler;
        if other {
            *known = scheduler.cloned();
        }
        other
    }
}
