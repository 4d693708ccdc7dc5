//! How requests are written on the wire of one platform. The rest of foldlock knows only the types
//! of [`crate::terms`]; an adapter implements this.

use http::{HeaderMap, StatusCode};

use crate::memory::Memory;
use crate::notice::Notice;
use crate::report::Reports;
use crate::terms::{Handover, Terms, Verdict};

/// The words of a platform in the heads of requests and answers.
pub trait Dialect: Send + Sync + 'static {
    /// The engines' memory, as it is set aside on this platform.
    type Memory: Memory + Default;

    /// The engines' reports, as they are asked for on this platform.
    type Reports: Reports + Default;

    /// Decodes what a caller asks for.
    fn terms(headers: &HeaderMap) -> Terms;

    /// Takes out what an upstream is not to see, and adds what it is told.
    fn hand_over(headers: &mut HeaderMap, handover: &Handover<'_>);

    /// What an answer to `request` says.
    fn verdict(request: &str, status: StatusCode, headers: &HeaderMap) -> Verdict;

    /// What the upstream says of itself by an answer, whatever else the answer says.
    fn notice(status: StatusCode, headers: &HeaderMap) -> Notice;

    /// The upstream that is at fault, by id or address, where an answer names one.
    fn culprit(headers: &HeaderMap) -> Option<&str>;

    /// The body of an answer that the upstream calls its own, as against one that was altered on
    /// the way.
    fn genuine(headers: &HeaderMap) -> bool;
}
