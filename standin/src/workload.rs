//! Workloads.
