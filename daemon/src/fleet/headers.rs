//! Headers of requests and responses that apply to a single connection only (hop-by-hop).

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{self, HeaderName};

/// Idle timeout of a connection if the upstream does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Subtracted from the idle timeout that an upstream states, so that no request is in transit when
/// it closes the connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Headers that are never forwarded, whether `Connection` names them or not.
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

/// Removes the hop-by-hop headers, including those that `Connection` names.
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

/// Idle timeout of the connection after this response; zero if the upstream closes it.
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
