//! Configuration of the process: a file, overridden by flags.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use foldlock_base::id;
use foldlock_version::source::Source;
use serde::{Deserialize, Serialize};

use crate::app::App;
use crate::fleet::config::{self as fleet, Fleet};

/// Default time for which new requests are served after the signal to stop, in milliseconds.
const DEFAULT_DRAIN_MS: u64 = 3_000;

/// Why the configuration cannot be used.
#[derive(Debug)]
pub enum Invalid {
    /// The file cannot be read.
    File(String, std::io::Error),
    /// The file is not valid.
    Text(String, String),
    /// A required value is missing.
    Missing(&'static str),
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Invalid::File(path, e) => write!(f, "{path}: {e}"),
            Invalid::Text(path, why) => write!(f, "{path}: {why}"),
            Invalid::Missing(name) => {
                write!(f, "`{name}` is missing: set it by a flag or in the configuration file")
            }
        }
    }
}

impl std::error::Error for Invalid {}

/// The contents of the configuration file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct File {
    vm: Option<id::Vm>,
    hall: Option<id::Hall>,
    listen: Option<SocketAddr>,
    control: Option<SocketAddr>,
    kv: Option<SocketAddr>,
    vms: Option<SocketAddr>,
    drain_ms: Option<u64>,
    threads: Option<usize>,
    log_level: Option<String>,
    fleet: Option<Fleet>,
}

/// How the process gets its settings.
#[derive(Debug, Clone)]
pub enum Mode {
    /// From the settings tree in a key-value service.
    KeyValue(Config),
    /// From the directory of a fleet, of which it is a VM.
    Fleet(fleet::Config),
}

/// Configuration of a process with settings in a key-value service.
#[derive(Debug, Clone, Serialize)]
pub struct Config {
    /// Name of this VM.
    pub vm: id::Vm,
    /// Data hall of this VM.
    pub hall: id::Hall,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for peers and operators.
    pub control: SocketAddr,
    /// Address of the key-value service.
    pub kv: SocketAddr,
    /// Address of the VM list.
    pub vms: SocketAddr,
    /// How long new requests are served after the signal to stop.
    pub drain: Duration,
    /// Number of worker threads; one per core if not set.
    pub threads: Option<usize>,
    /// Lowest level that is logged.
    pub log_level: String,
}

impl Config {
    /// Reads the configuration file, if one is given. Flags override its values.
    pub fn read(app: App) -> Result<Mode, Invalid> {
        let file = app.config.as_deref().map_or(Ok(File::default()), read_file)?;
        match file.fleet.clone() {
            Some(fleet) => Ok(Mode::Fleet(Config::fleet(app, file, fleet)?)),
            None => Ok(Mode::KeyValue(Config::key_value(app, file)?)),
        }
    }

    fn fleet(app: App, file: File, fleet: Fleet) -> Result<fleet::Config, Invalid> {
        Ok(fleet::Config {
            vm: app.vm.or(file.vm).ok_or(Invalid::Missing("vm"))?,
            hall: app.hall.or(file.hall).ok_or(Invalid::Missing("hall"))?,
            listen: app.listen.or(file.listen).ok_or(Invalid::Missing("listen"))?,
            log_level: app.log_level.or(file.log_level).unwrap_or_else(|| "info".to_owned()),
            file: app.config,
            fleet,
        })
    }

    fn key_value(app: App, file: File) -> Result<Config, Invalid> {
        Ok(Config {
            vm: app.vm.or(file.vm).ok_or(Invalid::Missing("vm"))?,
            hall: app.hall.or(file.hall).ok_or(Invalid::Missing("hall"))?,
            listen: app.listen.or(file.listen).ok_or(Invalid::Missing("listen"))?,
            control: app.control.or(file.control).ok_or(Invalid::Missing("control"))?,
            kv: app.kv.or(file.kv).ok_or(Invalid::Missing("kv"))?,
            vms: app.vms.or(file.vms).ok_or(Invalid::Missing("vms"))?,
            drain: Duration::from_millis(
                app.drain_ms.or(file.drain_ms).unwrap_or(DEFAULT_DRAIN_MS),
            ),
            threads: app.threads.or(file.threads),
            log_level: app.log_level.or(file.log_level).unwrap_or_else(|| "info".to_owned()),
        })
    }
}

/// Reads the `fleet` section of a configuration file.
pub fn read_fleet(path: &Path) -> Result<Fleet, Invalid> {
    read_file(path)?.fleet.ok_or(Invalid::Missing("fleet"))
}

fn read_file(path: &Path) -> Result<File, Invalid> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| Invalid::File(name.clone(), e))?;
    let source = Source::parse(&text).map_err(|failure| {
        let location = format!("{name}:{}:{}", failure.position.line, failure.position.column);
        Invalid::Text(location, failure.reason)
    })?;
    let file: File = serde_json::from_value(source.value())
        .map_err(|e| Invalid::Text(name.clone(), e.to_string()))?;
    if let Some(fleet) = &file.fleet {
        let check = fleet.scheduling.check();
        check.map_err(|e| Invalid::Text(name, format!("fleet.scheduling.{e}")))?;
    }
    Ok(file)
}
