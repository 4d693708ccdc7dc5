//! Compares the requests that upstreams received with their limits.

use std::time::Instant;

use foldlock_base::size::Rate;
use proptest::prelude::*;

use crate::fleet::{Fleet, NOTICE_DELAY, SPAN, UPSTREAMS};

impl Fleet {
    /// Checks each span of each upstream against the highest limit that it stated within it.
    pub(crate) fn check(&self) -> Result<(), TestCaseError> {
        for index in 0..UPSTREAMS {
            let counted: Vec<Instant> =
                self.arrivals[index].iter().filter(|a| a.counts).map(|a| a.at).collect();
            for last in &counted {
                let from = *last - SPAN;
                let Some(limit) = self.highest(index, from - NOTICE_DELAY, *last) else { continue };
                let arrived = counted.iter().filter(|at| **at > from && *at <= last).count();
                let allowed = (1.5 * limit.over(SPAN) + 5.0) as usize;
                prop_assert!(
                    arrived <= allowed,
                    "{arrived} of {allowed} at {limit}, upstream {index}"
                );
            }
        }
        Ok(())
    }

    /// Returns the highest limit that an upstream stated in a period; none if it had no limit for a part of it.
    fn highest(&self, upstream: usize, from: Instant, to: Instant) -> Option<Rate> {
        let stated = &self.stated[upstream];
        let before = stated.iter().rev().find(|(at, _)| *at <= from)?;
        let within = stated.iter().filter(|(at, _)| *at > from && *at <= to);
        let mut highest = before.1?;
        for (_, limit) in within {
            highest = if (*limit)? > highest { (*limit)? } else { highest };
        }
        Some(highest)
    }
}
