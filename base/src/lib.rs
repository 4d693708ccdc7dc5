//! Types shared by all foldlock packages: identifiers, sizes, rates, the clock, the closed list of
//! error kinds, the catalogue of log events, and rendezvous hashing.

pub mod clock;
pub mod deadline;
pub mod error;
pub mod event;
pub mod hash;
pub mod id;
pub mod prefix;
pub mod prelude;
pub mod size;
