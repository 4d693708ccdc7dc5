//! An in-flight attempt on an engine.

use std::sync::Arc;
use std::time::Instant;

use foldlock_base::clock::Clock;
use foldlock_base::prefix;
use foldlock_base::prelude::*;
use foldlock_connection::engine::HttpEngine;
use foldlock_connection::wire::Load;
use foldlock_request::decision::Snapshot;
use foldlock_request::speed::Work;

use super::Engines;

/// An in-flight attempt, which counts as load on its engine until dropped.
pub struct Flight<C: Clock> {
    /// The engine's client.
    pub client: HttpEngine,
    /// The engine's id.
    pub engine: id::Upstream,
    /// Predicted time to the first token, in seconds.
    pub predicted: f64,
    /// The candidates that were compared.
    pub compared: Vec<Snapshot>,
    /// When the engine was chosen.
    pub sent: Instant,
    pub(super) engines: Arc<Engines<C>>,
    pub(super) slot: u64,
    pub(super) load: Load,
    pub(super) work: Work,
    pub(super) blocks: Vec<u64>,
    pub(super) bytes_per_token: u32,
}

impl<C: Clock> Flight<C> {
    /// Handles the first token: the prompt is no longer queued, and the speed model is updated.
    pub fn on_first_token(&mut self, cached: Tokens) {
        let now = self.engines.clock.now();
        let seconds = (now - self.sent).as_secs_f64();
        let (slot, work, blocks) = (self.slot, self.work, std::mem::take(&mut self.blocks));
        let hits = (cached.0 * u64::from(self.bytes_per_token)) as usize / prefix::BLOCK;
        let prefill = self.load.prefill_only();
        self.load = self.load.minus(prefill);
        self.engines.update(&self.engine, |local| {
            local.own = local.own.minus(prefill);
            local.health.on_success();
            if local.flights.remove(&slot).is_some() {
                local.speed.learn(work, seconds);
                local.speed_updated_at = now;
            }
            local.affinity.remove_misses(&blocks, hits);
            local.affinity.insert(&blocks, now);
        });
    }

    /// Handles the end of a prefill that produces no token, and so no sample of the engine's speed.
    pub fn on_prefill_done(&mut self) {
        let prefill = self.load.prefill_only();
        self.load = self.load.minus(prefill);
        let slot = self.slot;
        self.engines.update(&self.engine, |local| {
            local.own = local.own.minus(prefill);
            local.health.on_success();
            local.flights.remove(&slot);
        });
    }

    /// Handles a failure of the engine: records it in the engine's health, and clears its prefix
    /// table.
    pub fn on_failure(&self) {
        let now = self.engines.clock.now();
        self.engines.update(&self.engine, |local| {
            local.health.on_failure(now);
            local.affinity.clear();
        });
    }

    /// Handles the engine's refusal of the request because it is leaving.
    pub fn on_refused_leaving(&self) {
        self.engines.mark_leaving(&self.engine);
    }
}

impl<C: Clock> Drop for Flight<C> {
    fn drop(&mut self) {
        let (slot, load) = (self.slot, self.load);
        self.engines.update(&self.engine, |local| {
            local.own = local.own.minus(load);
            if local.flights.remove(&slot).is_some() {
                local.health.on_inconclusive();
            }
        });
    }
}
