//! The serving process of an entry VM.

pub mod answer;
pub mod app;
pub mod attempt;
pub mod claims;
pub mod complete;
pub mod config;
pub mod current;
pub mod drain;
pub mod engines;
pub mod fleet;
pub mod gate;
pub mod group;
pub mod home;
pub mod limits;
pub mod listen;
pub mod log;
pub mod members;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod plain;
pub mod process;
pub mod resume;
pub mod serve;
pub mod sink;
pub mod watch;
