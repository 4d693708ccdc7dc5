//! Runs the stand-ins of the outside systems, one subcommand each.
//!
//! `cargo run --release --example standin -- all --help`

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use foldlock_connection::vms::{Listed, Listing};
use standin::{engine, engine_http, kv, plain, vms, weights};

#[derive(Parser)]
#[command(about = "Stand-ins of the systems around foldlock, for tests on loopback")]
struct App {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a model engine.
    Engine(Engine),
    /// Run a plain service.
    Plain(Address),
    /// Run the key-value service.
    Kv(Kv),
    /// Run the list of VMs.
    Vms(Vms),
    /// Run the weight store.
    Weights(Address),
    /// Run several stand-ins in one process, on consecutive ports: the key-value service, the list
    /// of VMs, the plain services, the engines.
    All(All),
}

#[derive(Args)]
struct Address {
    /// The address to listen on, IP:port.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
}

#[derive(Args)]
struct Engine {
    #[command(flatten)]
    address: Address,
    /// JSON file with the engine's settings.
    #[arg(long)]
    settings: Option<PathBuf>,
}

#[derive(Args)]
struct Kv {
    #[command(flatten)]
    address: Address,
    /// Latency of each call in milliseconds.
    #[arg(long, default_value_t = 0)]
    delay_ms: u64,
}

#[derive(Args)]
struct Vms {
    #[command(flatten)]
    address: Address,
    /// Delay after which changes of the list are visible, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    lag_ms: u64,
}

#[derive(Args)]
struct All {
    /// The address of the first stand-in; the others listen on the ports after it.
    #[arg(long, default_value = "127.0.0.1:7100")]
    first: SocketAddr,
    /// Number of engines.
    #[arg(long, default_value_t = 4)]
    engines: u16,
    /// Number of plain services.
    #[arg(long, default_value_t = 1)]
    plains: u16,
    /// Factor by which the engines run faster than their settings.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// JSON file with the engines' settings.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Latency of each call to the key-value service, in milliseconds.
    #[arg(long, default_value_t = 2)]
    kv_delay_ms: u64,
    /// Delay after which changes of the list are visible, in milliseconds.
    #[arg(long, default_value_t = 500)]
    lag_ms: u64,
    /// A VM in the list, NAME=IP:PORT@HALL; may be given several times.
    #[arg(long = "vm", value_parser = listed)]
    vms: Vec<Listed>,
    /// Age of the reports that engines serve, in milliseconds.
    #[arg(long)]
    report_lag_ms: Option<u64>,
}

/// Parses NAME=IP:PORT@HALL.
fn listed(text: &str) -> Result<Listed, String> {
    let parts = text.split_once('=').and_then(|(n, rest)| Some((n, rest.split_once('@')?)));
    let (name, (address, hall)) = parts.ok_or("expected NAME=IP:PORT@HALL")?;
    Ok(Listed {
        name: name.to_owned(),
        address: address.to_owned(),
        hall: hall.parse().map_err(|e| format!("{e}"))?,
        leaving: false,
    })
}

fn settings(path: Option<&PathBuf>) -> std::io::Result<engine::Settings> {
    match path {
        Some(path) => {
            let text = std::fs::read(path)?;
            serde_json::from_slice(&text).map_err(std::io::Error::other)
        }
        None => Ok(engine::Settings::default()),
    }
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    match App::parse().command {
        Command::Engine(e) => {
            let serving =
                engine_http::serve(e.address.address, settings(e.settings.as_ref())?).await?;
            println!("engine {}", serving.server.address);
            std::future::pending().await
        }
        Command::Plain(a) => {
            let serving = plain::serve(a.address, plain::Settings::default()).await?;
            println!("plain {}", serving.server.address);
            std::future::pending().await
        }
        Command::Kv(k) => {
            let settings = kv::Settings { delay_ms: k.delay_ms, ..kv::Settings::default() };
            let serving = kv::serve(k.address.address, settings).await?;
            println!("kv {}", serving.server.address);
            std::future::pending().await
        }
        Command::Vms(v) => {
            let lag = Duration::from_millis(v.lag_ms);
            let serving = vms::serve(v.address.address, lag).await?;
            println!("vms {}", serving.server.address);
            std::future::pending().await
        }
        Command::Weights(a) => {
            let server = weights::serve(a.address, Duration::from_secs(2), 4).await?;
            println!("weights {}", server.address);
            std::future::pending().await
        }
        Command::All(all) => serve_all(all).await,
    }
}

async fn serve_all(all: All) -> std::io::Result<()> {
    let mut port = all.first.port();
    let mut next = || {
        let address = SocketAddr::new(all.first.ip(), port);
        port += 1;
        address
    };
    let settings_of_kv = kv::Settings { delay_ms: all.kv_delay_ms, ..kv::Settings::default() };
    let kv = kv::serve(next(), settings_of_kv).await?;
    println!("kv {}", kv.server.address);
    let vms = vms::serve(next(), Duration::from_millis(all.lag_ms)).await?;
    vms.list.set(Listing { vms: all.vms, upstreams: Vec::new() });
    println!("vms {}", vms.server.address);
    let mut plains = Vec::new();
    for _ in 0..all.plains {
        let plain = plain::serve(next(), plain::Settings::default()).await?;
        println!("plain {}", plain.server.address);
        plains.push(plain);
    }
    let mut engine_settings = settings(all.settings.as_ref())?;
    engine_settings.speed *= all.speed;
    if let Some(lag) = all.report_lag_ms {
        engine_settings.report_lag_ms = lag;
    }
    let mut engines = Vec::new();
    for _ in 0..all.engines {
        let engine = engine_http::serve(next(), engine_settings.clone()).await?;
        println!("engine {}", engine.server.address);
        engines.push(engine);
    }
    println!("serving");
    std::future::pending().await
}
