//! Shares of the capacity among organisations, by start-time fair queueing.
//!
//! Answers load pattern A, capacity that is scarce at times: a few large organisations send most of the requests, and
//! without shares the others would wait behind all of these. See `docs/design/queue-order.md`.

use std::time::{Duration, Instant};

use crate::tag::Tag;

/// The least cost of a request, milliseconds. Requests whose cost is unknown count as this much, so that shares are
/// counted in requests where no engine model exists.
const MIN_COST_MS: f64 = 1.0;

/// The highest cost of a request, milliseconds: more than ten times the prefill of 700,000 tokens (49 s). Without a
/// limit, one implausible prompt length would move the virtual time beyond all other accounts.
const MAX_COST_MS: f64 = 600_000.0;

/// Time after its last grant after which an account is dropped: twice the longest time limit of both load patterns
/// (15 s), so that all requests that were queued beside the charged one have been granted or rejected.
pub(super) const RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of accounts: more than twice the 450 organisations that a scheduler must serve. A full clock takes
/// some 40 KB.
const MAX_ACCOUNTS: usize = 1_024;

/// The cost that is charged for a request, microseconds.
pub(super) fn charged_us(cost_ms: f64) -> u32 {
    // A cost that is not a number becomes 0 by the conversion.
    ((cost_ms.clamp(MIN_COST_MS, MAX_COST_MS) * 1e3) as u32).max((MIN_COST_MS * 1e3) as u32)
}

/// What an organisation was granted; requests without an organisation share one account.
#[derive(Debug, Clone, Copy)]
struct Account {
    organisation: Option<Tag>,
    /// The virtual time at which its last granted request finishes, microseconds.
    finish_us: u64,
    granted: Instant,
}

/// The virtual time of requests of one priority, and the organisations that are ahead of it.
#[derive(Debug, Clone, Default)]
pub struct Clock {
    now_us: u64,
    /// Sorted by organisation.
    accounts: Vec<Account>,
}

impl Clock {
    /// Creates a clock at virtual time 0, without accounts.
    pub const fn new() -> Clock {
        Clock { now_us: 0, accounts: Vec::new() }
    }

    /// The virtual time at which the next request of an organisation starts, microseconds.
    fn start_us(&self, organisation: Option<Tag>) -> u64 {
        let found = self.accounts.binary_search_by_key(&organisation, |a| a.organisation);
        found.map_or(self.now_us, |index| self.accounts[index].finish_us.max(self.now_us))
    }

    /// The leads of several organisations, which are given in ascending order, microseconds.
    pub(super) fn leads_us(&self) -> impl FnMut(Option<Tag>) -> u64 {
        let mut accounts = self.accounts.iter().peekable();
        move |organisation| {
            while accounts.next_if(|account| account.organisation < organisation).is_some() {}
            let account = accounts.peek().filter(|account| account.organisation == organisation);
            account.map_or(0, |account| account.finish_us.saturating_sub(self.now_us))
        }
    }

    /// Charges an organisation for a granted request. The virtual time advances to the start of the request only if
    /// it was the organisation's turn.
    pub fn charge(&mut self, organisation: Option<Tag>, cost_ms: f64, is_turn: bool, now: Instant) {
        let start_us = self.start_us(organisation);
        if is_turn {
            self.now_us = start_us;
        }
        let account = Account {
            organisation,
            finish_us: start_us.saturating_add(u64::from(charged_us(cost_ms))),
            granted: now,
        };
        match self.accounts.binary_search_by_key(&organisation, |a| a.organisation) {
            Ok(index) => self.accounts[index] = account,
            Err(index) => {
                self.accounts.insert(index, account);
                self.limit_accounts();
            }
        }
    }

    /// How far an organisation is ahead of the virtual time, in engine time.
    pub fn lead(&self, organisation: Option<Tag>) -> Duration {
        Duration::from_micros(self.start_us(organisation) - self.now_us)
    }

    /// Drops accounts without effect, and those without recent grants.
    pub fn expire(&mut self, now: Instant) {
        self.accounts.retain(|account| {
            account.finish_us > self.now_us
                && now.saturating_duration_since(account.granted) < RETENTION
        });
    }

    /// The number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Drops the account that is least ahead if there are too many: its organisation gains the least by it.
    fn limit_accounts(&mut self) {
        if self.accounts.len() <= MAX_ACCOUNTS {
            return;
        }
        let finish = |index: &usize| self.accounts[*index].finish_us;
        let least = (0..self.accounts.len()).min_by_key(finish);
        if let Some(index) = least {
            self.accounts.remove(index);
        }
    }
}
