//! The `foldlock` command, with which operators manage the settings and inspect the VMs.

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
