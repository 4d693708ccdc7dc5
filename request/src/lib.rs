//! What lives for one request: how it is read, where it is routed, what is recorded of it, and the
//! limits, claims and cursors that it meets.

pub mod affinity;
pub mod claim;
pub mod cursor;
pub mod decision;
pub mod fair;
pub mod health;
pub mod limit;
pub mod prompt;
pub mod quota;
pub mod retry;
pub mod ring;
pub mod route;
pub mod speed;
