//! `held` and `release`: requests under which upstreams ended.

use foldlock_connection::http::Client;
use hyper::Method;
use serde_json::{Value, json};

use crate::app::{Release, Status};
use crate::client;
use crate::error::Error;
use crate::output::Output;

/// Shows the requests that are held or run alone, by what each VM knows.
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
        "runs alone".to_owned()
    } else {
        let seconds = suspect["held_ms"].as_u64().unwrap_or(0) as f64 / 1e3;
        format!("is held for {seconds:.1} s")
    };
    let from = listed.map_or_else(String::new, |entry| {
        let (path, organisation) = (text(&entry["path"]), text(&entry["organisation"]));
        let (request, vm) = (text(&entry["request"]), text(&entry["vm"]));
        format!("; {path} of {organisation}, last as {request} at {vm}")
    });
    let fingerprint = text(&suspect["fingerprint"]);
    format!("{fingerprint} {what}: {} upstreams ended under it{from}", suspect["ended"])
}

/// Lets a request go.
pub async fn release(args: &Release, output: Output) -> Result<(), Error> {
    let client = Client::default();
    let path = format!("/release/{}", args.fingerprint);
    let mut released = false;
    for vm in args.vms() {
        match client::call(&client, Method::POST, *vm, &path).await? {
            (200, _) => released = true,
            (404, _) => {}
            (status, _) => return Err(Error::Vm(format!("{vm}: status {status}"))),
        }
    }
    if !released {
        let why = format!("no VM that was asked holds anything against {}", args.fingerprint);
        return Err(Error::NotFound(why));
    }
    output.line(&format!("{} may run beside others again", args.fingerprint));
    Ok(())
}
