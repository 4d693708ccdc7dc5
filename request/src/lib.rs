//! What lives for one request: how it is read, where it is routed, what is recorded of it, and the
//! limits, claims and cursors that it meets.

pub mod affinity;
pub mod board;
pub mod budget;
pub mod claim;
pub mod cursor;
pub mod decision;
pub mod dialect;
pub mod directory;
pub mod fair;
pub mod fingerprint;
pub mod flight;
pub mod forecast;
pub mod health;
pub mod limit;
pub mod line;
pub mod memory;
pub mod message;
pub mod notice;
pub mod placement;
pub mod pressure;
pub mod prompt;
pub mod quarantine;
pub mod quota;
pub mod rank;
pub mod report;
pub mod rest;
pub mod retry;
pub mod retry_after;
pub mod ring;
pub mod route;
pub mod scheduler;
pub mod speed;
pub mod suspicion;
pub mod tag;
pub mod terms;
