//! What upstreams say of themselves in their answers, taken into what this VM believes.

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::notice::Notice;

use crate::fleet::process::Process;
use crate::log;

/// An upstream said this of itself in an answer to this VM.
pub fn heard<D: Dialect>(process: &Process<D>, upstream: &id::Upstream, notice: Notice) {
    if notice.is_empty() {
        return;
    }
    process.metrics.notices.inc();
    if process.trouble_lines.admit(process.now()).is_some() {
        log::event(&process.log, Event::UpstreamSaid, format!("{upstream} {notice}"));
    }
}
