//! The record of a request: each decision with its time, reasons and figures.

use std::fmt;

use foldlock_base::error::{Error, Kind, Ran};
use foldlock_base::event::Event;
use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_version::policy::Route;
use serde::{Deserialize, Serialize};

use crate::budget::Exhausted;
use crate::fingerprint::Fingerprint;
use crate::liveness::Ending;
use crate::part::Part;
use crate::scheduler::order::{Basis, Reason};

/// A candidate upstream as it was when a request was routed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The predicted time to the first token, in milliseconds.
    pub predicted_ms: f64,
    /// The value that the route compares; the lowest wins.
    pub score: f64,
    /// Outstanding requests of all VMs, as far as this VM has received them.
    pub requests: u32,
    /// The number of long requests among them.
    pub long: u32,
    /// Prompt tokens queued ahead of the request.
    pub queued: Tokens,
    /// Prompt tokens that are expected to be in its cache.
    pub cached: Tokens,
}

/// Why a request is queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Each engine's queue is full.
    Engines,
    /// No engine has enough free memory.
    Memory,
    /// Other requests for the same model are ahead of it.
    Queue,
    /// The VM that coordinates the engines has no placement for a long prompt yet.
    Grant,
    /// All upstreams asked this VM for a backoff.
    #[serde(rename = "resting")]
    Backoff,
}

/// A decision on a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// The request was admitted.
    Admitted {
        /// The time until its deadline, in milliseconds.
        timeout_ms: u64,
        /// The settings version that applies to it.
        version: u64,
        /// Time since that version was confirmed as the newest, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        settings_age_ms: Option<u64>,
        /// The number of prompt tokens, if the caller states it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        prompt: Option<Tokens>,
        /// The fingerprint, equal for requests that are the same to an upstream.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        fingerprint: Option<Fingerprint>,
        /// The parts of its prompt that it shares with others.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        parts: Vec<Part>,
    },
    /// The request was queued.
    Waited {
        /// Why it was queued.
        cause: Cause,
        /// Time in the queue, in milliseconds.
        waited_ms: f64,
    },
    /// An upstream was chosen.
    Routed {
        /// The upstream.
        upstream: id::Upstream,
        /// The route by which it was chosen.
        route: Option<Route>,
        /// The predicted time to the first token, in milliseconds.
        predicted_ms: f64,
        /// The number of engines that share the prefill; 1 if the prompt is not divided.
        #[serde(default)]
        engines: u32,
        /// Prefill time of one part, in milliseconds; 0 if there is no estimate.
        #[serde(default)]
        part_ms: f64,
        /// Some of the candidates, best first.
        #[serde(rename = "seen")]
        candidates: Vec<Snapshot>,
        /// The VM that placed it; none if the request's own VM placed it from its local state
        /// alone.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        by: Option<id::Vm>,
        /// Upstreams that were at their rate limits.
        #[serde(default, skip_serializing_if = "is_zero")]
        limited: u32,
        /// Time until the request was placed, in milliseconds.
        #[serde(default, rename = "asked_ms")]
        placement_ms: f64,
        /// The number of the grant request, as in the scheduler's log lines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        grant_request: Option<u64>,
        /// Why it was granted, if the request was queued by a forecast.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        reason: Option<Reason>,
    },
    /// A queued request was moved to another upstream before it ran.
    Moved {
        /// The upstream that it was moved from.
        from: id::Upstream,
        /// Why it was moved.
        why: String,
    },
    /// The request was rejected, or given up before it ran.
    #[serde(rename = "refused")]
    Rejected {
        /// The error kind of the response.
        kind: Kind,
        /// Why it was rejected.
        why: String,
        /// The time after which the caller is asked to retry, in milliseconds.
        retry_after_ms: Option<u64>,
        /// The forecast wait that led to the rejection, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait_ms: Option<u64>,
        /// Whether the caller was promised to be served if it returns at that time; none if the
        /// rejection was not for lack of capacity by a forecast.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        promised: Option<bool>,
        /// The scheduler that rejected it by a forecast.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        by: Option<id::Vm>,
        /// The number of the grant request, as in that scheduler's log lines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        grant_request: Option<u64>,
    },
    /// The request is retried.
    Retried {
        /// The upstream that failed.
        upstream: id::Upstream,
        /// The failure.
        why: String,
        /// Time since it last sent something, or since the request was sent to it, in milliseconds; none if it was not.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        silent_ms: Option<f64>,
    },
    /// The request is not retried after a failure.
    #[serde(rename = "not_repeated")]
    NotRetried {
        /// The upstream that failed.
        upstream: id::Upstream,
        /// The failure.
        why: String,
        /// Why it is not retried.
        reason: String,
        /// The state of the fleet's retry budget, if that is the reason.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        budget: Option<Exhausted>,
    },
    /// The request is sent through a peer, as this VM cannot connect to the upstream itself.
    Tunnelled {
        /// The upstream.
        upstream: id::Upstream,
        /// The peer.
        via: id::Vm,
    },
    /// An upstream crashed while it processed the request.
    #[serde(rename = "ended")]
    Crashed {
        /// The upstream.
        upstream: id::Upstream,
        /// The number of crashes during this request so far, at all VMs.
        #[serde(rename = "known")]
        crashes: u32,
        /// Whether the request ran isolated on the upstream.
        #[serde(rename = "alone")]
        isolated: bool,
        /// Whether the response had begun: the request and its parts did not cause the crash.
        #[serde(default)]
        begun: bool,
    },
    /// The request is quarantined: no upstream gets it.
    Quarantined {
        /// The duration of the quarantine, in milliseconds.
        #[serde(rename = "held_ms")]
        quarantine_ms: u64,
        /// The number of solo crashes: crashes of upstreams on which the request ran isolated.
        #[serde(rename = "proofs")]
        solo_crashes: u32,
    },
    /// The request got a complete response, so that earlier crashes no longer count against it.
    Cleared,
    /// An interrupted response is resumed.
    Resumed {
        /// The index of the first token after the interruption.
        index: u64,
        /// The upstream that resumes it.
        upstream: id::Upstream,
    },
    /// A claim of the idempotency key was decided.
    Claimed {
        /// Whether this request holds the claim.
        won: bool,
        /// Time until the claim was decided, in milliseconds.
        waited_ms: f64,
    },
    /// Memory was reserved at a group of engines for a prompt that is divided among them.
    #[serde(rename = "held")]
    Reserved {
        /// The engines, in the order of the prompt's segments.
        engines: Vec<id::Upstream>,
        /// Time until the memory was reserved, in milliseconds.
        waited_ms: f64,
    },
    /// The main engine of a divided prompt has sent nothing, and a report was requested of it: the request gave no evidence
    /// that it is alive, or the silence timeout is over. Or an upstream has sent nothing since the request was sent, or in the
    /// middle of a stream.
    Silent {
        /// The upstream.
        upstream: id::Upstream,
        /// Time since the attempt began, or since the last event, in milliseconds.
        silent_ms: f64,
        /// Time since the upstream was last known to be alive, in milliseconds.
        evidence_age_ms: f64,
        /// The number of report requests in a row that were not answered.
        unanswered: u32,
        /// Why the attempt ends; none if it goes on.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        ending: Option<Ending>,
    },
    /// The response was delivered completely.
    Finished {
        /// Time from arrival to the first token, in milliseconds.
        first_token_ms: f64,
        /// Time from dispatch to the first token, in milliseconds.
        engine_ms: f64,
        /// The number of tokens in the response; of events, if the events of the stream contain
        /// several tokens.
        tokens: u64,
        /// The longest pause between two events, in milliseconds, if it was measured.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pause_ms: Option<f64>,
    },
    /// The response was not delivered completely.
    Failed {
        /// The error kind of the response.
        kind: Kind,
        /// Whether the request ran on an upstream.
        ran: Ran,
        /// The failure.
        why: String,
        /// Time since any upstream last sent something, or since the request was sent, in milliseconds; none if it was not.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        silent_ms: Option<f64>,
    },
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl Decision {
    /// The rejection of a request with this error.
    pub fn rejected(error: &Error) -> Decision {
        Decision::Rejected {
            kind: error.kind(),
            why: error.message().to_owned(),
            retry_after_ms: error.retry().map(|after| after.as_millis() as u64),
            wait_ms: None,
            promised: None,
            by: None,
            grant_request: None,
        }
    }

    /// The log event for the decision.
    pub fn event(&self) -> Event {
        match self {
            Decision::Admitted { .. } => Event::Admitted,
            Decision::Waited { .. } => Event::Queued,
            Decision::Routed { .. } => Event::Routed,
            Decision::Moved { .. } => Event::Moved,
            Decision::Rejected { .. } => Event::Rejected,
            Decision::Retried { .. } => Event::Retried,
            Decision::NotRetried { .. } => Event::NotRetried,
            Decision::Tunnelled { .. } => Event::Tunnelled,
            Decision::Crashed { .. } => Event::Crashed,
            Decision::Quarantined { .. } => Event::Quarantined,
            Decision::Cleared => Event::Cleared,
            Decision::Resumed { .. } => Event::Resumed,
            Decision::Claimed { .. } => Event::Claimed,
            Decision::Reserved { .. } => Event::Reserved,
            Decision::Silent { .. } => Event::EngineSilent,
            Decision::Finished { .. } => Event::Finished,
            Decision::Failed { .. } => Event::Failed,
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Decision::Admitted { timeout_ms, version, .. } => {
                write!(f, "admitted with {timeout_ms} ms, under settings version {version}")
            }
            Decision::Waited { cause, waited_ms } => {
                write!(f, "waited {waited_ms:.1} ms: {}", cause.text())
            }
            Decision::Routed {
                upstream, route, predicted_ms, candidates, limited, reason, ..
            } => {
                write!(f, "routed to {upstream}")?;
                if let Some(Reason { wait_ms, basis }) = reason {
                    let basis = basis_text(*basis);
                    write!(f, ", queued with a forecast wait of {wait_ms} ms, granted {basis}")?;
                }
                if *limited > 0 {
                    write!(f, ", {limited} others at their rate limits")?;
                }
                if let Some(route) = route {
                    write!(f, " by {}", route_name(route))?;
                    write!(f, ", first token predicted in {predicted_ms:.1} ms")?;
                }
                for c in candidates {
                    write!(
                        f,
                        "\n    {}: predicted {:.1} ms, score {:.1}, {} outstanding ({} long), \
                         {} tokens queued, {} cached",
                        c.upstream, c.predicted_ms, c.score, c.requests, c.long, c.queued, c.cached
                    )?;
                }
                Ok(())
            }
            Decision::Moved { from, why } => write!(f, "moved away from {from}: {why}"),
            // `why` states the forecast wait.
            Decision::Rejected {
                kind, why, retry_after_ms, promised, by, grant_request, ..
            } => {
                write!(f, "rejected ({kind}): {why}")?;
                if let Some(ms) = retry_after_ms {
                    write!(f, "; retry after {ms} ms")?;
                }
                match promised {
                    Some(true) => f.write_str(" (promised)")?,
                    Some(false) => f.write_str(" (not promised)")?,
                    None => {}
                }
                match (by, grant_request) {
                    (Some(by), Some(number)) => write!(f, "; by {by}, grant request {number}"),
                    _ => Ok(()),
                }
            }
            Decision::Retried { upstream, why, silent_ms } => {
                write!(f, "retried, since {upstream} failed: {why}")?;
                write_silence(f, *silent_ms)
            }
            Decision::NotRetried { upstream, why, reason, budget } => {
                write!(f, "not retried after {upstream} failed ({why}): {reason}")?;
                match budget {
                    Some(Exhausted { spent, slack, clients, vms }) => write!(
                        f,
                        "; {spent} of the {slack} retries for {clients} clients among {vms} VMs were spent"
                    ),
                    None => Ok(()),
                }
            }
            Decision::Tunnelled { upstream, via } => write!(f, "sent to {upstream} through {via}"),
            Decision::Crashed { upstream, crashes, isolated, begun } => {
                let suffix = if *isolated { "; the request ran isolated there" } else { "" };
                let phase = if *begun { "; the response had begun" } else { "" };
                write!(
                    f,
                    "{upstream} crashed while it processed the request, {crashes} crashes in all{suffix}{phase}"
                )
            }
            Decision::Quarantined { quarantine_ms, solo_crashes } => {
                write!(f, "quarantined for {quarantine_ms} ms after solo crash {solo_crashes}")
            }
            Decision::Cleared => f.write_str("no longer suspected of the crashes during it"),
            Decision::Resumed { index, upstream } => {
                write!(f, "resumed from token {index} at {upstream}")
            }
            Decision::Claimed { won, waited_ms } => {
                let word = if *won { "claimed" } else { "found claimed" };
                write!(f, "{word} the idempotency key in {waited_ms:.1} ms")
            }
            Decision::Reserved { engines, waited_ms } => {
                let names: Vec<&str> = engines.iter().map(id::Upstream::as_str).collect();
                write!(f, "held memory at {} in {waited_ms:.1} ms", names.join(", "))
            }
            Decision::Silent { upstream, silent_ms, evidence_age_ms, unanswered, ending } => {
                write!(
                    f,
                    "{upstream} sent nothing for {silent_ms:.0} ms, known to be alive \
                     {evidence_age_ms:.0} ms ago, {unanswered} report requests unanswered"
                )?;
                match ending {
                    Some(ending) => write!(f, "; ended: it {ending}"),
                    None => f.write_str("; waiting on"),
                }
            }
            Decision::Finished { first_token_ms, engine_ms, tokens, pause_ms } => {
                write!(
                    f,
                    "finished: {tokens} tokens, first token after {first_token_ms:.1} ms \
                     ({engine_ms:.1} ms at the upstream)"
                )?;
                match pause_ms {
                    Some(ms) => write!(f, ", longest pause {ms:.1} ms"),
                    None => Ok(()),
                }
            }
            Decision::Failed { kind, ran, why, silent_ms } => {
                write!(f, "failed ({kind}, ran: {ran}): {why}")?;
                write_silence(f, *silent_ms)
            }
        }
    }
}

fn write_silence(f: &mut fmt::Formatter<'_>, silent_ms: Option<f64>) -> fmt::Result {
    match silent_ms {
        Some(ms) => write!(f, "; nothing received for {ms:.0} ms"),
        None => Ok(()),
    }
}

impl Cause {
    fn text(self) -> &'static str {
        match self {
            Cause::Backoff => "all upstreams asked for a rest",
            Cause::Engines => "each engine's queue is full",
            Cause::Memory => "no engine has enough free memory",
            Cause::Queue => "other requests are ahead",
            Cause::Grant => "no placement for a long prompt yet",
        }
    }
}

fn basis_text(basis: Basis) -> &'static str {
    match basis {
        Basis::Returned => "at the promised time",
        Basis::Aged => "by its age among late requests",
        Basis::Turn => "in its turn",
    }
}

/// The name of a route as in the settings.
pub fn route_name(route: &Route) -> String {
    serde_json::to_value(route).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}

/// A decision with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Time since the request arrived, in milliseconds.
    pub at_ms: f64,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// What was requested, and by whom.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Subject {
    /// The request.
    pub request: id::Request,
    /// The VM that received the request from the caller.
    pub vm: id::Vm,
    /// The organisation.
    pub organisation: id::Organisation,
    /// The kind of request, if it states one.
    pub kind: Option<id::Kind>,
    /// The model, or the name of a service without engines.
    pub target: String,
    /// The number of prompt tokens; 0 for services without engines.
    pub prompt: Tokens,
    /// The time of arrival, in milliseconds since the Unix epoch.
    pub arrived_ms: u64,
}

/// The record of a request: its subject and all decisions on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// What was requested, and by whom.
    #[serde(flatten)]
    pub subject: Subject,
    /// The decisions, in chronological order.
    #[serde(rename = "steps")]
    pub decisions: Vec<Entry>,
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = &self.subject;
        write!(f, "{} at {}: {}", s.request, s.vm, s.organisation)?;
        if let Some(kind) = &s.kind {
            write!(f, "/{kind}")?;
        }
        writeln!(f, ", {}, {} prompt tokens", s.target, s.prompt)?;
        for timed in &self.decisions {
            writeln!(f, "  {:>9.1} ms  {}", timed.at_ms, timed.decision)?;
        }
        Ok(())
    }
}
