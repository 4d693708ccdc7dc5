//! Stand-ins for the scripts of the second review, and the scripts' scenarios.
//!
//! `trial CASE RECORD` plays a case from the root of the repository. It exits with 1 if the rule was broken, with 0 if it
//! held, and with 2 if the case could not run.

mod cases;
mod http;
mod json;
mod server;
mod store;
mod world;

use std::panic::catch_unwind;
use std::process::{ExitCode, exit};
use std::thread;
use std::time::Duration;

/// The longest time that a case takes.
const LONGEST: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["server", id, address, born, ..] => {
            let (Ok(address), Ok(born)) = (address.parse(), born.parse()) else {
                return ExitCode::from(2);
            };
            match server::run(id, address, born, server::Options::parse(&arguments[4..])) {
                Ok(()) => ExitCode::SUCCESS,
                Err(_) => ExitCode::from(2),
            }
        }
        [case, record] => {
            thread::spawn(|| {
                thread::sleep(LONGEST);
                eprintln!("the case takes too long");
                world::end_all();
                exit(2);
            });
            let played = catch_unwind(|| cases::run(case, record));
            world::end_all();
            match played {
                Ok(Ok(true)) => ExitCode::SUCCESS,
                Ok(Ok(false)) => ExitCode::from(1),
                Ok(Err(why)) => {
                    eprintln!("the case could not run: {why}");
                    ExitCode::from(2)
                }
                Err(_) => ExitCode::from(2),
            }
        }
        _ => {
            eprintln!("usage: trial CASE RECORD");
            ExitCode::from(2)
        }
    }
}
