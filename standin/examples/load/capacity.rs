//! The figures of docs/CAPACITY.md.
#[derive(clap::Args)]
pub(crate) struct Args {}
pub(crate) async fn run(_args: Args, _program: std::path::PathBuf, _json: bool) {}
