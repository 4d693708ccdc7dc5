//! What is recorded of each request: every decision, with its reasons and numbers.

use std::fmt;

use foldlock_base::error::{Kind, Ran};
use foldlock_base::event::Event;
use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_version::policy::Route;
use serde::{Deserialize, Serialize};

use crate::budget::Exhausted;
use crate::fingerprint::Fingerprint;

/// An upstream as it was seen when a request was routed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The predicted time to the first token, milliseconds.
    pub predicted_ms: f64,
    /// What the route compared; the lowest wins.
    pub score: f64,
    /// Requests outstanding, of all VMs as far as known.
    pub requests: u32,
    /// Long requests among them.
    pub long: u32,
    /// Prompt tokens ahead.
    pub queued: Tokens,
    /// Prompt tokens that are expected in its cache.
    pub cached: Tokens,
}

/// Why a request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Each engine has as much queued as it may.
    Engines,
    /// No engine has the memory.
    Memory,
    /// Others of the same model are ahead.
    Queue,
    /// The home of the engines has no place for a long prompt yet.
    Grant,
    /// All upstreams asked this VM for a rest.
    Resting,
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// The request was let in.
    Admitted {
        /// The time it has, milliseconds.
        timeout_ms: u64,
        /// The settings version that applies.
        version: u64,
        /// How long ago that version was known to be the newest, milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        settings_age_ms: Option<u64>,
        /// The prompt's tokens, where the caller tells them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        prompt: Option<Tokens>,
        /// What it has in common with others that are the same to an upstream.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        fingerprint: Option<Fingerprint>,
    },
    /// The request waited.
    Waited {
        /// Why.
        cause: Cause,
        /// For how long, milliseconds.
        waited_ms: f64,
    },
    /// An upstream was chosen.
    Routed {
        /// The upstream.
        upstream: id::Upstream,
        /// By which route.
        route: Option<Route>,
        /// The predicted time to the first token, milliseconds.
        predicted_ms: f64,
        /// The engines that read the prompt together; 1 where it stays whole.
        #[serde(default)]
        engines: u32,
        /// Milliseconds that each of them reads, 0 where nothing is known of it.
        #[serde(default)]
        part_ms: f64,
        /// The candidates, best first; a few of them.
        seen: Vec<Seen>,
        /// The VM that placed it; none where its own VM did by what it knows alone.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        by: Option<id::Vm>,
        /// Upstreams that were at their rate limits.
        #[serde(default, skip_serializing_if = "is_zero")]
        limited: u32,
        /// The time that it took to be placed, milliseconds.
        #[serde(default)]
        asked_ms: f64,
    },
    /// A waiting request was taken elsewhere before it ran.
    Moved {
        /// From here.
        from: id::Upstream,
        /// Why.
        why: String,
    },
    /// The request was not let in, or was given up before it ran.
    Refused {
        /// The answer's kind.
        kind: Kind,
        /// Why.
        why: String,
        /// When the caller was told to come back, milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The request is sent again.
    Retried {
        /// What failed.
        upstream: id::Upstream,
        /// How.
        why: String,
    },
    /// The request is not sent again after a failure.
    NotRepeated {
        /// What failed.
        upstream: id::Upstream,
        /// How.
        why: String,
        /// Why there is no other place for it.
        reason: String,
        /// The state of the fleet's retry budget, where that is the reason.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        budget: Option<Exhausted>,
    },
    /// An upstream ended while it worked on the request.
    Ended {
        /// The upstream.
        upstream: id::Upstream,
        /// How many are known by now to have ended under it, at all VMs.
        known: u32,
        /// Whether the request had the upstream to itself.
        alone: bool,
    },
    /// The request is kept from all upstreams.
    Quarantined {
        /// For how long, milliseconds.
        held_ms: u64,
        /// How often it ended an upstream that it had to itself.
        proofs: u32,
    },
    /// The request was answered: what ended under it before is forgotten.
    Cleared,
    /// The answer goes on from where it broke.
    Resumed {
        /// From this token on.
        index: u64,
        /// At this upstream.
        upstream: id::Upstream,
    },
    /// A claim was asked for.
    Claimed {
        /// Whether this request holds the key.
        won: bool,
        /// How long it took, milliseconds.
        waited_ms: f64,
    },
    /// A group of engines was held for a prompt longer than one.
    Held {
        /// The engines, in the order of the segments.
        engines: Vec<id::Upstream>,
        /// How long it took, milliseconds.
        waited_ms: f64,
    },
    /// The whole answer was given.
    Finished {
        /// The real time to the first token, from arrival, milliseconds.
        first_token_ms: f64,
        /// The real time to the first token, from when it was sent, milliseconds.
        engine_ms: f64,
        /// The tokens of the answer, or the events of a stream whose events hold several.
        tokens: u64,
        /// The longest pause between two events, milliseconds, where it was measured.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pause_ms: Option<f64>,
    },
    /// No whole answer was given.
    Failed {
        /// The answer's kind.
        kind: Kind,
        /// Whether the request ran.
        ran: Ran,
        /// Why.
        why: String,
    },
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl Decision {
    /// The log event of the decision.
    pub fn event(&self) -> Event {
        match self {
            Decision::Admitted { .. } => Event::Admitted,
            Decision::Waited { .. } => Event::Waited,
            Decision::Routed { .. } => Event::Routed,
            Decision::Moved { .. } => Event::Moved,
            Decision::Refused { .. } => Event::Refused,
            Decision::Retried { .. } => Event::Retried,
            Decision::NotRepeated { .. } => Event::NotRepeated,
            Decision::Ended { .. } => Event::EndedUnder,
            Decision::Quarantined { .. } => Event::Quarantined,
            Decision::Cleared => Event::Released,
            Decision::Resumed { .. } => Event::Resumed,
            Decision::Claimed { .. } => Event::Claimed,
            Decision::Held { .. } => Event::Held,
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
            Decision::Routed { upstream, route, predicted_ms, seen, limited, .. } => {
                write!(f, "routed to {upstream}")?;
                if *limited > 0 {
                    write!(f, ", {limited} others at their rate limits")?;
                }
                if let Some(route) = route {
                    write!(f, " by {}", name(route))?;
                    write!(f, ", first token predicted in {predicted_ms:.1} ms")?;
                }
                for s in seen {
                    write!(
                        f,
                        "\n    {}: predicted {:.1} ms, score {:.1}, {} outstanding ({} long), \
                         {} tokens queued, {} cached",
                        s.upstream, s.predicted_ms, s.score, s.requests, s.long, s.queued, s.cached
                    )?;
                }
                Ok(())
            }
            Decision::Moved { from, why } => write!(f, "moved away from {from}: {why}"),
            Decision::Refused { kind, why, retry_after_ms } => {
                write!(f, "refused ({kind}): {why}")?;
                match retry_after_ms {
                    Some(ms) => write!(f, "; told to come back in {ms} ms"),
                    None => Ok(()),
                }
            }
            Decision::Retried { upstream, why } => {
                write!(f, "sent again, since {upstream} failed: {why}")
            }
            Decision::NotRepeated { upstream, why, reason, budget } => {
                write!(f, "not sent again after {upstream} failed ({why}): {reason}")?;
                match budget {
                    Some(Exhausted { spent, slack, clients, vms }) => write!(
                        f,
                        "; {spent} of the {slack} repeats of {clients} clients, of {vms} VMs, were spent"
                    ),
                    None => Ok(()),
                }
            }
            Decision::Ended { upstream, known, alone } => {
                let beside = if *alone { "; it was alone there" } else { "" };
                write!(f, "{upstream} ended under it, {known} in all{beside}")
            }
            Decision::Quarantined { held_ms, proofs } => {
                write!(f, "kept from all upstreams for {held_ms} ms, for the {proofs}. time")
            }
            Decision::Cleared => f.write_str("no longer suspected of what ended under it"),
            Decision::Resumed { index, upstream } => {
                write!(f, "resumed from token {index} at {upstream}")
            }
            Decision::Claimed { won, waited_ms } => {
                let word = if *won { "claimed" } else { "found claimed" };
                write!(f, "{word} the idempotency key in {waited_ms:.1} ms")
            }
            Decision::Held { engines, waited_ms } => {
                let names: Vec<&str> = engines.iter().map(id::Upstream::as_str).collect();
                write!(f, "held memory at {} in {waited_ms:.1} ms", names.join(", "))
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
            Decision::Failed { kind, ran, why } => write!(f, "failed ({kind}, ran: {ran}): {why}"),
        }
    }
}

impl Cause {
    fn text(self) -> &'static str {
        match self {
            Cause::Resting => "all upstreams asked for a rest",
            Cause::Engines => "each engine has as much queued as it may",
            Cause::Memory => "no engine has the memory",
            Cause::Queue => "others are ahead",
            Cause::Grant => "no place for a long prompt yet",
        }
    }
}

/// The name of a route, as in the settings.
pub fn name(route: &Route) -> String {
    serde_json::to_value(route).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}

/// A decision with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds since the request arrived.
    pub at_ms: f64,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// Who asked for what.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Subject {
    /// The request.
    pub request: id::Request,
    /// The VM that the caller reached.
    pub vm: id::Vm,
    /// The organisation.
    pub organisation: id::Organisation,
    /// The kind of request, if it names one.
    pub kind: Option<id::Kind>,
    /// The model, or the plain service.
    pub target: String,
    /// The prompt's tokens; 0 for plain calls.
    pub prompt: Tokens,
    /// The time of day of its arrival, milliseconds since 1970.
    pub arrived_ms: u64,
}

/// The record of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Who asked for what.
    #[serde(flatten)]
    pub subject: Subject,
    /// The decisions, in order.
    pub steps: Vec<Step>,
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = &self.subject;
        write!(f, "{} at {}: {}", s.request, s.vm, s.organisation)?;
        if let Some(kind) = &s.kind {
            write!(f, "/{kind}")?;
        }
        writeln!(f, ", {}, {} prompt tokens", s.target, s.prompt)?;
        for step in &self.steps {
            writeln!(f, "  {:>9.1} ms  {}", step.at_ms, step.decision)?;
        }
        Ok(())
    }
}
