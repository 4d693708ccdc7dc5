//! The retry budget of the fleet, kept per service by the scheduler.
//!
//! In each window the fleet may send `ratio` x requests + `slack` retries. All attempts are charged at the
//! scheduler. A first attempt adds `ratio` tokens to the bucket of its service, which is small. A retry takes
//! a token; if there is none, it is counted against the slack, which limits such retries per window.
//!
//! Load pattern: many upstreams are silent for a second at once, and most go on. Attempts beside those that are silent
//! (hedges) would take the retries that requests need whose attempts fail in the same window. So hedges leave a share of the
//! budget to retries after failures.
//!
//! No state is handed over to the next scheduler. A new scheduler starts with empty buckets and without slack:
//! each VM is a client of one scheduler at a time, and its share of the slack counts there once it has been a
//! client for a whole window. So slack that was spent by a scheduler which was then killed, suspended or
//! partitioned is not spent a second time. A scheduler divides the slack by the size of the fleet, and holds none
//! while it cannot know this size (see `size`).

mod clients;
mod size;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::cluster::Holder;
use crate::rank::MAX_SCHEDULERS;
use crate::tag::Tag;

use clients::Clients;
pub use clients::{Affiliation, Process};
use size::Size;

/// The parameters of the budget, from the operator's settings.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Parameters {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window over the whole fleet.
    pub slack: f64,
    /// The window over which requests and retries are counted.
    pub window: Duration,
}

/// Share of the ratio that is used. Retries are counted here when they are scheduled, but by upstreams when they
/// arrive, so the counts in a window may differ.
const RATIO_SHARE: f64 = 0.9;

/// Share of the slack that is distributed over the clients.
const CLIENT_SLACK_SHARE: f64 = 0.75;

/// Share of the slack that is the capacity of one bucket. Each VM that may become the scheduler has a bucket per
/// service.
const BUCKET_SLACK_SHARE: f64 = (1.0 - CLIENT_SLACK_SHARE) / MAX_SCHEDULERS as f64;

/// Share of the budget that hedges leave. Without its retry after a failure a request is lost, whereas without a hedge it
/// waits for an upstream that may still respond. A larger share would leave requests at upstreams that are gone without notice.
const HEDGE_RESERVE_SHARE: f64 = 0.5;

/// How an attempt is charged to the budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Encoded", into = "Encoded")]
pub enum Charge {
    /// The first attempt of a request, which adds tokens.
    Deposit,
    /// An attempt that replaces one that reached no upstream; not charged.
    #[default]
    Free,
    /// A retry after an attempt that reached an upstream, which takes a token or slack.
    Withdraw,
    /// The same beside an attempt that is silent and still open. It is allowed only while retries after failures have a share
    /// of the budget left.
    Hedge,
}

/// A charge as it is encoded.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Encoded {
    Name(Name),
    /// A hedge, as the index of [`Name::Withdraw`]: VMs of the previous release, which know the variants of `Name` only,
    /// accept an index too, and charge a retry.
    Index(u8),
}

#[derive(Serialize, Deserialize)]
enum Name {
    Deposit,
    Free,
    Withdraw,
}

impl From<Charge> for Encoded {
    fn from(charge: Charge) -> Encoded {
        match charge {
            Charge::Deposit => Encoded::Name(Name::Deposit),
            Charge::Free => Encoded::Name(Name::Free),
            Charge::Withdraw => Encoded::Name(Name::Withdraw),
            Charge::Hedge => Encoded::Index(Name::Withdraw as u8),
        }
    }
}

impl From<Encoded> for Charge {
    fn from(encoded: Encoded) -> Charge {
        match encoded {
            Encoded::Name(Name::Deposit) => Charge::Deposit,
            Encoded::Name(Name::Free) => Charge::Free,
            Encoded::Name(Name::Withdraw) => Charge::Withdraw,
            Encoded::Index(_) => Charge::Hedge,
        }
    }
}

/// The budget rejects a retry. The fields are the state at that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exhausted {
    /// Retries counted against the slack in the last window.
    pub spent: u32,
    /// The slack available to this scheduler, for a hedge its share: 0 while it does not know the size of the fleet.
    pub slack: u32,
    /// The clients whose shares make up this slack.
    pub clients: u32,
    /// The VMs of the fleet that this scheduler lists.
    pub vms: u32,
}

#[derive(Debug, Default)]
struct Account {
    tokens: f64,
    /// When retries were counted against the slack.
    spent: VecDeque<Instant>,
}

impl Account {
    /// Removes retries that are older than the window.
    fn expire(&mut self, window: Duration, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > window;
        while self.spent.front().is_some_and(is_old) {
            self.spent.pop_front();
        }
    }
}

/// The budget as kept by this VM when it is a scheduler.
#[derive(Debug, Default)]
pub struct Budget {
    parameters: Parameters,
    /// Its maximum is used, at least over the last window. A VM that has stopped still counts as a client for a
    /// while, and in a partition it counts for longer. With the current number, the shares of two schedulers
    /// could add up to more than the slack.
    size: Size,
    clients: Clients,
    accounts: HashMap<Tag, Account>,
}

impl Budget {
    /// Creates a budget without clients.
    pub fn new(parameters: Parameters) -> Budget {
        Budget { parameters, ..Budget::default() }
    }

    /// Changes the parameters and keeps what is spent. A longer window resets the budget, because the retries that
    /// would count again have been removed already.
    pub fn set(&mut self, parameters: Parameters) {
        if parameters.window > self.parameters.window {
            self.clear();
        }
        self.parameters = parameters;
        self.cap_tokens();
    }

    /// Records a message from a VM of a fleet of `vms`. `is_client` says whether it is a client of this scheduler.
    pub fn record_contact(&mut self, vm: &Holder, is_client: bool, vms: usize, now: Instant) {
        let window = self.parameters.window;
        self.size.record(vms, window, now);
        // Before this VM is recorded, so that the tokens of expired VMs are dropped even if it is one of them.
        if self.clients.expire(window, now) {
            self.cap_tokens();
        }
        self.clients.record(vm, is_client, now);
        // Only while there is no slack to lose: one VM that changes its scheduler does not affect the others.
        if !is_client && self.clients.settled() == 0 {
            self.size.record_takeover(window, now);
        }
        // Without requests of its own, this VM is no contact of itself.
        if self.clients.peers() + 1 >= vms {
            self.size.confirm(window, now);
        }
    }

    /// Records the number of listed VMs, also while this VM is not a scheduler. If it becomes one when it is cut off, it
    /// then knows the size that the fleet had before.
    pub fn record_size(&mut self, vms: usize, now: Instant) {
        self.size.record(vms, self.parameters.window, now);
    }

    /// Records that the list of VMs was the newest of the directory at a time. Without it, the list is confirmed only
    /// by messages from all listed VMs.
    pub fn confirm_size(&mut self, at: Instant) {
        self.size.confirm(self.parameters.window, at);
    }

    /// Charges an attempt at a service, if the budget allows it.
    pub fn charge(&mut self, service: Tag, charge: Charge, now: Instant) -> Result<(), Exhausted> {
        match charge {
            Charge::Deposit => self.deposit(service),
            Charge::Free => {}
            Charge::Withdraw | Charge::Hedge => {
                self.check(service, charge, now)?;
                self.withdraw(service, now);
            }
        }
        Ok(())
    }

    /// Charges an attempt that is queued. Returns the charge that is due when it is placed: a first attempt adds its
    /// tokens at once, a retry is charged when it is sent.
    pub fn queue(&mut self, service: Tag, charge: Charge) -> Charge {
        if charge != Charge::Deposit {
            return charge;
        }
        self.deposit(service);
        Charge::Free
    }

    /// Checks whether the budget allows an attempt at a service, without charging it.
    pub fn check(&mut self, service: Tag, charge: Charge, now: Instant) -> Result<(), Exhausted> {
        let reserve_share = match charge {
            Charge::Deposit | Charge::Free => return Ok(()),
            Charge::Withdraw => 0.0,
            Charge::Hedge => HEDGE_RESERVE_SHARE,
        };
        let (slack, window) = (self.slack(), self.parameters.window);
        let reserve = reserve_share * (slack + self.capacity());
        let account = self.accounts.entry(service).or_default();
        account.expire(window, now);
        let spent = account.spent.len();
        let unspent = slack - spent as f64;
        let is_covered = account.tokens >= 1.0 || unspent >= 1.0;
        if is_covered && account.tokens + unspent.max(0.0) >= 1.0 + reserve {
            return Ok(());
        }
        Err(Exhausted {
            spent: spent as u32,
            slack: (slack * (1.0 - reserve_share)) as u32,
            clients: self.clients.settled() as u32,
            vms: self.size.max() as u32,
        })
    }

    /// Returns the window over which requests and retries are counted.
    pub fn window(&self) -> Duration {
        self.parameters.window
    }

    /// Removes all clients and buckets, because other schedulers may have served these clients in the meantime.
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

    /// Returns how many retries may be counted against the slack in a window. If the slack is at least one per VM, a
    /// scheduler with a single client has one retry.
    fn slack(&self) -> f64 {
        if !self.size.is_known() {
            return 0.0;
        }
        let slack = self.slack_of(self.clients.settled());
        (CLIENT_SLACK_SHARE * slack).max(slack.min(1.0))
    }

    /// Returns the capacity of a bucket.
    fn capacity(&self) -> f64 {
        BUCKET_SLACK_SHARE * self.slack_of(self.clients.contacts())
    }

    /// Returns the share of the slack for this number of VMs.
    fn slack_of(&self, vms: usize) -> f64 {
        self.parameters.slack * (vms as f64 / self.size.max().max(1) as f64).min(1.0)
    }
}
