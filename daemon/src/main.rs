//! The `foldlockd` binary.

use std::process::ExitCode;

use clap::Parser;
use foldlock_platform::directory::Directory;
use foldlock_platform::headers::Headers;
use foldlockd::app::App;
use foldlockd::config::{Config, Mode};
use foldlockd::{drain, fleet, log, process, reload};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for a bad configuration; clap uses the same for a bad command line.
const EXIT_BAD_CONFIG: u8 = 2;

fn main() -> ExitCode {
    if let Err(e) = reload::block_signal() {
        eprintln!("foldlockd: {e}");
        return ExitCode::FAILURE;
    }
    let app = App::parse();
    let check = app.check;
    let mode = match Config::read(app) {
        Ok(mode) => mode,
        Err(e) => {
            eprintln!("foldlockd: {e}");
            return ExitCode::from(EXIT_BAD_CONFIG);
        }
    };
    if check {
        println!("{}", to_json(&mode));
        return ExitCode::SUCCESS;
    }
    let result = match mode {
        Mode::KeyValue(config) => serve_multi_threaded(config),
        Mode::Fleet(config) => serve_single_threaded(config),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("foldlockd: {e}");
            ExitCode::FAILURE
        }
    }
}

fn to_json(mode: &Mode) -> String {
    let text = match mode {
        Mode::KeyValue(config) => serde_json::to_string_pretty(config),
        Mode::Fleet(config) => serde_json::to_string_pretty(config),
    };
    text.expect("plain data")
}

fn serve_multi_threaded(config: Config) -> std::io::Result<()> {
    // This mode has no configuration to reload: the signal ends the process.
    reload::unblock_signal()?;
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    if let Some(threads) = config.threads {
        runtime.worker_threads(threads.max(1));
    }
    runtime.enable_all().build()?.block_on(serve(config))
}

/// Serves as a VM of a fleet. Such a VM has a share of one core, so a second thread would only add
/// context switches.
fn serve_single_threaded(config: fleet::config::Config) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let log = log::root(config.vm.as_str(), &config.log_level);
    log::log_panics(&log);
    let directory = Directory::new(&config.fleet.directory);
    runtime.block_on(fleet::run::<Headers, Directory>(config, directory, log))
}

async fn serve(config: Config) -> std::io::Result<()> {
    let root = log::root(config.vm.as_str(), &config.log_level);
    log::log_panics(&root);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = process::start(config, root).await?;
    println!("listen {} control {}", running.listen, running.control);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain::stop(&running.process).await;
    Ok(())
}
