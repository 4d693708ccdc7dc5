//! The times at which the scheduler has promised rejected callers that they are served if they
//! return.
//!
//! Load patterns A and B: with tripled traffic, more than half of the rejected callers returned at
//! the stated time and were rejected again for the same reason. The promised times are spaced, so that no more callers return than the guaranteed rate can serve.

use std::collections::{BTreeSet, HashMap};
use std::ops::{Bound, RangeInclusive};
use std::time::{Duration, Instant};

use crate::fingerprint::Fingerprint;
use crate::promise::{Announcement, GRACE, MAX_AHEAD, MAX_ANNOUNCED};
use crate::tag::Tag;

/// Maximum number of promises, about 2 MB. With a time limit of 10 s a promise is stored for at most
/// 5.3 s, so 1,880 a second fit. The guaranteed eighth of 3,000 engines is 1,800 requests a second.
pub const MAX_PROMISES: usize = 10_000;

/// Share of a caller's remaining time that it accepts as Retry-After; the rest is left for the
/// response.
const MAX_SHARE: u32 = 3;

/// How early a caller may return: its latency and the rounding of Retry-After differ by some
/// milliseconds from one request to the next.
const MAX_EARLY: Duration = Duration::from_millis(50);

/// The difference in time up to which an announcement belongs to the promise that is stored for the
/// same request. Heartbeats arrive within 50 ms, or later at a VM that is busy.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(200);

/// The difference in arrival up to which two grant requests are for the same request. The arrival is
/// sent as an age, so it differs by the transit time; a grant request that takes 25 ms counts as
/// unanswered.
const MAX_ARRIVAL_DIFFERENCE: Duration = Duration::from_millis(25);

/// A promise that its caller has redeemed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// The capacity of which it is a part, see [`promise::capacity`](crate::promise::capacity). A
    /// route with several services may have chosen another one this time.
    pub service: Tag,
    /// The promised time.
    pub at: Instant,
    /// When it was made, or first announced if another VM made it. Failures after this time can
    /// have reduced the capacity on which it was based.
    pub made: Instant,
}

/// Counts of promises since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Promises made.
    pub made: u64,
    /// Rejections without a promise, as no time was free.
    pub declined: u64,
    /// Promises whose callers returned in time, including those of another scheduler.
    pub redeemed: u64,
    /// Promises made here whose callers did not return to this scheduler in time.
    pub expired: u64,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    service: Tag,
    made: Instant,
    /// The earliest promised time. Announcements of one promise differ by their transit times, and
    /// two schedulers that are active at the same time may promise different times.
    earliest: Instant,
    /// The latest promised time, without differences by transit times.
    latest: Instant,
    /// Whether another VM announced it.
    announced: bool,
    /// When the request arrived with which its caller returned. It is then kept until its end, as it
    /// is still announced, and as that request may need another placement.
    redeemed: Option<Instant>,
}

impl Entry {
    fn end(&self) -> Instant {
        self.latest + GRACE
    }

    /// Whether it was redeemed by the request that arrived then.
    fn is_redeemed_by(&self, arrived: Instant) -> bool {
        self.redeemed.is_some_and(|redeemed| {
            arrived.max(redeemed) - arrived.min(redeemed) <= MAX_ARRIVAL_DIFFERENCE
        })
    }
}

/// The promises of a scheduler, by request.
#[derive(Debug, Default)]
pub struct Promises {
    entries: HashMap<Fingerprint, Entry>,
    /// The ends of all entries.
    ends: BTreeSet<(Instant, Fingerprint)>,
    /// Promised times to come, by capacity.
    times: HashMap<Tag, Times>,
    counts: Counts,
}

impl Promises {
    /// Promises the earliest free time to the caller of a rejected request, and returns the
    /// Retry-After. A request that has a promise gets the same time again.
    ///
    /// `wait`: the forecast wait; the promised time is not before the part of it that exceeds
    /// `remaining` has passed. `remaining`: the time for which the caller still waits.
    /// `rate_per_second`: the rate at which returning callers can be served. `service` identifies
    /// the capacity with that rate, see [`promise::capacity`](crate::promise::capacity).
    pub fn promise(
        &mut self,
        fingerprint: Fingerprint,
        service: Tag,
        wait: Duration,
        remaining: Duration,
        rate_per_second: f64,
        now: Instant,
    ) -> Option<Duration> {
        self.expire(now);
        let stored = self.entries.get(&fingerprint);
        if let Some(entry) = stored.filter(|entry| entry.redeemed.is_none()) {
            return Some(entry.latest.saturating_duration_since(now));
        }
        let has_room = stored.is_some() || self.entries.len() < MAX_PROMISES;
        // The guaranteed rate yields one request in the first interval.
        let range = |interval: Duration| {
            let earliest = wait.saturating_sub(remaining).max(interval);
            earliest..=(remaining / MAX_SHARE).min(MAX_AHEAD)
        };
        let at = interval(rate_per_second)
            .map(|interval| (range(interval), interval))
            .filter(|(range, _)| has_room && !range.is_empty())
            .and_then(|(range, interval)| {
                self.times.entry(service).or_default().take(range, interval, now)
            });
        let Some(at) = at else {
            self.counts.declined += 1;
            return None;
        };
        self.counts.made += 1;
        let entry = Entry {
            service,
            made: now,
            earliest: at,
            latest: at,
            announced: false,
            redeemed: None,
        };
        self.store(fingerprint, entry);
        Some(at - now)
    }

    /// The promise of a caller that has returned with a request that arrived at `arrived`; none if
    /// there is none for this time, or another request has redeemed it. The same request redeems it
    /// again: it has a new number when its VM could not use the first grant.
    pub fn redeem(
        &mut self,
        fingerprint: Fingerprint,
        arrived: Instant,
        now: Instant,
    ) -> Option<Promise> {
        let entry = self.entries.get_mut(&fingerprint)?;
        if now >= entry.end() {
            return None;
        }
        let promise = Promise { service: entry.service, at: entry.latest, made: entry.made };
        if entry.is_redeemed_by(arrived) {
            return Some(promise);
        }
        // A repeated grant request for the request that was rejected is no return.
        let is_repeated = !entry.announced && arrived <= entry.made;
        if entry.redeemed.is_some() || is_repeated || now + MAX_EARLY < entry.earliest {
            return None;
        }
        entry.redeemed = Some(arrived);
        self.counts.redeemed += 1;
        Some(promise)
    }

    /// Adds promises that a VM announces.
    pub fn merge(&mut self, announced: &[Announcement], now: Instant) {
        self.expire(now);
        for announcement in announced.iter().take(MAX_ANNOUNCED) {
            if let Some(at) = announcement.at(now) {
                self.merge_one(announcement.fingerprint, announcement.service, at, now);
            }
        }
    }

    fn merge_one(&mut self, fingerprint: Fingerprint, service: Tag, at: Instant, now: Instant) {
        let is_full = self.entries.len() >= MAX_PROMISES;
        let entry = match self.entries.get_mut(&fingerprint) {
            Some(stored) if at <= stored.latest + MAX_ANNOUNCEMENT_DELAY => {
                stored.earliest = stored.earliest.min(at);
                return;
            }
            // Another scheduler promised the caller a later time.
            Some(stored) if stored.redeemed.is_none() => Entry { latest: at, ..*stored },
            None if is_full => return,
            _ => {
                if at > now {
                    self.times.entry(service).or_default().taken.insert(at);
                }
                Entry {
                    service,
                    made: now,
                    earliest: at,
                    latest: at,
                    announced: true,
                    redeemed: None,
                }
            }
        };
        self.store(fingerprint, entry);
    }

    /// Removes promises that have ended.
    pub fn expire(&mut self, now: Instant) {
        while let Some((end, fingerprint)) = self.ends.first().copied()
            && end <= now
        {
            self.ends.pop_first();
            let entry = self.entries.remove(&fingerprint);
            if entry.is_some_and(|entry| !entry.announced && entry.redeemed.is_none()) {
                self.counts.expired += 1;
            }
        }
        self.times.retain(|_, times| {
            while times.taken.first().is_some_and(|time| *time <= now) {
                times.taken.pop_first();
            }
            !times.taken.is_empty()
        });
    }

    /// The number of promises, including redeemed ones that have not ended.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no promises.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Counts since the process started.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn store(&mut self, fingerprint: Fingerprint, entry: Entry) {
        if let Some(replaced) = self.entries.insert(fingerprint, entry) {
            self.ends.remove(&(replaced.end(), fingerprint));
        }
        self.ends.insert((entry.end(), fingerprint));
    }
}

/// Promised times to come of one capacity. They remain taken when a caller returns early, as the
/// capacity is then used.
#[derive(Debug, Default)]
struct Times {
    taken: BTreeSet<Instant>,
    /// The result of the last search. Without it, each rejection would search all times again while
    /// all of them are taken: 60 us at 1,800 promises a second.
    searched: Option<Searched>,
}

/// No time from an interval after now until this one is free for promises with at least this
/// interval.
#[derive(Debug, Clone, Copy)]
struct Searched {
    interval: Duration,
    until: Instant,
}

impl Times {
    /// Takes the earliest time that is an interval away from all others. `range`: the earliest and
    /// the latest acceptable time from now. The earliest one is at least the interval.
    fn take(
        &mut self,
        range: RangeInclusive<Duration>,
        interval: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let (first, last) = (now + *range.start(), now + *range.end());
        let searched = self.searched.filter(|searched| searched.interval <= interval);
        let mut free = searched.map_or(first, |searched| searched.until.max(first));
        for time in self.taken.range((Bound::Excluded(free - interval), Bound::Unbounded)) {
            if free > last || *time >= free + interval {
                break;
            }
            free = *time + interval;
        }
        let found = free <= last;
        if found {
            self.taken.insert(free);
        }
        if *range.start() == interval {
            let until = if found { free + interval } else { free };
            self.searched = Some(Searched { interval, until });
        }
        found.then_some(free)
    }
}

/// The time between two requests at this rate; none if the rate is zero or implausible.
fn interval(rate_per_second: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(1.0 / rate_per_second).ok().filter(|interval| !interval.is_zero())
}
