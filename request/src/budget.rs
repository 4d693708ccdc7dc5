//! The retry budget of the fleet, kept for each service by the VM that schedules.
//!
//! In each window the fleet may send `ratio` x requests + `slack` attempts beyond the first of each
//! request. The scheduler sees them all. A first attempt adds `ratio` tokens to its service's bucket, which
//! is small; a repeat takes one, or else a part of the slack that was not spent in the last window.
//!
//! Nothing is handed over to the next scheduler. It begins with empty buckets, and without slack: each VM is
//! a client of one scheduler at a time, and its share of the slack counts there once it has been one for a
//! window. So what a scheduler has spent that was killed, frozen or cut off is not spent again.

mod clients;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::cluster::Holder;
use crate::rank::MAX_SCHEDULERS;
use crate::tag::Tag;

use clients::Clients;
pub use clients::{Affiliation, Process};

/// The figures of the budget, from the operator's settings.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Parameters {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside, over the whole fleet.
    pub slack: f64,
    /// The window over which both count.
    pub window: Duration,
}

/// Share of the ratio that is used: repeats are counted here when they are scheduled, and by upstreams when
/// they arrive.
const RATIO_SHARE: f64 = 0.9;

/// Share of the slack that is spent through clients.
const CLIENT_SLACK_SHARE: f64 = 0.75;

/// Share of the slack that a bucket holds: each VM that may be asked to schedule has one.
const BUCKET_SLACK_SHARE: f64 = (1.0 - CLIENT_SLACK_SHARE) / MAX_SCHEDULERS as f64;

/// What an attempt is to the budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Charge {
    /// The first attempt of a request, which pays into the budget.
    Deposit,
    /// An attempt in place of one that reached no upstream.
    #[default]
    Free,
    /// An attempt after one that reached an upstream, which takes a repeat from the budget.
    Withdraw,
}

/// The budget refuses a repeat. The figures are those that decided it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exhausted {
    /// Repeats that were taken from the slack in the last window.
    pub spent: u32,
    /// How many may be.
    pub slack: u32,
    /// The VMs that bring this slack.
    pub clients: u32,
    /// The VMs that run.
    pub vms: u32,
}

#[derive(Debug, Default)]
struct Account {
    tokens: f64,
    /// When repeats were taken from the slack.
    spent: VecDeque<Instant>,
}

impl Account {
    /// Forgets repeats that are out of the window.
    fn expire(&mut self, window: Duration, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > window;
        while self.spent.front().is_some_and(is_old) {
            self.spent.pop_front();
        }
    }
}

/// The budget, as far as this VM schedules.
#[derive(Debug, Default)]
pub struct Budget {
    parameters: Parameters,
    /// The VMs that run.
    vms: usize,
    clients: Clients,
    accounts: HashMap<Tag, Account>,
}

impl Budget {
    /// A budget without clients.
    pub fn new(parameters: Parameters) -> Budget {
        Budget { parameters, ..Budget::default() }
    }

    /// Takes other figures; what is spent stays spent. With a longer window the budget begins anew: it has
    /// forgotten the repeats that now count again.
    pub fn set(&mut self, parameters: Parameters) {
        if parameters.window > self.parameters.window {
            self.clear();
        }
        self.parameters = parameters;
        self.cap_tokens();
    }

    /// Records a message from one of `vms` VMs.
    pub fn record_contact(&mut self, vm: &Holder, is_client: bool, vms: usize, now: Instant) {
        self.vms = vms;
        // Before it counts: what was held for those that left is lost.
        if self.clients.expire(self.parameters.window, now) {
            self.cap_tokens();
        }
        self.clients.record(vm, is_client, now);
    }

    /// Counts an attempt at a service, if the budget allows it.
    pub fn charge(&mut self, service: Tag, charge: Charge, now: Instant) -> Result<(), Exhausted> {
        match charge {
            Charge::Deposit => self.deposit(service),
            Charge::Free => {}
            Charge::Withdraw => {
                self.check(service, charge, now)?;
                self.withdraw(service, now);
            }
        }
        Ok(())
    }

    /// Counts an attempt that is queued. Returns what is left to charge when it is placed: a request pays at once, a
    /// repeat is taken when it is sent.
    pub fn queue(&mut self, service: Tag, charge: Charge) -> Charge {
        if charge != Charge::Deposit {
            return charge;
        }
        self.deposit(service);
        Charge::Free
    }

    /// Whether the budget allows an attempt at a service.
    pub fn check(&mut self, service: Tag, charge: Charge, now: Instant) -> Result<(), Exhausted> {
        if charge != Charge::Withdraw {
            return Ok(());
        }
        let (slack, window) = (self.slack(), self.parameters.window);
        let account = self.accounts.entry(service).or_default();
        account.expire(window, now);
        let spent = account.spent.len();
        if account.tokens >= 1.0 || spent as f64 + 1.0 <= slack {
            return Ok(());
        }
        Err(Exhausted {
            spent: spent as u32,
            slack: slack as u32,
            clients: self.clients.settled() as u32,
            vms: self.vms as u32,
        })
    }

    /// The window over which requests and repeats count.
    pub fn window(&self) -> Duration {
        self.parameters.window
    }

    /// Forgets all clients: others may have scheduled for them since.
    pub fn clear(&mut self) {
        self.clients = Clients::default();
        self.accounts.clear();
    }

    fn cap_tokens(&mut self) {
        let capacity = self.capacity();
        let accounts = self.accounts.values_mut();
        accounts.for_each(|account| account.tokens = account.tokens.min(capacity));
    }

    fn deposit(&mut self, service: Tag) {
        let (earned, capacity) = (RATIO_SHARE * self.parameters.ratio, self.capacity());
        let account = self.accounts.entry(service).or_default();
        account.tokens = (account.tokens + earned).min(capacity);
    }

    fn withdraw(&mut self, service: Tag, now: Instant) {
        let account = self.accounts.entry(service).or_default();
        if account.tokens >= 1.0 {
            account.tokens -= 1.0;
        } else {
            account.spent.push_back(now);
        }
    }

    /// Repeats that may be taken from the slack in a window. Where it is one for each VM, a scheduler of a
    /// single client has a whole one.
    fn slack(&self) -> f64 {
        let slack = self.slack_of(self.clients.settled());
        (CLIENT_SLACK_SHARE * slack).max(slack.min(1.0))
    }

    /// The tokens that a bucket holds at most.
    fn capacity(&self) -> f64 {
        BUCKET_SLACK_SHARE * self.slack_of(self.clients.contacts())
    }

    /// The slack of so many VMs.
    fn slack_of(&self, vms: usize) -> f64 {
        self.parameters.slack * (vms as f64 / self.vms.max(1) as f64).min(1.0)
    }
}
