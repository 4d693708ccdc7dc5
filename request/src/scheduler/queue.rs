//! The queue: requests that wait for a placement, and rejections of those that cannot get one for other reasons than the
//! forecast of their wait.

use std::time::Instant;

use foldlock_version::routes::Service;

use super::grants::ChargedRequest;
use super::record::Forecast;
use super::{Key, Reply, Scheduler};
use crate::caller::Priority;
use crate::cluster::Cluster;
use crate::placement::{Rejection, Requirements, requires_isolation};
use crate::tag::Tag;

#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) key: Key,
    pub(super) service: Tag,
    pub(super) requirements: Requirements,
    pub(super) last_requested: Instant,
    /// Whether its caller has returned at a promised time, or is reading its response already.
    pub(super) returned: bool,
    /// The forecast with which it was queued.
    pub(super) forecast: Option<Forecast>,
    /// The number of requests before it in the last round of placement.
    pub(super) rank: usize,
}

impl QueuedRequest {
    pub(super) fn new(
        key: Key,
        service: Tag,
        requirements: Requirements,
        returned: bool,
        now: Instant,
    ) -> QueuedRequest {
        QueuedRequest {
            key,
            service,
            requirements,
            last_requested: now,
            returned,
            forecast: None,
            rank: 0,
        }
    }

    pub(super) fn charged(&self) -> ChargedRequest {
        ChargedRequest {
            key: self.key.clone(),
            service: self.service,
            charge: self.requirements.charge,
        }
    }

    pub(super) fn is_long(&self, service: &Service) -> bool {
        service
            .engine
            .as_ref()
            .is_some_and(|engine| self.requirements.long_prefill_ms(engine).is_some())
    }
}

impl Scheduler {
    /// Whether a new short request has to be queued, as others of its service are: short ones, or more urgent ones.
    pub(super) fn is_preceded(&self, tag: Tag, service: &Service, priority: Priority) -> bool {
        let precedes = |queued: &QueuedRequest| {
            queued.requirements.caller.priority < priority || !queued.is_long(service)
        };
        self.queue.iter().any(|queued| queued.service == tag && precedes(queued))
    }

    pub(super) fn queued_for(&self, service: Tag) -> usize {
        self.queue.iter().filter(|queued| queued.service == service).count()
    }

    /// The number of queued requests of a service with an earlier deadline, or the same.
    pub(super) fn queued_before(&self, service: Tag, requirements: &Requirements) -> usize {
        let deadline = |of: &Requirements| of.arrived + of.objective;
        let queued = self.queue.iter().filter(|queued| queued.service == service);
        queued.filter(|queued| deadline(&queued.requirements) <= deadline(requirements)).count()
    }

    /// Queued requests of a service, earliest deadline first.
    pub(super) fn keys_by_deadline(
        &self,
        service: Tag,
        of: impl Fn(&QueuedRequest) -> bool,
    ) -> Vec<Key> {
        let queued = self.queue.iter().filter(|queued| queued.service == service && of(queued));
        let mut by_deadline: Vec<(Instant, &Key)> = queued
            .map(|queued| {
                (queued.requirements.arrived + queued.requirements.objective, &queued.key)
            })
            .collect();
        by_deadline.sort();
        by_deadline.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// Removes requests from the queue by their indices, which are in ascending order.
    pub(super) fn remove_indices(&mut self, indices: &[usize]) {
        let mut indices = indices.iter().copied().peekable();
        let mut index = 0;
        self.queue.retain(|_| {
            index += 1;
            indices.next_if_eq(&(index - 1)).is_none()
        });
    }

    /// Rejects queued requests that would wait too long, where all upstreams are rate-limited.
    pub(super) fn reject_late(
        &mut self,
        cluster: &Cluster,
        service: &Service,
        tag: Tag,
        now: Instant,
        replies: &mut Vec<(Key, Reply)>,
    ) {
        let Some(capacity) = cluster.limited_capacity(&service.name) else { return };
        let mut ahead = 0;
        for key in self.keys_by_deadline(tag, |_| true) {
            let Some(queued) = self.queue.iter().find(|queued| queued.key == key) else {
                continue;
            };
            match self.backlog.check(tag, &capacity, &queued.requirements, ahead, true, now) {
                Ok(()) => ahead += 1,
                Err(limited) => {
                    self.queue.retain(|queued| queued.key != key);
                    replies.push((key, Reply::Rejected(limited)));
                }
            }
        }
    }

    /// Rejects queued requests that have been quarantined meanwhile.
    pub(super) fn reject_quarantined(
        &mut self,
        cluster: &Cluster,
        now: Instant,
        replies: &mut Vec<(Key, Reply)>,
    ) {
        self.queue.retain(|queued| {
            match requires_isolation(cluster, queued.requirements.fingerprint, now) {
                Err(quarantined @ Rejection::Quarantined { .. }) => {
                    replies.push((queued.key.clone(), Reply::Rejected(quarantined)));
                    false
                }
                _ => true,
            }
        });
    }

    /// Rejects the queued requests of a service whose data halls have all been drained, or that the settings no longer
    /// contain.
    pub(super) fn reject_all(
        &mut self,
        service: Tag,
        reason: Rejection,
        replies: &mut Vec<(Key, Reply)>,
    ) {
        self.queue.retain(|queued| {
            if queued.service == service {
                replies.push((queued.key.clone(), Reply::Rejected(reason)));
            }
            queued.service != service
        });
    }
}
