//! Bounds of requests in a sliding window.

use std::time::{Duration, Instant};

use foldlock_base::size::Rate;
use foldlock_request::sliding_window::{Bound, SlidingWindow};

/// Guards against a sum beyond its type, which would allow almost nothing, or end the VM.
#[test]
fn a_rate_limit_of_any_size_allows_at_least_what_a_lower_one_does() {
    let now = Instant::now();
    let allowed = |per_s: f64| {
        let bounds = Bound::rate_limit(Rate::per_second(per_s).expect("a valid rate"));
        SlidingWindow::default().allowed_by_both(bounds, Duration::from_secs(10), now)
    };
    let rates = [1e-300, 0.1, 5.0, 1e3, 1e9, 1e18, 1e19, 1e20, 1e300, f64::MAX];
    for pair in rates.windows(2) {
        assert!(allowed(pair[0]) <= allowed(pair[1]), "{pair:?}");
    }
}
