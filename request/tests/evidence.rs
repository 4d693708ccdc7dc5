//! Which engines are asked for reports: faults are known no later than with polling every 600 ms, with fewer requests.

use std::time::{Duration, Instant};

use foldlock_base::size::Tokens;
use foldlock_request::cluster::{Cluster, Holder, Listed};
use foldlock_request::evidence::{Doubt, Expectation, POLL_INTERVAL, Pace, Reason, TICK};
use foldlock_request::flight::{Announcement, Flight, Helper};
use foldlock_request::forecast;
use foldlock_request::report::{Observed, Report};
use foldlock_request::suspicion::{Failure, Outcome};
use foldlock_version::routes::Engine;

const MS: Duration = Duration::from_millis(1);

/// The slowdown of a third of the engines of load pattern B.
const SLOWDOWN: u32 = 4;

const ENGINE: Engine = Engine {
    slots: 12,
    memory: Tokens(197_200),
    step_ms: 1.02,
    per_request_ms: 0.00226,
    per_context_ms: 0.00431,
    prefill_tokens_per_ms: 206.0,
    ms_per_million_pairs: 0.138,
    stride: 48,
    chunk: 2_048,
    mean_answer: Tokens(1_500),
};

/// What is wrong with the engine from a time on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    Slow,
    Dark,
    /// Slow, but its reports state that it is not.
    Lying,
}

/// Time between two events of a response of the engine.
const PASS: u32 = 50;

/// An attempt under way.
struct Attempt {
    number: u64,
    next_event: Option<u32>,
    pace: Pace,
    /// Events that are left.
    events: u32,
}

/// An engine of a fleet with a scheduler. All times are in ms.
struct Fleet {
    cluster: Cluster,
    start: Instant,
    fault: Fault,
    fault_at: u32,
    /// Predicted time to the first event.
    predicted: u32,
    /// Events of a response after its first one.
    events: u32,
    attempts: Vec<Attempt>,
    interval: u32,
    /// Whether the engine is a helper of the attempts.
    is_helper: bool,
    asked: Vec<(u32, Reason)>,
    doubted: Vec<(u32, Doubt)>,
}

impl Fleet {
    fn new(fault: Fault, fault_at: u32, predicted: u32, interval: u32) -> Fleet {
        let mut cluster = Cluster::default();
        for id in ["i-0", "i-1"] {
            cluster.list(Listed {
                id: id.parse().unwrap(),
                born: None,
                revision: 0.into(),
                service: id.to_owned(),
                address: id.to_owned(),
                hall: "a".to_owned(),
                slots: 12,
                leaving: false,
                cold_ms: 0,
            });
        }
        Fleet {
            cluster,
            start: Instant::now(),
            fault,
            fault_at,
            predicted,
            events: 10,
            attempts: Vec::new(),
            interval,
            is_helper: false,
            asked: Vec::new(),
            doubted: Vec::new(),
        }
    }

    fn at(&self, ms: u32) -> Instant {
        self.start + MS * ms
    }

    fn is_faulty(&self, at: u32) -> bool {
        self.fault != Fault::None && at >= self.fault_at
    }

    /// When work is done that takes this long at a sound engine.
    fn finish(&self, from: u32, work: u32) -> Option<u32> {
        let until_fault =
            if self.fault == Fault::None { work } else { self.fault_at - self.fault_at.min(from) };
        let remaining = work - work.min(until_fault);
        let is_dark = self.fault == Fault::Dark && remaining > 0;
        (!is_dark).then_some(from + work - remaining + remaining * SLOWDOWN)
    }

    fn flight(&self) -> Flight {
        let [engine, other] = ["i-0", "i-1"].map(|id| id.parse().unwrap());
        let (upstream, helpers) = if self.is_helper {
            (other, vec![Helper { upstream: engine, reserved: 10 }])
        } else {
            (engine, Vec::new())
        };
        Flight {
            upstream,
            helpers,
            part_ms: self.predicted as f32,
            memory: 100,
            pause_ms: 250,
            decoding: false,
            isolated: None,
        }
    }

    /// One decision of the scheduler. The engine answers at once.
    fn tick(&mut self, now: u32) {
        let id = "i-0".parse().unwrap();
        let round = self.cluster.due_reports(|listed| listed.id == id, self.at(now));
        self.doubted.extend(round.doubted.iter().map(|doubted| (now, doubted.doubt)));
        for due in round.due {
            self.asked.push((now, due.reason));
            let is_slow = self.is_faulty(now) && self.fault == Fault::Slow;
            let slowdown = if is_slow { f64::from(SLOWDOWN) } else { 1.0 };
            let report = Report { slowdown, running: 0, waiting: 0, memory: Tokens(0), born: None };
            let is_dark = self.is_faulty(now) && self.fault == Fault::Dark;
            let report = (!is_dark).then_some(report);
            let observed = Observed { report, at: self.at(now) };
            self.cluster.record_report(&due.listed.id, observed);
        }
    }

    fn on_event(&mut self, index: usize, now: u32) {
        let (at, next_event) = (self.at(now), self.finish(now, PASS));
        let attempt = &mut self.attempts[index];
        let number = attempt.number;
        if attempt.events == self.events {
            self.cluster.record_first_event(number, at);
        }
        if let Some(sound_until) = attempt.pace.on_events(at) {
            self.cluster.record_pace(number, sound_until);
        }
        attempt.events -= 1;
        attempt.next_event = next_event;
        if attempt.events == 0 {
            self.cluster.end_attempt(number, at);
        }
    }

    fn run(&mut self, until: u32) {
        for now in 0..until {
            if now % self.interval == 0 {
                let (number, sent) = (u64::from(now), self.at(now));
                self.cluster.grant(&Holder::Own, number, self.flight(), number, sent);
                let predicted = f64::from(self.predicted);
                self.cluster.expect_first_event(&Holder::Own, number, predicted, sent);
                self.cluster.begin_attempt(number, self.flight(), sent);
                let next_event = self.finish(now, self.predicted);
                let pace = Pace::new(&ENGINE).unwrap();
                self.attempts.push(Attempt { number, next_event, pace, events: self.events });
            }
            for index in 0..self.attempts.len() {
                if self.attempts[index].next_event == Some(now) {
                    self.on_event(index, now);
                }
            }
            self.attempts.retain(|attempt| attempt.events > 0);
            if now % TICK.as_millis() as u32 == 0 {
                self.tick(now);
            }
        }
    }

    /// Time from the fault until a report shows it.
    fn detection(&self) -> Duration {
        let mut after = self.asked.iter().filter(|(at, _)| *at >= self.fault_at);
        let first = after.next().unwrap_or_else(|| panic!("not asked: {:?}", self.asked));
        MS * (first.0 - self.fault_at)
    }
}

/// Guards against faults that the scheduler learns later than by asking every 600 ms: the bound of load pattern B, where a
/// slow engine delays most long prompts. First events are frequent, rare, or take longer than that interval.
#[test]
fn an_engine_in_use_that_turns_slow_or_dark_is_known_no_later_than_with_polling() {
    for fault in [Fault::Slow, Fault::Dark] {
        for (predicted, interval, events) in [
            (80, 130, 10),
            (80, 450, 10),
            (300, 170, 10),
            (250, 900, 10),
            (100, 1_900, 31),
            (2_000, 700, 16),
        ] {
            for is_helper in [false, true] {
                for phase in 0..37 {
                    let mut fleet = Fleet::new(fault, 3_000 + phase * 29, predicted, interval);
                    (fleet.is_helper, fleet.events) = (is_helper, events);
                    fleet.run(fleet.fault_at + 800);
                    let time = fleet.detection();
                    let what = format!("{fault:?} {predicted} {interval} {is_helper} {phase}");
                    assert!(time <= POLL_INTERVAL, "{what}: {time:?}, {:?}", fleet.asked);
                }
            }
        }
    }
}

/// Guards against an engine whose reports hide that it is slow: polling alone never finds it.
#[test]
fn an_engine_that_lies_in_its_reports_comes_into_doubt_by_its_first_events() {
    for predicted in [80, 150, 250] {
        for phase in 0..37 {
            let mut fleet = Fleet::new(Fault::Lying, 3_000 + phase * 29, predicted, 130);
            fleet.run(6_000);
            let (at, doubt) = fleet.doubted[0];
            assert_ne!(doubt, Doubt::Failure);
            assert!(MS * (at - fleet.fault_at) <= POLL_INTERVAL, "{predicted} {phase}: {at}");
            assert_eq!(fleet.doubted.len(), 1, "its reports don't end the doubt");
            let asked: Vec<u32> = fleet.asked.iter().map(|(asked, _)| *asked).collect();
            let asked = &asked[asked.iter().position(|asked| *asked >= at).unwrap()..];
            assert!(asked.windows(2).all(|pair| MS * (pair[1] - pair[0]) <= POLL_INTERVAL));
        }
    }
}

/// Guards against a fault that is known only when the next routine report is due: 2.4 s after its last report, an engine that
/// nobody used may have failed long before.
#[test]
fn an_unused_engine_that_is_used_again_is_known_to_be_faulty_within_the_poll_interval() {
    for (fault, predicted) in [(Fault::Slow, 80), (Fault::Dark, 80), (Fault::Slow, 2_000)] {
        for first_use in (7_100..9_600).step_by(100) {
            // The request at 0 shows that the engine is sound.
            let mut fleet = Fleet::new(fault, 7_000, predicted, first_use);
            fleet.run(first_use + 700);
            assert!(
                MS * (fleet.fault_at + fleet.detection().as_millis() as u32)
                    <= MS * first_use + POLL_INTERVAL,
                "{fault:?} {predicted} {first_use}: {:?}",
                fleet.asked
            );
        }
    }
}

/// Guards against polls that show nothing new: unused engines, and those whose first events are in time, are asked every
/// 2.4 s, a quarter as often as before.
#[test]
fn an_engine_that_is_unused_or_in_time_is_asked_a_quarter_as_often() {
    for interval in [u32::MAX, 500, 100] {
        let mut fleet = Fleet::new(Fault::None, 0, 80, interval);
        fleet.run(34_000);
        assert!(fleet.asked.len() <= 16, "{interval}: {:?}", fleet.asked);
        assert_eq!(fleet.doubted, []);
    }
}

/// Guards against a quiet day of load pattern B with as many report requests as before: short responses of 31 events, at each
/// engine 0.1 to 2.8 s apart. The bound is half of those of a poll every 600 ms.
#[test]
fn engines_that_are_used_now_and_then_are_asked_less_than_half_as_often() {
    let ask = |engine: u32| {
        let mut fleet = Fleet::new(Fault::None, 0, 100, 100 + engine * 40);
        fleet.events = 31;
        fleet.run(34_000);
        fleet.asked.len()
    };
    let asked: usize = (0..69).map(ask).sum();
    let polled = 69 * 34_000 / POLL_INTERVAL.as_millis() as usize;
    assert!(asked < polled / 2, "{asked} of {polled}");
}

/// Guards against a VM that panics once the pace of an engine, computed from its figures in the settings, is beyond the range of
/// a duration.
#[test]
fn the_pace_of_an_engine_with_figures_of_any_size_is_computed() {
    for step_ms in [1e9, 1e18, 3.2e20, 1.5e22, 1e23, f64::MAX, f64::INFINITY, -1.0] {
        let engine = Engine { step_ms, ..ENGINE };
        let _ = Pace::new(&engine);
        let _ = Expectation::new(step_ms, Instant::now()).map(|expected| expected.late_after());
    }
}

/// Guards against a pace that looks sound although the engine is four times slower, whether it runs one request or is full.
#[test]
fn events_are_evidence_at_the_pace_of_a_full_engine_but_not_four_times_slower() {
    let pass_ms = |decoding, memory| forecast::pass_ms(&ENGINE, decoding, memory);
    for ms in [pass_ms(1, 0), pass_ms(ENGINE.slots, ENGINE.memory.0)] {
        let pass = Duration::from_secs_f64(ms / 1e3);
        let (mut pace, first) = (Pace::new(&ENGINE).unwrap(), Instant::now());
        assert_eq!(pace.on_events(first), None, "the engine may have turned slow since");
        assert_eq!(pace.on_events(first + pass), Some(first));
        assert_eq!(pace.on_events(first + pass * (1 + SLOWDOWN)), None);
        assert_eq!(pace.on_events(first + pass * (2 + SLOWDOWN)), Some(first + pass * 5));
    }
    let steep = Engine { per_context_ms: 1.0, ..ENGINE };
    assert!(Pace::new(&steep).is_none(), "a full engine is more than four times slower");
}

/// Guards against the pace that a VM measured and the scheduler does not get: an engine that only decodes would be asked
/// every 600 ms.
#[test]
fn an_engine_that_decodes_at_its_pace_at_a_peer_is_not_asked() {
    let mut polls = Vec::new();
    for has_pace in [false, true] {
        let mut fleet = Fleet::new(Fault::None, 0, 80, u32::MAX);
        let mut peer = Fleet::new(Fault::None, 0, 80, u32::MAX);
        peer.start = fleet.start;
        peer.cluster.begin_attempt(1, peer.flight(), peer.start);
        for now in (50..5_000).step_by(50) {
            if has_pace && now % 100 == 0 {
                peer.cluster.record_pace(1, peer.at(now - 100));
            }
            let announced = peer.cluster.announced_flights(peer.at(now));
            let message = rmp_serde::to_vec(&announced).unwrap();
            // VMs without evidence by pace must receive the nine fields that they can decode.
            assert_eq!(message[1], if has_pace && now >= 100 { 0x9a } else { 0x99 });
            let announced: Vec<Announcement> = rmp_serde::from_slice(&message).unwrap();
            let vm = "vm-1".parse().unwrap();
            fleet.cluster.merge_flights(&vm, &announced, 0, fleet.at(now));
            fleet.tick(now);
        }
        polls.push(fleet.asked.len());
    }
    assert!(polls[0] >= 8 && polls[1] <= 3, "{polls:?}");
}

/// Guards against a failure after which the engine counts as sound.
#[test]
fn after_a_failure_an_engine_is_asked_at_once_and_every_600_ms_until_a_later_first_event() {
    let mut fleet = Fleet::new(Fault::None, 0, 80, 30_000);
    fleet.run(4_000);
    let before = fleet.asked.len();
    let failed = Outcome::Failed(Failure::Unresponsive);
    fleet.cluster.record_outcome(&"i-0".parse().unwrap(), failed, fleet.at(4_000));
    (4_000..=6_400).step_by(50).for_each(|now| fleet.tick(now));
    assert_eq!(fleet.asked[before], (4_000, Reason::Doubt(Doubt::Failure)));
    assert_eq!(fleet.asked.len() - before, 5, "{:?}", fleet.asked);
    fleet.cluster.grant(&Holder::Own, 1, fleet.flight(), 1, fleet.at(6_400));
    fleet.cluster.expect_first_event(&Holder::Own, 1, 80.0, fleet.at(6_400));
    fleet.cluster.record_first_event(1, fleet.at(6_480));
    fleet.cluster.end_attempt(1, fleet.at(6_480));
    let before = fleet.asked.len();
    (6_500..=8_000).step_by(50).for_each(|now| fleet.tick(now));
    assert_eq!(fleet.asked.len(), before, "{:?}", fleet.asked);
}

/// Guards against long prompts that are spread over engines of which nothing has been known for seconds.
#[test]
fn engines_of_which_the_evidence_is_old_are_asked_for_a_long_prompt() {
    let mut fleet = Fleet::new(Fault::None, 0, 80, 30_000);
    fleet.run(2_500);
    assert!(fleet.asked.last().unwrap().0 < 1_500, "{:?}", fleet.asked);
    fleet.cluster.rely_on_service("i-0", fleet.at(2_500));
    fleet.tick(2_500);
    assert_eq!(fleet.asked.last(), Some(&(2_500, Reason::LongPrompt)));
    fleet.cluster.rely_on_service("i-0", fleet.at(2_700));
    fleet.tick(2_700);
    assert_eq!(fleet.asked.last().unwrap().0, 2_500, "its report is still recent");
}

/// Guards against a restarted engine that keeps the evidence of the process before.
#[test]
fn a_restarted_engine_is_asked_at_once() {
    let mut fleet = Fleet::new(Fault::None, 0, 80, 30_000);
    let id = "i-0".parse().unwrap();
    let listed = fleet.cluster.get(&id).unwrap().listed.clone();
    fleet.cluster.list(Listed { born: Some(1), ..listed });
    fleet.run(1_000);
    assert!(fleet.cluster.observe_restart(&id, 2, fleet.at(1_000)));
    fleet.tick(1_000);
    assert_eq!(fleet.asked.last(), Some(&(1_000, Reason::Unknown)));
}
