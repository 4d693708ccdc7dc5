//! `fetch` and `apply`.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use foldlock_connection::http::Client;
use foldlock_connection::kv::HttpStore;
use foldlock_version::head::Head;
use foldlock_version::publish::{Base, Outcome, Publish, read_head, read_texts};
use serde::Serialize;

use crate::app::{Apply, Fetch};
use crate::client;
use crate::error::Error;
use crate::files;
use crate::output::{Mark, Output};

/// Time-out for a change to be in force on all VMs.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a VM is polled for its version.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Downloads the accepted settings.
pub async fn fetch(args: &Fetch, output: Output) -> Result<(), Error> {
    if !files::can_fetch(&args.dir)? {
        let dir = args.dir.display();
        return Err(Error::Usage(format!("{dir} has unapplied changes or other files")));
    }
    let store = HttpStore::new(Client::default(), &args.kv.to_string());
    let (head, _) = read_head(&store).await.map_err(Error::Store)?;
    if head.version == 0 {
        return Err(Error::NotFound("there are no accepted settings yet".to_owned()));
    }
    let texts = read_texts(&store, &head, &Default::default()).await.map_err(Error::Store)?;
    files::write(&args.dir, &texts)?;
    files::write_base(&args.dir, &Base::from(&head))?;
    if output.json {
        output.value(&Base::from(&head));
    } else {
        output.line(&format!("version {}: {} branches", head.version, texts.len()));
    }
    Ok(())
}

#[derive(Serialize)]
struct Applied {
    version: u64,
    changed: bool,
    in_force_ms: Option<u64>,
}

/// Publishes a directory of settings.
pub async fn run(args: &Apply, output: Output) -> Result<(), Error> {
    let (texts, _) = files::tree(&args.dir)?;
    let base = files::base(&args.dir)?;
    let client = Client::default();
    let store = HttpStore::new(client.clone(), &args.kv.to_string());
    let publish =
        Publish { store: &store, id: change_id(&args.author), author: args.author.clone() };
    let started = Instant::now();
    let outcome = publish.run(&base, &texts).await.map_err(Error::Rejected)?;
    let (head, changed) = match outcome {
        Outcome::Accepted(head) => (head, true),
        Outcome::Unchanged(head) => (head, false),
    };
    write_accepted(args, &store, &head, &texts).await?;
    let in_force = wait_in_force(&client, &args.vms, head.version).await?;
    let in_force_ms = in_force.map(|at| (at - started).as_millis() as u64);
    let applied = Applied { version: head.version, changed, in_force_ms };
    if output.json {
        output.value(&applied);
        return Ok(());
    }
    let result = if changed { "accepted" } else { "unchanged" };
    let mut line = format!("{}: version {}", output.mark(Mark::Good, result), head.version);
    if let Some(ms) = in_force_ms {
        line.push_str(&format!(", in force on {} VMs after {ms} ms", args.vms.len()));
    }
    output.line(&line);
    Ok(())
}

/// Writes the accepted version to the directory; it may contain changes of others too.
async fn write_accepted(
    args: &Apply,
    store: &HttpStore,
    head: &Head,
    own: &foldlock_version::tree::Texts,
) -> Result<(), Error> {
    let own_texts =
        own.values().map(|t| (foldlock_version::head::Hash::of(t), t.clone())).collect();
    let texts = read_texts(store, head, &own_texts).await.map_err(Error::Store)?;
    files::write(&args.dir, &texts)?;
    files::write_base(&args.dir, &Base::from(head))
}

/// A unique id of a change.
fn change_id(author: &str) -> String {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos());
    format!("{author}-{}-{nanos:x}", std::process::id())
}

/// Waits until a version is in force on all VMs and returns when that was; `None` without VMs.
async fn wait_in_force(
    client: &Client,
    vms: &[SocketAddr],
    version: u64,
) -> Result<Option<Instant>, Error> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    for vm in vms {
        loop {
            let head: Option<Head> = client::json(client, *vm, "/version").await?;
            if head.is_some_and(|h| h.version >= version) {
                break;
            }
            if Instant::now() > deadline {
                let why =
                    format!("{vm}: version {version} is accepted but not yet in force on this VM");
                return Err(Error::Vm(why));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok((!vms.is_empty()).then(Instant::now))
}
