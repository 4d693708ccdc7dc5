//! `why`, `watch` and `dump`: decisions and state of VMs.

use std::net::SocketAddr;

use bytes::Bytes;
use foldlock_connection::http::{Client, body};
use foldlock_request::decision::Record;
use foldlock_request::ring::Item;
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::app::{OneVm, Watch, Why};
use crate::client;
use crate::error::Error;
use crate::output::{Mark, Output};

/// Maximum number of decisions that are queued for output.
const MAX_QUEUED_LINES: usize = 256;

/// Shows the recorded decisions of a request.
pub async fn why(args: &Why, output: Output) -> Result<(), Error> {
    let client = Client::default();
    let path = format!("/why/{}", args.request);
    let mut failures = Vec::new();
    for vm in args.vms() {
        match client::json::<Record>(&client, *vm, &path).await {
            Ok(Some(record)) if output.json => {
                output.value(&record);
                return Ok(());
            }
            Ok(Some(record)) => {
                output.line(record.to_string().trim_end());
                return Ok(());
            }
            Ok(None) => {}
            Err(e) => failures.push(e.to_string()),
        }
    }
    let mut why = format!("none of the queried VMs has a record of {}", args.request);
    for e in failures {
        why.push_str(&format!("\n{e}"));
    }
    Err(Error::NotFound(why))
}

/// Prints decisions as VMs make them.
pub async fn watch(args: &Watch, output: Output) -> Result<(), Error> {
    let client = Client::default();
    let (sender, mut lines) = mpsc::channel(MAX_QUEUED_LINES);
    for vm in args.vms() {
        let (client, vm, sender) = (client.clone(), *vm, sender.clone());
        tokio::spawn(async move {
            if let Err(e) = read_decisions(&client, vm, &sender).await {
                let _ = sender.send(Err(e)).await;
            }
        });
    }
    drop(sender);
    let mut left = args.count.unwrap_or(u64::MAX);
    while left > 0
        && let Some(line) = lines.recv().await
    {
        let line: Item = line?;
        if args.organisation.as_ref().is_some_and(|o| *o != line.organisation) {
            continue;
        }
        left -= 1;
        if output.json {
            output.value(&line);
        } else {
            let id = output.mark(Mark::Dim, line.request.as_str());
            let at = line.decision.at_ms;
            output.line(&format!("{id} {at:>9.1} ms  {}", line.decision.decision));
        }
    }
    Ok(())
}

async fn read_decisions(
    client: &Client,
    vm: SocketAddr,
    lines: &mpsc::Sender<Result<Item, Error>>,
) -> Result<(), Error> {
    let failed = |e: &dyn std::fmt::Display| Error::Vm(format!("{vm}: {e}"));
    let request =
        Request::get(format!("http://{vm}/decisions")).body(body("")).map_err(|e| failed(&e))?;
    let mut response = client.send(request).await.map_err(|e| failed(&e))?.into_body();
    let mut buffer = Vec::new();
    while let Some(frame) = response.frame().await {
        let bytes = frame.map_err(|e| failed(&e))?.into_data().unwrap_or_else(|_| Bytes::new());
        buffer.extend_from_slice(&bytes);
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let text: Vec<u8> = buffer.drain(..=end).collect();
            let line = serde_json::from_slice(&text).map_err(|e| failed(&e))?;
            if lines.send(Ok(line)).await.is_err() {
                return Ok(());
            }
        }
    }
    Err(failed(&"the VM closed the stream"))
}

/// Shows the whole state of a VM.
pub async fn dump(args: &OneVm, output: Output) -> Result<(), Error> {
    let dump: Option<Value> = client::json(&Client::default(), args.vm, "/dump").await?;
    let dump = dump.ok_or_else(|| Error::NotFound(format!("{} has no dump", args.vm)))?;
    if output.json {
        output.value(&dump);
    } else {
        output.line(&serde_json::to_string_pretty(&dump).expect("plain data"));
    }
    Ok(())
}
