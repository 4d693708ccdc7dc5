//! Admission: the route, the key, the age of the settings and the body of a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
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
use hyper::body::Incoming;
use hyper::header::HOST;

use crate::fleet::job::Job;
use crate::fleet::process::Process;
use crate::fleet::suspended;
use crate::log;

/// The time that a caller has who tells none: that of the platform's longest route.
const USUAL_PATIENCE: Duration = Duration::from_secs(15);

fn refuse(kind: Kind, why: impl Into<String>) -> Error {
    Error::unsent(kind, why, Unsent::arrived())
}

/// Admits a request, or says why not; nothing of it has been sent.
pub async fn admit<D: Dialect>(
    process: &Arc<Process<D>>,
    id: &id::Request,
    terms: Terms,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<Job<D>, Error> {
    suspended::check(process);
    process.started().await;
    let checked = match check(process, &terms, &request) {
        Err(error) if error.kind() == Kind::StoreUnavailable && process.first_confirmed().await => {
            check(process, &terms, &request)
        }
        checked => checked,
    };
    let admitted = checked.inspect_err(|error| {
        if process.trouble_lines.admit(process.now()).is_some() {
            log::rejected(&process.log, id, error);
        }
    })?;
    let Admitted { route, service, organisation, version, body_bytes } = admitted;
    let patience = terms.timeout.unwrap_or(USUAL_PATIENCE).min(route.timeout);
    let deadline = arrived + patience;
    let held = process.now().saturating_duration_since(arrived);
    let due = process.moment().after(patience.saturating_sub(held));
    let (head, body) = request.into_parts();
    let body = read_body(body, body_bytes, deadline).await?;
    let entry = process.ring.begin(Subject {
        request: id.clone(),
        vm: process.member.vm.clone(),
        organisation: organisation_id(organisation.as_deref()),
        kind: None,
        target: service.name.clone(),
        prompt: terms.prompt,
        arrived_ms: process.clock.wall_millis(),
    });
    let fingerprint = fingerprint(organisation.as_deref(), &head, &body);
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
        entry,
    };
    let timeout_ms = patience.as_millis() as u64;
    let age = process.fresh.age(process.moment());
    let settings_age_ms = age.map(|age| age.as_millis() as u64);
    let prompt = job.service.engine.is_some().then_some(job.terms.prompt);
    let fingerprint = Some(fingerprint);
    job.record(Decision::Admitted { timeout_ms, version, settings_age_ms, prompt, fingerprint });
    Ok(job)
}

struct Admitted {
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
) -> Result<Admitted, Error> {
    let time = terms.timeout.unwrap_or(USUAL_PATIENCE);
    if process.closing() {
        let error = refuse(Kind::Draining, "this VM is about to end");
        return Err(error.retry_after(Cause::Stopping.retry_after(time)));
    }
    let Some(settings) = process.settings() else {
        let error = refuse(Kind::StoreUnavailable, "there are no settings yet");
        // Where keys have to be confirmed, VMs with settings refuse as well while the directory is away.
        let confirmed = process.config.fleet.settings_age().is_some();
        let cause = if confirmed { Cause::StaleSettings } else { Cause::NoSettings };
        return Err(error.retry_after(cause.retry_after(time)));
    };
    let table = &settings.table;
    let host = request.headers().get(HOST).and_then(|h| h.to_str().ok()).unwrap_or_default();
    let path = request.uri().path();
    let Some(route) = table.route(host, path) else {
        let why = format!("settings version {} has no route for {host}{path}", table.number());
        return Err(refuse(Kind::NotFound, why));
    };
    let organisation = organisation(process, table, route, terms)?;
    let service = choose(&route.targets)
        .and_then(|target| table.service(&target.service))
        .ok_or_else(|| refuse(Kind::NoUpstream, format!("route {} has no service", route.name)))?;
    Ok(Admitted {
        route: route.clone(),
        service: service.clone(),
        organisation,
        version: table.number(),
        body_bytes: table.bounds().body_bytes,
    })
}

fn organisation<D: Dialect>(
    process: &Process<D>,
    table: &Table,
    route: &Route,
    terms: &Terms,
) -> Result<Option<Arc<Organisation>>, Error> {
    if !table.keyed() || route.public {
        return Ok(None);
    }
    let found = terms.api_key.as_deref().and_then(|key| table.organisation(key));
    let Some(organisation) = found else {
        let why = format!("settings version {} does not know this key", table.number());
        return Err(refuse(Kind::Unauthorized, why));
    };
    let moment = process.moment();
    if !process.fresh.holds(moment) {
        let why = match process.fresh.age(moment) {
            Some(age) => format!(
                "the settings were last confirmed {} ms ago: keys may have changed",
                age.as_millis()
            ),
            None => "the settings have not been confirmed since this VM started".to_owned(),
        };
        let time = terms.timeout.unwrap_or(USUAL_PATIENCE);
        let after = Cause::StaleSettings.retry_after(time);
        return Err(refuse(Kind::StoreUnavailable, why).retry_after(after));
    }
    Ok(Some(organisation.clone()))
}

/// Picks a target by weight.
fn choose(targets: &[Target]) -> Option<&Target> {
    let all: u32 = targets.iter().map(|t| t.weight).sum();
    if all == 0 {
        return targets.first();
    }
    let mut at = rand::random_range(0..all);
    targets.iter().find(|target| {
        let here = at < target.weight;
        at = at.saturating_sub(target.weight);
        here
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

async fn read_body(body: Incoming, most: usize, deadline: Instant) -> Result<Bytes, Error> {
    let read = Limited::new(body, most).collect();
    match tokio::time::timeout_at(deadline.into(), read).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Err(refuse(Kind::TooLarge, format!("the body is larger than {most} bytes")))
        }
        Ok(Err(e)) => Err(refuse(Kind::BadRequest, format!("the body broke off: {e}"))),
        Err(_) => Err(refuse(Kind::RequestTimeout, "the body came too slowly")),
    }
}
