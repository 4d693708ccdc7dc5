//! The budget of repeated attempts that all VMs share.
//!
//! For each service and window the whole fleet may send `ratio` x requests + `slack` attempts
//! beyond the first. Each VM spends the ratio of its own requests and an even share of the slack,
//! so the sum stays within the whole without a message.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The figures of the budget, from the operator's settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside, over the whole fleet.
    pub slack: f64,
    /// The window over which both count.
    pub window: Duration,
}

/// The part of the budget that is used: requests are counted by the fleet's clock and ours, and
/// the two may disagree at the edges of a window.
const MARGIN: f64 = 0.8;

/// The state of a service's account.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Requests that pay for repeats.
    pub requests: usize,
    /// Repeats spent in the window.
    pub spent: usize,
    /// Repeats that may be spent in the window.
    pub allowed: f64,
    /// The VMs that share the slack.
    pub vms: usize,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Counts {
    fn forget(&mut self, now: Instant, window: Duration) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.saturating_duration_since(*at) > window) {
                times.pop_front();
            }
        }
    }
}

/// What this VM has spent.
#[derive(Debug)]
pub struct Budget {
    figures: Figures,
    services: HashMap<String, Counts>,
}

impl Budget {
    /// An unused budget.
    pub fn new(figures: Figures) -> Budget {
        Budget { figures, services: HashMap::new() }
    }

    /// Takes other figures; what is spent stays spent.
    pub fn set(&mut self, figures: Figures) {
        self.figures = figures;
    }

    /// Counts a caller's request for a service.
    pub fn request(&mut self, service: &str, now: Instant) {
        let counts = self.counts(service, now);
        counts.requests.push_back(now);
    }

    /// Takes a repeat if it is within the budget of one of `vms` VMs.
    pub fn repeat(&mut self, service: &str, vms: usize, now: Instant) -> bool {
        let account = self.account(service, vms, now);
        let within = account.spent as f64 + 1.0 <= account.allowed;
        if within {
            self.counts(service, now).repeats.push_back(now);
        }
        within
    }

    /// The account of a service at one of `vms` VMs.
    pub fn account(&mut self, service: &str, vms: usize, now: Instant) -> Account {
        let Figures { ratio, slack, .. } = self.figures;
        let counts = self.counts(service, now);
        let (requests, spent) = (counts.requests.len(), counts.repeats.len());
        let share = slack / vms.max(1) as f64;
        let allowed = MARGIN * (ratio * requests as f64 + share);
        Account { requests, spent, allowed, vms }
    }

    /// The repeats spent on a service in the current window.
    pub fn spent(&mut self, service: &str, now: Instant) -> usize {
        self.counts(service, now).repeats.len()
    }

    fn counts(&mut self, service: &str, now: Instant) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Counts::default());
        }
        let counts = self.services.get_mut(service).expect("just inserted");
        counts.forget(now, self.figures.window);
        counts
    }
}
