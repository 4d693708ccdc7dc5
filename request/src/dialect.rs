//! The interface to a platform's wire format. Only the adapter that implements it handles the
//! platform's headers; the rest of foldlock uses the types of [`crate::terms`].

use http::{HeaderMap, StatusCode};

use crate::memory::Memory;
use crate::notice::Notice;
use crate::report::Reports;
use crate::terms::{Headers, Terms, Verdict};

/// The headers of requests and responses on a platform.
pub trait Dialect: Send + Sync + 'static {
    /// Memory reservations at the platform's engines.
    type Memory: Memory + Default;

    /// Access to the reports of the platform's engines.
    type Reports: Reports + Default;

    /// Decodes the parameters of a request from the caller's headers.
    fn terms(headers: &HeaderMap) -> Terms;

    /// Removes headers that an upstream must not receive, and adds those for the upstream.
    fn rewrite_headers(headers: &mut HeaderMap, additions: &Headers<'_>);

    /// What a response to `request` states about the attempt.
    fn verdict(request: &str, status: StatusCode, headers: &HeaderMap) -> Verdict;

    /// The upstream's notice about itself, independent of the verdict.
    fn notice(status: StatusCode, headers: &HeaderMap) -> Notice;

    /// The upstream that caused a failure, by id or address, if the response names one.
    fn faulty_upstream(headers: &HeaderMap) -> Option<&str>;

    /// Whether the body is as the upstream sent it, and was not altered on the way.
    fn is_unaltered(headers: &HeaderMap) -> bool;
}
