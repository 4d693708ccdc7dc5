//! Stand-ins of the systems around foldlock, for tests and measurements only: a model engine, a
//! plain service, the key-value service, the list of VMs and the weight store. Each serves the
//! protocol of docs/UPSTREAMS.md on loopback, refuses requests that the real system would refuse,
//! and injects faults on request.

pub mod answer;
pub mod client;
pub mod engine;
pub mod engine_http;
pub mod fault;
pub mod fleet;
pub mod kv;
pub mod memory;
pub mod plain;
pub mod port;
pub mod proxy;
pub mod server;
pub mod stream;
pub mod vms;
pub mod weights;
pub mod workload;
