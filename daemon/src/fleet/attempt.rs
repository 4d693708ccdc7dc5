//! One attempt at one upstream: sends the request and reads the response, or its first events if it is a stream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foldlock_base::prelude::*;
use foldlock_connection::channel::{Channel, Failure};
use foldlock_connection::framing::BodyEnd;
use foldlock_connection::http::chain;
use foldlock_connection::sse::Decoder;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::flight::Flight;
use foldlock_request::notice::RateLimit;
use foldlock_request::placement::Placement;
use foldlock_request::reachability::Verdict as Reached;
use foldlock_request::suspicion::{Failure as Cause, Outcome};
use foldlock_request::tag::Tag;
use foldlock_request::terms::{self, Helper, Verdict};
use foldlock_version::routes::Delivery;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header;
use hyper::{Request, Response, StatusCode, Uri};

use crate::fleet::activity::Activity;
use crate::fleet::answer::{self, Body};
use crate::fleet::crash::{self, Interrupted};
use crate::fleet::crash_sync;
use crate::fleet::dial;
use crate::fleet::grant_requests::Grant;
use crate::fleet::headers::{idle_timeout, strip_hop_by_hop};
use crate::fleet::job::Job;
use crate::fleet::liveness::{self, Evidence, Poller};
use crate::fleet::metrics::Sent;
use crate::fleet::notices::{self, Exclusion};
use crate::fleet::outcome::{self, record_failure};
use crate::fleet::process::Guard;
use crate::fleet::rate_limits;
use crate::fleet::reservations::{self, Reservations};
use crate::fleet::stream::{Item, Started, Stream};
use crate::fleet::unsent::{Loan, Part};

/// Maximum size of a complete response, bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// How an attempt ended; for a stream, how it began.
pub enum End<D: Dialect> {
    /// The complete response was received.
    Complete(Response<Body>),
    /// The first events of a stream were received.
    Streaming(Box<Started<D>>),
    /// No byte was sent.
    Unsent(String),
    /// Engine memory for the placement could not be reserved; the request was not sent.
    ReservationFailed {
        /// The engine, and why.
        failure: reservations::Failure,
        /// Whether the placement had candidates beside the engines that it used.
        has_others: bool,
    },
    /// The upstream reported that it did not run the request.
    NotRun {
        /// The reported reason.
        why: String,
        /// The upstream to exclude: the one that responded, or the helper that it named.
        at_fault: id::Upstream,
    },
    /// The upstream responded with a server error, and the request may be retried.
    ServerError(Box<Response<Body>>),
    /// The request may have run, and there is no valid or complete response.
    Broken(String),
    /// The deadline of the request passed.
    Deadline,
    /// The body was dropped to free memory before the upstream had read it, or the response while it was collected.
    Aborted {
        /// Whether a part of the request may have been sent.
        is_sent: bool,
    },
}

impl<D: Dialect> End<D> {
    /// Whether the attempt may have run.
    pub fn may_have_run(&self) -> bool {
        match self {
            End::Unsent(_) | End::ReservationFailed { .. } | End::NotRun { .. } => false,
            End::Aborted { is_sent } => *is_sent,
            _ => true,
        }
    }
}

/// Sends the request to its placement and waits for the response or its first events, however long that takes.
pub async fn run<D: Dialect>(
    job: &Arc<Job<D>>,
    grant: Grant,
    last_event: Option<u64>,
    connection: Connection,
    activity: Activity,
) -> End<D> {
    let mut poller = Poller::new(job, &grant.placement);
    let flight = grant.placement.flight.clone();
    let attempt_guard = job.process.begin_attempt(grant.number, flight.clone());
    let incarnation = notices::incarnation(&job.process, &flight.upstream);
    let evidence = poller.as_ref().map(Poller::evidence);
    let loan = Arc::new(job.body.begin_attempt());
    let means = Means { connection, activity, loan: loan.clone() };
    let sending = send(job, grant, last_event, attempt_guard, evidence, means);
    tokio::pin!(sending);
    let began = job.process.now();
    let end = tokio::select! {
        biased;
        end = &mut sending => end,
        crashed = liveness::detect_crash(&mut poller, job) => {
            // `sending` keeps the attempt in the cluster state meanwhile.
            let attempt =
                Interrupted { flight: &flight, incarnation, sent: began, first_event: None };
            return End::Broken(outcome::record_crashed(job, crashed, attempt).await);
        }
        () = job.process.aborting.cancelled() => {
            return End::Broken("VM shut down before the response was received".to_owned());
        }
        () = loan.aborted() => return End::Aborted { is_sent: loan.is_sent() },
    };
    match end {
        End::Streaming(mut started) => {
            started.stream.poller = poller;
            End::Streaming(started)
        }
        end => end,
    }
}

/// What an attempt sends the request with.
struct Means {
    connection: Connection,
    activity: Activity,
    loan: Arc<Loan>,
}

async fn send<D: Dialect>(
    job: &Arc<Job<D>>,
    grant: Grant,
    last_event: Option<u64>,
    attempt_guard: Guard<D>,
    evidence: Option<Evidence>,
    means: Means,
) -> End<D> {
    let Means { connection, activity, loan } = means;
    let placement = &grant.placement;
    let upstream = placement.flight.upstream.clone();
    let incarnation = notices::incarnation(&job.process, &upstream);
    let reservations = match Reservations::reserve(job, &grant, evidence).await {
        Ok(reservations) => reservations,
        Err(lost) => {
            record_failure(job, &lost.upstream, Cause::Overloaded);
            let has_others = placement.candidates > placement.flight.helpers.len() + 1;
            return End::ReservationFailed { failure: lost, has_others };
        }
    };
    let mut channel = match connect(job, &grant, connection).await {
        Ok(channel) => channel,
        Err(dial::Failure { verdict, why }) => {
            if verdict != Reached::Unknown {
                record_failure(job, &upstream, Cause::Unresponsive);
            }
            return End::Unsent(why);
        }
    };
    if let Some(via) = channel.via() {
        job.record(Decision::Tunnelled { upstream: upstream.clone(), via: via.clone() });
    }
    if let Some((upstream, reason)) = excluded(job, placement) {
        // It may have been excluded while memory was reserved or the connection was opened.
        return End::Unsent(format!("upstream {upstream} is excluded: {reason}"));
    }
    if let Some((part, _)) = crash_sync::quarantined_part(job) {
        // Its quarantine began after the grant.
        return End::Unsent(format!("part {part} of the prompt is quarantined"));
    }
    if job.is_too_late_to_send() {
        // The stop has progressed since the grant.
        return End::Unsent("this VM is shutting down".to_owned());
    }
    let Some(body) = loan.send() else { return End::Aborted { is_sent: false } };
    let request = build_request(job, body, placement, &reservations.helpers(&grant), last_event);
    let sent = job.process.now();
    activity.record(sent);
    job.process.metrics.count_upstream_messages(Sent::Request, 1);
    job.process.metrics.count_upstream_messages(Sent::Part, placement.flight.helpers.len());
    let response = match channel.send(request).await {
        Ok(response) => response,
        Err(Failure::Refused(why) | Failure::Unsent(why)) => return End::Unsent(why),
        Err(Failure::Broken(why)) => {
            let flight = &placement.flight;
            let attempt = Interrupted { flight, incarnation, sent, first_event: None };
            outcome::record_broken(job, attempt).await;
            return End::Broken(why);
        }
    };
    activity.record(job.process.now());
    if channel.via().is_none() {
        dial::record_response(&job.process, &upstream);
    }
    let (mut head, body) = response.into_parts();
    let notice = D::notice(head.status, &head.headers);
    notices::apply(&job.process, &upstream, incarnation, sent, notice);
    let idle_timeout = idle_timeout(&head.headers);
    match D::verdict(&job.terms.request_id, head.status, &head.headers) {
        Verdict::Ran if notice.rate_limit == RateLimit::Unlimited => {
            rate_limits::observe(&job.process, incarnation, None, sent);
        }
        Verdict::Ran => {}
        verdict => {
            return on_unusable_response(job, &placement.flight, incarnation, verdict, &head);
        }
    }
    if head.status.is_success() && !D::is_unaltered(&head.headers) {
        record_failure(job, &upstream, Cause::Malformed);
        return End::Broken(format!("response signature does not match upstream {upstream}"));
    }
    let body_end = BodyEnd::of(&head);
    // A connection that ends with its response cannot be used again.
    let idle_timeout = if body_end.is_close() { Duration::ZERO } else { idle_timeout };
    strip_hop_by_hop(&mut head.headers);
    let stream = Stream {
        flight: placement.flight.clone(),
        incarnation,
        address: grant.address.clone(),
        sent,
        first_event: None,
        is_start_recorded: false,
        is_counted: false,
        poller: None,
        pending: Vec::new(),
        predicted_ms: placement.predicted_ms,
        activity,
        loan,
        attempt_guard,
        reservations,
        channel,
        idle_timeout,
        body_end,
        body,
        decoder: Decoder::default(),
    };
    if head.status.is_success() && matches!(job.route.delivery, Delivery::Streaming { .. }) {
        read_first_events(job, head, stream, last_event).await
    } else {
        read_complete(job, head, stream).await
    }
}

/// Returns the first upstream of a placement that must not be sent requests, with the reason.
fn excluded<'a, D: Dialect>(
    job: &Job<D>,
    placement: &'a Placement,
) -> Option<(&'a id::Upstream, Exclusion)> {
    let flight = &placement.flight;
    if !rate_limits::missing_at_scheduler(&job.process, placement).is_empty() {
        return Some((&flight.upstream, Exclusion::RateLimited));
    }
    let helpers = flight.helpers.iter().map(|helper| &helper.upstream);
    let mut all = std::iter::once(&flight.upstream).chain(helpers);
    all.find_map(|upstream| Some((upstream, notices::exclusion(&job.process, upstream)?)))
}

fn on_unusable_response<D: Dialect>(
    job: &Job<D>,
    flight: &Flight,
    incarnation: Tag,
    verdict: Verdict,
    head: &http::response::Parts,
) -> End<D> {
    let status = head.status;
    let upstream = &flight.upstream;
    match verdict {
        Verdict::WrongInstance => {
            notices::mark_leaving(&job.process, incarnation, &job.process.member.vm);
            let why = "another instance listens at its address".to_owned();
            End::NotRun { why, at_fault: upstream.clone() }
        }
        Verdict::NotRun => {
            let named = D::faulty_upstream(&head.headers)
                .and_then(|name| job.process.cluster.lock().unwrap().find(name));
            let faulty = named.as_ref().unwrap_or(upstream);
            record_failure(job, faulty, Cause::Overloaded);
            let why = format!("refused with status {status}, caused by {faulty}");
            End::NotRun { why, at_fault: flight.excluded_after(faulty).clone() }
        }
        Verdict::Ran | Verdict::Mismatched => {
            record_failure(job, upstream, Cause::Malformed);
            End::Broken(format!("response with status {status} belongs to another request"))
        }
    }
}

/// The connection that an attempt may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// An idle one, or a new one.
    Any,
    /// A new one: an idle one may have lost its path like that of the attempt before, without a reset.
    New,
}

async fn connect<D: Dialect>(
    job: &Job<D>,
    grant: &Grant,
    connection: Connection,
) -> Result<Channel, dial::Failure> {
    let (process, upstream) = (&job.process, &grant.placement.flight.upstream);
    let max_idle = job.max_connection_idle().min(dial::max_idle(process, upstream));
    let idle = match connection {
        Connection::Any => process.pool.take(upstream, max_idle, process.now()),
        Connection::New => None,
    };
    match idle {
        Some(channel) => Ok(channel),
        None => dial::connect(process, upstream, &grant.address).await,
    }
}

fn build_request<D: Dialect>(
    job: &Job<D>,
    body: Bytes,
    placement: &Placement,
    helpers: &[Helper],
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = job.head.headers.clone();
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    D::rewrite_headers(
        &mut headers,
        &terms::Headers {
            remaining: job.remaining(),
            instance: placement.flight.upstream.as_str(),
            organisation: job.organisation.as_ref().map(|o| o.name.as_str()),
            last_event,
            helpers,
        },
    );
    let target = job.head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = target.parse::<Uri>().unwrap_or_default();
    *request.headers_mut() = headers;
    request
}

async fn read_complete<D: Dialect>(
    job: &Arc<Job<D>>,
    head: http::response::Parts,
    stream: Stream<D>,
) -> End<D> {
    let Stream {
        flight,
        incarnation,
        address,
        sent,
        activity,
        loan,
        attempt_guard: _attempt_guard,
        reservations: _reservations,
        channel,
        idle_timeout,
        body_end,
        body,
        ..
    } = stream;
    let upstream = flight.upstream.clone();
    let collected = match collect(job, &channel, body, &activity).await {
        Ok(Some(collected)) => collected,
        Ok(None) => return End::Aborted { is_sent: true },
        Err(e) => {
            let attempt = Interrupted { flight: &flight, incarnation, sent, first_event: None };
            outcome::record_broken(job, attempt).await;
            return End::Broken(format!("response truncated: {}", chain(&*e)));
        }
    };
    let checked = body_end.check(collected.as_ref()).and_then(|()| channel.check_end(body_end));
    if let Err(fault) = checked {
        record_failure(job, &upstream, Cause::Malformed);
        return End::Broken(fault.to_string());
    }
    let attempt = Interrupted { flight: &flight, incarnation, sent, first_event: None };
    if body_end.is_close() && crash::has_ended(job, attempt, &address).await {
        outcome::record_broken(job, attempt).await;
        return End::Broken("the upstream ended while it sent the response".to_owned());
    }
    let now = job.process.now();
    // A connection on which the body is still being sent cannot be reused, but would hold the body.
    if !idle_timeout.is_zero() && !loan.is_unread() {
        job.process.pool.put(&upstream, channel, idle_timeout, now);
    }
    if head.status.is_server_error() {
        record_failure(job, &upstream, Cause::ServerError);
        if job.is_retryable() && head.status != StatusCode::GATEWAY_TIMEOUT {
            return End::ServerError(Box::new(Response::from_parts(
                head,
                answer::whole(collected),
            )));
        }
    } else {
        outcome::record(job, &upstream, Outcome::Answered);
    }
    let (reader, aborted) = job.process.unread.complete(&job.id, collected);
    outcome::record_aborted(&job.process, aborted);
    End::Complete(Response::from_parts(head, Body::Buffered(reader)))
}

/// Collects a response. Returns none if it was dropped to free memory.
async fn collect<D: Dialect>(
    job: &Job<D>,
    channel: &Channel,
    body: Incoming,
    activity: &Activity,
) -> Result<Option<Bytes>, Box<dyn std::error::Error + Send + Sync>> {
    let length = body.size_hint().exact().map(|length| length as usize);
    let mut receiver = job.process.unsent.receive(&job.id, Part::Response, length);
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    loop {
        let frame = tokio::select! {
            biased;
            () = receiver.dropped() => return Ok(None),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame.transpose()? else { return Ok(receiver.finish().bytes()) };
        channel.record_progress();
        activity.record(job.process.now());
        if let Some(bytes) = frame.data_ref() {
            outcome::record_dropped(&job.process, receiver.push(bytes));
        }
    }
}

async fn read_first_events<D: Dialect>(
    job: &Arc<Job<D>>,
    head: http::response::Parts,
    mut stream: Stream<D>,
    last_event: Option<u64>,
) -> End<D> {
    match stream.next_item(job).await {
        Item::Events(first) => {
            stream.first_event = Some(job.process.now());
            stream.attempt_guard.record_first_event();
            End::Streaming(Box::new(Started { head, first, stream }))
        }
        Item::End if stream.body_end.is_close() && last_event.is_none() => {
            outcome::record_broken(job, stream.interrupted()).await;
            End::Broken("the connection ended before the first event".to_owned())
        }
        Item::End => {
            // A resumed stream has no events left if the caller already has the last one.
            End::Streaming(Box::new(Started { head, first: Vec::new(), stream }))
        }
        Item::Broken(why) => {
            outcome::record_broken(job, stream.interrupted()).await;
            End::Broken(why)
        }
    }
}
