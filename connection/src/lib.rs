//! Outgoing connections of a VM: to engines and plain services, to the platform, and to other VMs.

pub mod channel;
pub mod engine;
pub mod events;
pub mod framing;
pub mod http;
pub mod keepalive;
pub mod kv;
pub mod lenient;
pub mod peer;
pub mod progress_limit;
pub mod sse;
pub mod tunnel;
pub mod vms;
pub mod wire;
