//! The load tool: open-loop, seeded, with output in Markdown tables or JSON.
//!
//! `cargo run --release --example load -- --help`

mod ask;
mod capacity;
mod oracle;
mod overhead;
mod policies;
mod promises;
mod run;
mod table;

use std::path::PathBuf;

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(about = "Sends load through foldlockd processes on loopback and measures the results")]
struct App {
    /// Path of the `foldlockd` executable; by default the one built with this tool.
    #[arg(long, global = true)]
    program: Option<PathBuf>,
    /// Print JSON instead of Markdown tables.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Send one request and print the response.
    Ask(ask::Args),
    /// Measure foldlock's overhead: added latency without load, tokens per second and memory per
    /// stream.
    Overhead(overhead::Args),
    /// Compare routing policies under a workload.
    Policies(policies::Args),
    /// Measure the figures of docs/PROMISES.md.
    Promises(promises::Args),
    /// Measure how the cost of the control plane grows with VMs, engines and organisations.
    Capacity(capacity::Args),
}

/// Path of `foldlockd`: cargo puts examples one directory below the binaries.
fn program(named: Option<PathBuf>) -> PathBuf {
    named.unwrap_or_else(|| {
        let own = std::env::current_exe().expect("the path of this executable");
        let dir = own.parent().and_then(|d| d.parent()).expect("a build directory");
        dir.join("foldlockd")
    })
}

#[tokio::main]
async fn main() {
    let app = App::parse();
    let program = program(app.program);
    match app.command {
        Command::Ask(args) => ask::run(args).await,
        Command::Overhead(args) => overhead::run(args, program, app.json).await,
        Command::Policies(args) => policies::run(args, program, app.json).await,
        Command::Promises(args) => promises::run(args, program, app.json).await,
        Command::Capacity(args) => capacity::run(args, program, app.json).await,
    }
}
