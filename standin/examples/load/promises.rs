//! The figures of docs/PROMISES.md.
#[derive(clap::Args)]
pub(crate) struct Args {}
pub(crate) async fn run(_args: Args, _program: std::path::PathBuf, _json: bool) {}
