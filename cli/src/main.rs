//! The `foldlock` command.

use std::process::ExitCode;

use clap::{CommandFactory, Parser};
use foldlock::app::{App, Command};
use foldlock::error::Error;
use foldlock::output::Output;
use foldlock::{apply, check, held, show, status, vm};

#[tokio::main]
async fn main() -> ExitCode {
    let app = App::parse();
    let output = Output::new(app.json, app.color);
    match run(app.command, output).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            e.code()
        }
    }
}

async fn run(command: Command, output: Output) -> Result<(), Error> {
    match command {
        Command::Check(args) => check::run(&args, output),
        Command::Fetch(args) => apply::fetch(&args, output).await,
        Command::Apply(args) => apply::run(&args, output).await,
        Command::Show(args) => show::run(&args, output),
        Command::Why(args) => vm::why(&args, output).await,
        Command::Watch(args) => vm::watch(&args, output).await,
        Command::Status(args) => status::status(&args, output).await,
        Command::Held(args) => held::show(&args, output).await,
        Command::Release(args) => held::release(&args, output).await,
        Command::Dump(args) => vm::dump(&args, output).await,
        Command::HashKey => hash_key(output),
        Command::Schema(args) => check::schema(&args, output),
        Command::Completions(args) => {
            let mut command = App::command();
            clap_complete::generate(args.shell, &mut command, "foldlock", &mut std::io::stdout());
            Ok(())
        }
    }
}

fn hash_key(output: Output) -> Result<(), Error> {
    let mut key = String::new();
    let read = std::io::stdin().read_line(&mut key);
    read.map_err(|e| Error::File("standard input".to_owned(), e))?;
    let key = key.trim();
    if key.is_empty() {
        return Err(Error::Usage("the key is empty".to_owned()));
    }
    output.line(&foldlock_version::tree::hash_of_key(key));
    Ok(())
}
