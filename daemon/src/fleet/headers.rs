//! The heads of requests and answers, as far as they concern one connection.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{self, HeaderName};

/// How long a connection rests at most where the upstream does not say.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Taken off the rest that an upstream allows, for what is on the way when it closes.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
];

/// Takes out the headers of one connection, and those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::CONTENT_LENGTH && *name != header::HOST)
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// How long the connection may rest after this answer; zero if it closes.
pub fn idle_timeout(headers: &HeaderMap) -> Duration {
    let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = |value: &str| value.to_ascii_lowercase().contains("close");
    if text(header::CONNECTION).is_some_and(closes) {
        return Duration::ZERO;
    }
    let timeout = text(HeaderName::from_static("keep-alive"))
        .and_then(|value| value.split(',').find_map(|p| p.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.parse::<u64>().ok())
        .map(Duration::from_secs);
    timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout.saturating_sub(IDLE_TIMEOUT_MARGIN))
}

/// Whether the answer's end is told by more than the end of its connection.
pub fn has_body_length(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}
