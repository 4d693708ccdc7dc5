//! Errors of the command, each with its exit code.

use std::fmt;
use std::process::ExitCode;

use foldlock_version::check::Fault;
use foldlock_version::publish::Rejection;
use foldlock_version::store::Failure;

/// Why a command failed.
#[derive(Debug)]
pub enum Error {
    /// A file or directory could not be read or written.
    File(String, std::io::Error),
    /// The arguments are invalid.
    Usage(String),
    /// The settings are invalid.
    Faults(Vec<Fault>),
    /// The change was not accepted.
    Rejected(Rejection),
    /// The key-value service failed.
    Store(Failure),
    /// A VM does not respond, or its response is unexpected.
    Vm(String),
    /// The requested item does not exist.
    NotFound(String),
}

impl Error {
    /// The exit code.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Error::File(..) | Error::Store(_) | Error::Vm(_) => 1,
            Error::Usage(_) => 2,
            Error::Faults(_) | Error::Rejected(Rejection::Invalid(_)) => 3,
            Error::Rejected(Rejection::Conflict(_)) => 4,
            Error::Rejected(_) => 1,
            Error::NotFound(_) => 5,
        })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::File(path, e) => write!(f, "{path}: {e}"),
            Error::Usage(why) | Error::Vm(why) | Error::NotFound(why) => f.write_str(why),
            Error::Faults(faults) => {
                for fault in faults {
                    writeln!(f, "{fault}")?;
                }
                write!(f, "{} fault(s)", faults.len())
            }
            Error::Rejected(rejection) => write!(f, "{rejection}"),
            Error::Store(failure) => write!(f, "{failure}"),
        }
    }
}

impl std::error::Error for Error {}
