//! Admission of a request: matches its route, checks its API key against settings that were
//! confirmed recently enough, and reads its body.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::error::Unsent;
use foldlock_base::prelude::*;
use foldlock_request::decision::{Decision, Subject};
use foldlock_request::dialect::Dialect;
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::retry_after::Cause;
use foldlock_request::terms::Terms;
use foldlock_version::routes::{Organisation, Route, Service, Table, Target};
use http::request::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::Request;
use hyper::body::{Body as _, Incoming};
use hyper::header::HOST;

use crate::fleet::activity;
use crate::fleet::job::Job;
use crate::fleet::outcome;
use crate::fleet::process::Process;
use crate::fleet::suspended;
use crate::fleet::unsent::{Body, OUT_OF_MEMORY, Part};
use crate::log;

/// Timeout of requests whose caller states none: that of the platform's longest route.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

fn reject(kind: Kind, why: impl Into<String>) -> Error {
    Error::unsent(kind, why, Unsent::arrived())
}

/// Admits a request, or returns the error that rejects it before anything was sent to an upstream.
pub async fn admit<D: Dialect>(
    process: &Arc<Process<D>>,
    id: &id::Request,
    terms: Terms,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<Job<D>, Error> {
    suspended::check(process);
    process.wait_for_settings().await;
    let checked = match check(process, &terms, &request) {
        Err(error)
            if error.kind() == Kind::StoreUnavailable && process.wait_for_confirmation().await =>
        {
            check(process, &terms, &request)
        }
        checked => checked,
    };
    let admission = checked.inspect_err(|error| {
        if process.problem_lines.admit(process.now()).is_some() {
            log::rejected(&process.log, id, error);
        }
    })?;
    let Admission { route, service, organisation, version, body_bytes } = admission;
    let timeout = terms.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let deadline = arrived + timeout;
    let elapsed = process.now().saturating_duration_since(arrived);
    let due = process.moment().after(timeout.saturating_sub(elapsed));
    let (head, body) = request.into_parts();
    let body = read_body(process, id, body, body_bytes, deadline).await?;
    // The caller may have sent it slowly.
    check_accepting(process, timeout)?;
    let fingerprint = match body.bytes() {
        Some(bytes) => fingerprint(organisation.as_deref(), &head, &bytes),
        None => return Err(out_of_memory(process, deadline)),
    };
    let entry = process.ring.begin(Subject {
        request: id.clone(),
        vm: process.member.vm.clone(),
        organisation: organisation_id(organisation.as_deref()),
        kind: None,
        target: service.name.clone(),
        prompt: terms.prompt,
        arrived_ms: process.clock.wall_millis(),
    });
    let job = Job {
        process: process.clone(),
        id: id.clone(),
        fingerprint,
        terms,
        route,
        service,
        organisation,
        version,
        head,
        body,
        arrived,
        deadline,
        due,
        activity: activity::Log::default(),
        entry,
    };
    let timeout_ms = timeout.as_millis() as u64;
    let age = process.freshness.age(process.moment());
    let settings_age_ms = age.map(|age| age.as_millis() as u64);
    let prompt = job.service.engine.is_some().then_some(job.terms.prompt);
    let fingerprint = Some(fingerprint);
    let parts = job.terms.parts.clone();
    job.record(Decision::Admitted {
        timeout_ms,
        version,
        settings_age_ms,
        prompt,
        fingerprint,
        parts,
    });
    Ok(job)
}

/// Rejects a request that would be cut when this VM stops.
fn check_accepting<D: Dialect>(process: &Process<D>, timeout: Duration) -> Result<(), Error> {
    if !process.rejects_new_requests() {
        return Ok(());
    }
    let error = reject(Kind::Draining, "this VM is shutting down");
    Err(error.retry_after(Cause::Stopping.retry_after(timeout)))
}

/// Result of the checks that need no body.
struct Admission {
    route: Arc<Route>,
    service: Arc<Service>,
    organisation: Option<Arc<Organisation>>,
    version: u64,
    body_bytes: usize,
}

fn check<D: Dialect>(
    process: &Process<D>,
    terms: &Terms,
    request: &Request<Incoming>,
) -> Result<Admission, Error> {
    let timeout = terms.timeout.unwrap_or(DEFAULT_TIMEOUT);
    check_accepting(process, timeout)?;
    let Some(settings) = process.settings() else {
        let error = reject(Kind::StoreUnavailable, "there are no settings yet");
        // If settings have to be confirmed regularly, other VMs reject requests with keys as well
        // while the directory is unavailable.
        let needs_confirmation = process.config.fleet.max_settings_age().is_some();
        let cause = if needs_confirmation { Cause::StaleSettings } else { Cause::NoSettings };
        return Err(error.retry_after(cause.retry_after(timeout)));
    };
    let table = &settings.table;
    let host = request.headers().get(HOST).and_then(|h| h.to_str().ok()).unwrap_or_default();
    let path = request.uri().path();
    let Some(route) = table.route(host, path) else {
        let why = format!("settings version {} has no route for {host}{path}", table.number());
        return Err(reject(Kind::NotFound, why));
    };
    let organisation = organisation(process, table, route, terms)?;
    let service = choose_target(&route.targets)
        .and_then(|target| table.service(&target.service))
        .ok_or_else(|| {
        reject(Kind::NoUpstream, format!("route {} has no service", route.name))
    })?;
    Ok(Admission {
        route: route.clone(),
        service: service.clone(),
        organisation,
        version: table.number(),
        body_bytes: table.bounds().max_body_bytes,
    })
}

fn organisation<D: Dialect>(
    process: &Process<D>,
    table: &Table,
    route: &Route,
    terms: &Terms,
) -> Result<Option<Arc<Organisation>>, Error> {
    if !table.requires_key() || route.public {
        return Ok(None);
    }
    let organisation = terms.api_key.as_deref().and_then(|key| table.organisation(key));
    let Some(organisation) = organisation else {
        let why = format!("settings version {} has no such API key", table.number());
        return Err(reject(Kind::Unauthorized, why));
    };
    let moment = process.moment();
    if !process.freshness.is_fresh(moment) {
        let why = match process.freshness.age(moment) {
            Some(age) => format!(
                "the settings were last confirmed {} ms ago: keys may have changed",
                age.as_millis()
            ),
            None => "the settings have not been confirmed since this VM started".to_owned(),
        };
        let timeout = terms.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let after = Cause::StaleSettings.retry_after(timeout);
        return Err(reject(Kind::StoreUnavailable, why).retry_after(after));
    }
    Ok(Some(organisation.clone()))
}

/// Picks a random target, in proportion to the weights.
fn choose_target(targets: &[Target]) -> Option<&Target> {
    let total: u32 = targets.iter().map(|t| t.weight).sum();
    if total == 0 {
        return targets.first();
    }
    let mut offset = rand::random_range(0..total);
    targets.iter().find(|target| {
        let is_chosen = offset < target.weight;
        offset = offset.saturating_sub(target.weight);
        is_chosen
    })
}

fn organisation_id(organisation: Option<&Organisation>) -> id::Organisation {
    organisation
        .and_then(|o| o.name.parse().ok())
        .unwrap_or_else(|| "public".parse().expect("made of allowed characters"))
}

fn fingerprint(organisation: Option<&Organisation>, head: &Parts, body: &[u8]) -> Fingerprint {
    let organisation = organisation.map_or("", |o| o.name.as_str());
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    Fingerprint::of(organisation, head.method.as_str(), target, body)
}

async fn read_body<D: Dialect>(
    process: &Process<D>,
    id: &id::Request,
    body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Body, Error> {
    let length = body.size_hint().exact().map(|length| length as usize);
    let mut receiver = process.unsent.receive(id, Part::Request, length);
    let mut body = Limited::new(body, max_bytes);
    loop {
        let frame = tokio::select! {
            biased;
            () = receiver.dropped() => return Err(out_of_memory(process, deadline)),
            frame = tokio::time::timeout_at(deadline.into(), body.frame()) => frame,
        };
        match frame {
            Ok(None) => return Ok(receiver.finish()),
            Ok(Some(Ok(frame))) => {
                if let Some(bytes) = frame.data_ref() {
                    outcome::record_dropped(process, receiver.push(bytes));
                }
            }
            Ok(Some(Err(e))) if e.is::<LengthLimitError>() => {
                let why = format!("the body is larger than {max_bytes} bytes");
                return Err(reject(Kind::TooLarge, why));
            }
            Ok(Some(Err(e))) => {
                return Err(reject(Kind::BadRequest, format!("the body could not be read: {e}")));
            }
            Err(_) => {
                let why = "the body was not complete before the deadline";
                return Err(reject(Kind::RequestTimeout, why));
            }
        }
    }
}

/// The error of a request whose body was dropped to free memory before it was admitted.
fn out_of_memory<D: Dialect>(process: &Process<D>, deadline: Instant) -> Error {
    let after = Cause::Memory.retry_after(deadline.saturating_duration_since(process.now()));
    reject(Kind::Overloaded, OUT_OF_MEMORY).retry_after(after)
}
