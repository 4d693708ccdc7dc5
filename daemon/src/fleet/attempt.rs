//! One attempt at one upstream: sent, and read as far as it tells how the attempt ends.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foldlock_base::prelude::*;
use foldlock_connection::channel::{Channel, Failure};
use foldlock_connection::http::chain;
use foldlock_connection::sse::Decoder;
use foldlock_request::dialect::Dialect;
use foldlock_request::flight::Flight;
use foldlock_request::notice::RateLimit;
use foldlock_request::placement::Placement;
use foldlock_request::suspicion::{Failure as Cause, Outcome};
use foldlock_request::tag::Tag;
use foldlock_request::terms::{self, Helper, Verdict};
use foldlock_version::routes::Delivery;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header;
use hyper::{Request, Response, StatusCode, Uri};

use crate::fleet::answer::{self, Body};
use crate::fleet::ending;
use crate::fleet::grant_requests::Grant;
use crate::fleet::heads::{declared, rest, strip};
use crate::fleet::hold::{Hold, ReservationLost};
use crate::fleet::job::Job;
use crate::fleet::metrics::Sent;
use crate::fleet::notices::{self, Exclusion};
use crate::fleet::outcome::{self, note, tell};
use crate::fleet::process::Entered;
use crate::fleet::rate_limits;
use crate::fleet::source::{Begun, Next, Source};
use crate::fleet::tries::Tries;

/// How long a new connection may take: it comes up in a few ms, and an upstream that is dark says
/// nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The largest whole answer, bytes.
const MOST_ANSWER: usize = 16 << 20;

/// The part of the objective after which a repeatable request with a whole answer is tried
/// elsewhere.
const SLOW_WHOLE: f64 = 0.6;

/// Beyond the predicted time, how long an upstream may be silent before the first event of a
/// stream that may go elsewhere, milliseconds.
const SLOW_FIRST_MS: f64 = 400.0;

/// How many times the predicted time a first event may take.
const SLOW_FIRST: f64 = 2.5;

/// The least time for a first event, in objectives of its route. Beyond one objective the answer is
/// late anyway, and a long prompt that goes elsewhere is read once more by several engines.
const SLOW_OBJECTIVES: f64 = 2.0;

/// How an attempt ended, as far as it is waited for here.
pub enum End<D: Dialect> {
    /// The whole answer.
    Whole(Response<Body>),
    /// A stream whose first event is there.
    Events(Box<Begun<D>>),
    /// No byte was sent.
    Unsent(String),
    /// The memory that the placement counted on was taken; nothing was sent.
    NoMemory(ReservationLost),
    /// The upstream said that it did not run the request.
    NotRun {
        /// What it said.
        why: String,
        /// The one that is to be avoided: the upstream itself, or the helper that it named.
        at_fault: id::Upstream,
    },
    /// The upstream's own failure to a request that may be repeated.
    Own(Box<Response<Body>>),
    /// It may have run, and there is no answer.
    Broken(String),
    /// The time is over.
    Deadline,
}

/// Sends the request to a placement.
pub async fn run<D: Dialect>(
    job: &Arc<Job<D>>,
    grant: Grant,
    last_event: Option<u64>,
    tries: &Tries,
) -> End<D> {
    let upstream = grant.placement.flight.upstream.clone();
    let entered = job.process.enter(grant.number, grant.placement.flight.clone());
    let limit = patience(job, &grant.placement, tries);
    let sent = sent(job, grant, last_event, entered);
    let until = job.deadline.min(job.process.now() + limit);
    let ended = tokio::select! {
        ended = tokio::time::timeout_at(until.into(), sent) => ended,
        () = job.process.ending.cancelled() => {
            return End::Broken("this VM ends before the answer came".to_owned());
        }
    };
    match ended {
        Ok(end) => end,
        Err(_) if job.left().is_zero() => {
            note(job, &upstream, Cause::ServerError);
            End::Deadline
        }
        Err(_) => {
            note(job, &upstream, Cause::Unresponsive);
            End::Broken(format!("silent for {} ms", limit.as_millis()))
        }
    }
}

/// How long an attempt may go without its answer or first event before the request goes elsewhere.
fn patience<D: Dialect>(job: &Job<D>, placement: &Placement, tries: &Tries) -> Duration {
    if placement.flight.has_reservations() {
        return job.process.config.fleet.held_silence();
    }
    let last = tries.ran + 1 >= job.route.max_attempts || placement.candidates < 2;
    if last || !job.repeatable() {
        return job.left();
    }
    match job.route.delivery {
        Delivery::Complete => job.route.objective.mul_f64(SLOW_WHOLE),
        Delivery::Streaming { .. } => {
            let ms = placement.predicted_ms * SLOW_FIRST + SLOW_FIRST_MS;
            Duration::from_secs_f64(ms / 1e3).max(job.route.objective.mul_f64(SLOW_OBJECTIVES))
        }
    }
}

async fn sent<D: Dialect>(
    job: &Arc<Job<D>>,
    grant: Grant,
    last_event: Option<u64>,
    entered: Entered<D>,
) -> End<D> {
    let placement = &grant.placement;
    let upstream = placement.flight.upstream.clone();
    let start = notices::start(&job.process, &upstream);
    let hold = match Hold::take(job, &grant).await {
        Ok(hold) => hold,
        Err(taken) => {
            note(job, &taken.upstream, Cause::Overloaded);
            return End::NoMemory(taken);
        }
    };
    let mut channel = match channel(job, &grant).await {
        Ok(channel) => channel,
        Err(why) => {
            note(job, &upstream, Cause::Unresponsive);
            return End::Unsent(why);
        }
    };
    if let Some((upstream, reason)) = excluded(job, placement) {
        // That came to be while memory was set aside for this request, or its connection opened.
        return End::Unsent(format!("upstream {upstream} is excluded: {reason}"));
    }
    let request = request(job, placement, &hold.helpers(&grant), last_event);
    let sent = job.process.now();
    job.process.metrics.sent(Sent::Request, 1);
    job.process.metrics.sent(Sent::Part, placement.flight.helpers.len());
    let answer = match channel.send(request).await {
        Ok(answer) => answer,
        Err(Failure::Refused(why) | Failure::Unsent(why)) => return End::Unsent(why),
        Err(Failure::Broken(why)) => {
            note(job, &upstream, Cause::Malformed);
            ending::examine(job, &placement.flight, start).await;
            return End::Broken(why);
        }
    };
    let (mut head, body) = answer.into_parts();
    let notice = D::notice(head.status, &head.headers);
    notices::heard(&job.process, &upstream, start, sent, notice);
    let rest = rest(&head.headers);
    match D::verdict(&job.terms.request_id, head.status, &head.headers) {
        Verdict::Ran if notice.rate_limit == RateLimit::Unlimited => {
            rate_limits::observe(&job.process, start, None, sent);
        }
        Verdict::Ran => {}
        verdict => return refused(job, &placement.flight, start, verdict, &head),
    }
    if head.status.is_success() && !D::is_unaltered(&head.headers) {
        note(job, &upstream, Cause::Malformed);
        return End::Broken(format!("response signature does not match upstream {upstream}"));
    }
    let promised = declared(&head.headers);
    strip(&mut head.headers);
    let source = Source {
        flight: placement.flight.clone(),
        start,
        sent,
        predicted_ms: placement.predicted_ms,
        entered,
        hold,
        channel,
        rest,
        body,
        decoder: Decoder::default(),
    };
    if head.status.is_success() && matches!(job.route.delivery, Delivery::Streaming { .. }) {
        first(job, head, source).await
    } else {
        whole(job, head, source, promised).await
    }
}

/// The first upstream of a placement that must not be sent anything.
fn excluded<'a, D: Dialect>(
    job: &Job<D>,
    placement: &'a Placement,
) -> Option<(&'a id::Upstream, Exclusion)> {
    let flight = &placement.flight;
    if !rate_limits::unknown_to_scheduler(&job.process, placement).is_empty() {
        return Some((&flight.upstream, Exclusion::RateLimited));
    }
    let helpers = flight.helpers.iter().map(|helping| &helping.upstream);
    let mut all = std::iter::once(&flight.upstream).chain(helpers);
    all.find_map(|upstream| Some((upstream, notices::exclusion(&job.process, upstream)?)))
}

fn refused<D: Dialect>(
    job: &Job<D>,
    flight: &Flight,
    start: Tag,
    verdict: Verdict,
    head: &http::response::Parts,
) -> End<D> {
    let status = head.status;
    let upstream = &flight.upstream;
    match verdict {
        Verdict::WrongInstance => {
            notices::leaves(&job.process, start, &job.process.member.vm);
            let why = "another instance has its address".to_owned();
            End::NotRun { why, at_fault: upstream.clone() }
        }
        Verdict::NotRun => {
            let culprit = D::faulty_upstream(&head.headers)
                .and_then(|name| job.process.cluster.lock().unwrap().find(name));
            let suspect = culprit.as_ref().unwrap_or(upstream);
            note(job, suspect, Cause::Overloaded);
            let why = format!("it refused with {status}; at fault is {suspect}");
            End::NotRun { why, at_fault: flight.excluded_after(suspect).clone() }
        }
        Verdict::Ran | Verdict::Mismatched => {
            note(job, upstream, Cause::Malformed);
            End::Broken(format!("its answer ({status}) belongs to another request"))
        }
    }
}

async fn channel<D: Dialect>(job: &Job<D>, grant: &Grant) -> Result<Channel, String> {
    let pool = &job.process.pool;
    let upstream = &grant.placement.flight.upstream;
    if let Some(channel) = pool.take(upstream, job.most_rest(), job.process.now()) {
        return Ok(channel);
    }
    job.process.metrics.connections.inc();
    match Channel::open(&grant.address, CONNECT_TIMEOUT).await {
        Ok(channel) => Ok(channel),
        Err(Failure::Refused(why) | Failure::Unsent(why) | Failure::Broken(why)) => Err(why),
    }
}

fn request<D: Dialect>(
    job: &Job<D>,
    placement: &Placement,
    helpers: &[Helper],
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = job.head.headers.clone();
    strip(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    D::rewrite_headers(
        &mut headers,
        &terms::Headers {
            remaining: job.left(),
            instance: placement.flight.upstream.as_str(),
            organisation: job.organisation.as_ref().map(|o| o.name.as_str()),
            last_event,
            helpers,
        },
    );
    let target = job.head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = target.parse::<Uri>().unwrap_or_default();
    *request.headers_mut() = headers;
    request
}

async fn whole<D: Dialect>(
    job: &Arc<Job<D>>,
    head: http::response::Parts,
    source: Source<D>,
    declared: bool,
) -> End<D> {
    let Source { flight, start, entered: _entered, hold: _hold, channel, rest, body, .. } = source;
    let upstream = flight.upstream.clone();
    let collected = match Limited::new(body, MOST_ANSWER).collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(e) => {
            note(job, &upstream, Cause::Malformed);
            ending::examine(job, &flight, start).await;
            return End::Broken(format!("its answer broke off: {}", chain(&*e)));
        }
    };
    let now = job.process.now();
    if declared && !rest.is_zero() {
        job.process.pool.put(&upstream, channel, rest, now);
    }
    if head.status.is_server_error() {
        note(job, &upstream, Cause::ServerError);
        if job.repeatable() && head.status != StatusCode::GATEWAY_TIMEOUT {
            return End::Own(Box::new(Response::from_parts(head, answer::whole(collected))));
        }
    } else {
        tell(job, &upstream, Outcome::Answered);
    }
    let (unread, given_up) = job.process.unread.whole(&job.id, collected);
    outcome::given_up(&job.process, given_up);
    End::Whole(Response::from_parts(head, Body::Unread(unread)))
}

async fn first<D: Dialect>(
    job: &Arc<Job<D>>,
    head: http::response::Parts,
    mut source: Source<D>,
) -> End<D> {
    match source.next().await {
        Next::Parts(first) => {
            source.entered.began();
            End::Events(Box::new(Begun { head, first, source }))
        }
        Next::End => {
            // A stream may have nothing left to tell, where the caller has its last event.
            End::Events(Box::new(Begun { head, first: Vec::new(), source }))
        }
        Next::Broken(why) => {
            note(job, &source.flight.upstream, Cause::Malformed);
            ending::examine(job, &source.flight, source.start).await;
            End::Broken(why)
        }
    }
}
