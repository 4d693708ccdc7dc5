//! `held` and `release`: requests and parts of prompts that are quarantined or isolated because upstreams crashed while
//! running them.

use foldlock_connection::http::Client;
use hyper::Method;
use serde_json::{Value, json};

use crate::app::{Release, Status};
use crate::client;
use crate::error::Error;
use crate::output::Output;

/// Shows the requests that are quarantined or isolated, as each VM reports them.
pub async fn show(args: &Status, output: Output) -> Result<(), Error> {
    let client = Client::default();
    let mut failure = None;
    for vm in args.vms() {
        let dump = match client::json::<Value>(&client, *vm, "/dump").await {
            Ok(dump) => dump.unwrap_or_default(),
            Err(e) => {
                failure = Some(e);
                continue;
            }
        };
        if output.json {
            let (suspects, held) = (&dump["suspects"], &dump["held"]);
            output.value(&json!({"address": vm, "suspects": suspects, "held": held}));
            continue;
        }
        let none = Vec::new();
        for suspect in dump["suspects"].as_array().unwrap_or(&none) {
            let held = dump["held"].as_array().unwrap_or(&none).iter();
            let listed = held.clone().find(|h| h["fingerprint"] == suspect["fingerprint"]);
            output.line(&format!("{vm:<22} {}", describe(suspect, listed)));
        }
    }
    failure.map_or(Ok(()), Err)
}

fn describe(suspect: &Value, listed: Option<&Value>) -> String {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let what = if suspect["alone"] == true {
        "is isolated".to_owned()
    } else {
        let seconds = suspect["held_ms"].as_u64().unwrap_or(0) as f64 / 1e3;
        format!("is quarantined for {seconds:.1} s")
    };
    let part = listed.and_then(|entry| entry["part"].as_str());
    let from = listed.map_or_else(String::new, |entry| {
        if let Some(part) = part {
            let (service, request) = (text(&entry["service"]), text(&entry["request"]));
            return format!("; part {part} of prompts to {service}, last during request {request}");
        }
        let (path, organisation) = (text(&entry["path"]), text(&entry["organisation"]));
        let (request, vm) = (text(&entry["request"]), text(&entry["vm"]));
        format!("; {path} of {organisation}, latest request {request} at {vm}")
    });
    let fingerprint = text(&suspect["fingerprint"]);
    format!("{fingerprint} {what}: {} upstreams crashed while running it{from}", suspect["ended"])
}

/// Releases a request from quarantine or isolation.
pub async fn release(args: &Release, output: Output) -> Result<(), Error> {
    let client = Client::default();
    let path = format!("/release/{}", args.fingerprint);
    let mut released = false;
    for vm in args.vms() {
        match client::call(&client, Method::POST, *vm, &path).await? {
            (200, _) => released = true,
            (404, _) => {}
            (status, _) => return Err(Error::Vm(format!("{vm}: unexpected status {status}"))),
        }
    }
    if !released {
        let why = format!("{} is not suspected at any of the queried VMs", args.fingerprint);
        return Err(Error::NotFound(why));
    }
    output.line(&format!("{} is released and may share upstreams again", args.fingerprint));
    Ok(())
}
