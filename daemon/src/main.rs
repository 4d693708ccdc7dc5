//! The serving process of an entry VM.

use std::process::ExitCode;

use clap::Parser;
use foldlockd::app::App;
use foldlockd::config::Config;
use foldlockd::{drain, log, process};
use tokio::signal::unix::{SignalKind, signal};

/// The exit code for a bad configuration.
const BAD_CONFIG: u8 = 2;

fn main() -> ExitCode {
    let app = App::parse();
    let check = app.check;
    let config = match Config::read(app) {
        Ok(config) => config,
        Err(e) => {
            eprintln!("foldlockd: {e}");
            return ExitCode::from(BAD_CONFIG);
        }
    };
    if check {
        println!("{}", serde_json::to_string_pretty(&config).expect("plain data"));
        return ExitCode::SUCCESS;
    }
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    if let Some(threads) = config.threads {
        runtime.worker_threads(threads.max(1));
    }
    let served = runtime.enable_all().build().and_then(|runtime| runtime.block_on(serve(config)));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("foldlockd: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(config: Config) -> std::io::Result<()> {
    let root = log::root(config.vm.as_str(), &config.log_level);
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
