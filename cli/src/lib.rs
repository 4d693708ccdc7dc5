//! The operators' command: checking and applying settings, and reading what VMs show.

pub mod app;
pub mod apply;
pub mod check;
pub mod client;
pub mod error;
pub mod files;
pub mod held;
pub mod output;
pub mod show;
pub mod status;
pub mod vm;
