//! Sizes and rates.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A number of model tokens in a prompt, a response or an engine's memory.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// The number of tokens in `bytes` bytes of text at `per_token` bytes per token, rounded up.
    pub fn of_bytes(bytes: usize, per_token: u32) -> Tokens {
        Tokens((bytes as u64).div_ceil(u64::from(per_token.max(1))))
    }

    /// The difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_sub(other.0))
    }
}

impl Add for Tokens {
    type Output = Tokens;
    fn add(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_add(other.0))
    }
}

impl Sub for Tokens {
    type Output = Tokens;
    fn sub(self, other: Tokens) -> Tokens {
        self.saturating_sub(other)
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Tokens>>(iter: I) -> Tokens {
        iter.fold(Tokens(0), Add::add)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Tokens {
    type Err = std::num::ParseIntError;
    /// Parses a number with an optional suffix `k` (thousand) or `M` (million).
    fn from_str(text: &str) -> Result<Tokens, Self::Err> {
        let (digits, unit) = match text.as_bytes().last() {
            Some(b'k') => (&text[..text.len() - 1], 1_000),
            Some(b'M') => (&text[..text.len() - 1], 1_000_000),
            _ => (text, 1),
        };
        digits.parse::<u64>().map(|count| Tokens(count.saturating_mul(unit)))
    }
}

/// A rate in requests per second, finite and not negative.
#[derive(Debug, Default, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(f64);

impl Rate {
    /// A rate of `requests` per second, or `None` if that is negative or not finite.
    pub fn per_second(requests: f64) -> Option<Rate> {
        (requests.is_finite() && requests >= 0.0).then_some(Rate(requests))
    }

    /// The rate in requests per second.
    pub fn as_f64(self) -> f64 {
        self.0
    }

    /// The number of requests in a period at this rate.
    pub fn over(self, time: Duration) -> f64 {
        self.0 * time.as_secs_f64()
    }

    /// The smaller of two rates.
    pub fn min(self, other: Rate) -> Rate {
        Rate(self.0.min(other.0))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// A text that is not a valid rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateFault;

impl fmt::Display for RateFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a rate must be a decimal number of requests per second, 0 or more")
    }
}

impl std::error::Error for RateFault {}

impl FromStr for Rate {
    type Err = RateFault;
    fn from_str(text: &str) -> Result<Rate, RateFault> {
        let requests: f64 = text.trim().parse().map_err(|_| RateFault)?;
        Rate::per_second(requests).ok_or(RateFault)
    }
}
