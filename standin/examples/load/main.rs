//! The load tool: open-loop, seeded, with tables for people and JSON for scripts.
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
#[command(about = "Sends load through foldlockd processes on loopback and measures")]
struct App {
    /// The `foldlockd` program; by default the one built beside this tool.
    #[arg(long, global = true)]
    program: Option<PathBuf>,
    /// Write JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Send one request and print what comes back.
    Ask(ask::Args),
    /// Measure what foldlock adds to an unloaded request, tokens a second and memory a stream.
    Overhead(overhead::Args),
    /// Compare routing policies under a workload.
    Policies(policies::Args),
    /// Measure the promises' figures.
    Promises(promises::Args),
    /// Measure the slopes of the control plane.
    Capacity(capacity::Args),
}

/// The program beside this tool: examples lie one directory below binaries.
fn program(named: Option<PathBuf>) -> PathBuf {
    named.unwrap_or_else(|| {
        let own = std::env::current_exe().expect("a program knows itself");
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
