//! Limits of organisations and kinds on this VM. For limits whose home is this VM, it also allocates
//! the quotas of all VMs.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use foldlock_base::clock::Clock;
use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_connection::wire::{Demand, Quota};
use foldlock_request::limit::{Exceeded, Limit, Permit};
use foldlock_request::quota;
use foldlock_version::policy::Policy;
use foldlock_version::tree::Tree;

/// The name of a limit: `ORGANISATION` or `ORGANISATION/KIND`.
pub fn name(organisation: &id::Organisation, kind: Option<&id::Kind>) -> String {
    match kind {
        Some(kind) => format!("{organisation}/{kind}"),
        None => organisation.to_string(),
    }
}

/// The policy that a limit belongs to.
fn policy_of<'a>(tree: &'a Tree, name: &str) -> Option<&'a Arc<Policy>> {
    let (organisation, kind) = match name.split_once('/') {
        Some((organisation, kind)) => (organisation, Some(kind.parse().ok()?)),
        None => (name, None),
    };
    let effective = tree.effective(&organisation.parse().ok()?, kind.as_ref())?;
    Some(&effective.policy)
}

/// Whether a policy sets any limit.
fn has_limit(policy: &Policy) -> bool {
    policy.concurrency > 0 || policy.requests_per_s > 0 || policy.prompt_tokens_per_s > 0
}

/// The limits in use on this VM, and the ledgers of those whose home it is.
pub struct Limits<C: Clock> {
    clock: C,
    limits: Mutex<HashMap<String, Arc<Limit<C>>>>,
    ledgers: Mutex<HashMap<String, quota::Ledger>>,
}

impl<C: Clock> Limits<C> {
    /// Creates an empty set of limits.
    pub fn new(clock: C) -> Limits<C> {
        Limits { clock, limits: Mutex::default(), ledgers: Mutex::default() }
    }

    /// Admits a request under a limit. Returns no permit if the policy sets no limit.
    pub fn admit(
        &self,
        name: &str,
        policy: &Policy,
        vms: usize,
        prompt: Tokens,
    ) -> Result<Option<Permit<C>>, Exceeded> {
        if !has_limit(policy) {
            return Ok(None);
        }
        self.limit(name).admit(policy, vms, prompt).map(Some)
    }

    fn limit(&self, name: &str) -> Arc<Limit<C>> {
        let mut limits = self.limits.lock().unwrap();
        match limits.get(name) {
            Some(limit) => limit.clone(),
            None => {
                let limit = Arc::new(Limit::new(self.clock.clone()));
                limits.insert(name.to_owned(), limit.clone());
                limit
            }
        }
    }

    /// The demand of this VM, by name of the limit.
    pub fn demand(&self) -> BTreeMap<String, Demand> {
        let limits = self.limits.lock().unwrap();
        limits.iter().filter_map(|(name, limit)| Some((name.clone(), limit.demand()?))).collect()
    }

    /// Sets the quotas received from the homes of limits.
    pub fn set_quotas(&self, quotas: &BTreeMap<String, Quota>) {
        let limits = self.limits.lock().unwrap();
        for (name, quota) in quotas {
            if let Some(limit) = limits.get(name) {
                limit.set_quota(*quota);
            }
        }
    }

    /// As the home of limits: records the demand of a VM and returns its quotas.
    pub fn allocate(
        &self,
        tree: &Tree,
        vm: &id::Vm,
        demand: &BTreeMap<String, Demand>,
    ) -> BTreeMap<String, Quota> {
        let now = self.clock.now();
        let mut ledgers = self.ledgers.lock().unwrap();
        let mut quotas = BTreeMap::new();
        for (name, demand) in demand {
            let Some(policy) = policy_of(tree, name) else { continue };
            let limits = quota::Limits { concurrency: policy.concurrency };
            let ledger = ledgers.entry(name.clone()).or_default();
            quotas.insert(name.clone(), ledger.renew(limits, vm, *demand, now));
        }
        quotas
    }
}
