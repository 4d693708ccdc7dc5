//! The limits of organisations and kinds at this VM, and the splitting of those whose home it is.

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

/// The name of a limit: an organisation, or `ORGANISATION/KIND`.
pub fn name(organisation: &id::Organisation, kind: Option<&id::Kind>) -> String {
    match kind {
        Some(kind) => format!("{organisation}/{kind}"),
        None => organisation.to_string(),
    }
}

/// The settings behind a limit's name.
fn policy<'a>(tree: &'a Tree, name: &str) -> Option<&'a Arc<Policy>> {
    let (organisation, kind) = match name.split_once('/') {
        Some((organisation, kind)) => (organisation, Some(kind.parse().ok()?)),
        None => (name, None),
    };
    let effective = tree.effective(&organisation.parse().ok()?, kind.as_ref())?;
    Some(&effective.policy)
}

/// Whether the settings limit anything.
fn limits(policy: &Policy) -> bool {
    policy.concurrency > 0 || policy.requests_per_s > 0 || policy.prompt_tokens_per_s > 0
}

/// The limits.
pub struct Limits<C: Clock> {
    clock: C,
    own: Mutex<HashMap<String, Arc<Limit<C>>>>,
    ledgers: Mutex<HashMap<String, quota::Ledger>>,
}

impl<C: Clock> Limits<C> {
    /// None used yet.
    pub fn new(clock: C) -> Limits<C> {
        Limits { clock, own: Mutex::default(), ledgers: Mutex::default() }
    }

    /// Lets a request in under a limit; nothing to hold where the settings have none.
    pub fn admit(
        &self,
        name: &str,
        policy: &Policy,
        vms: usize,
        prompt: Tokens,
    ) -> Result<Option<Permit<C>>, Exceeded> {
        if !limits(policy) {
            return Ok(None);
        }
        self.limit(name).admit(policy, vms, prompt).map(Some)
    }

    fn limit(&self, name: &str) -> Arc<Limit<C>> {
        let mut own = self.own.lock().unwrap();
        match own.get(name) {
            Some(limit) => limit.clone(),
            None => {
                let limit = Arc::new(Limit::new(self.clock.clone()));
                own.insert(name.to_owned(), limit.clone());
                limit
            }
        }
    }

    /// This VM's demand, by limit.
    pub fn demand(&self) -> BTreeMap<String, Demand> {
        let own = self.own.lock().unwrap();
        own.iter().filter_map(|(name, limit)| Some((name.clone(), limit.demand()?))).collect()
    }

    /// Takes quotas from a limit's home.
    pub fn told(&self, quotas: &BTreeMap<String, Quota>) {
        let own = self.own.lock().unwrap();
        for (name, quota) in quotas {
            if let Some(limit) = own.get(name) {
                limit.set_quota(*quota);
            }
        }
    }

    /// As the home of limits: takes a VM's demand and gives its quotas.
    pub fn split(
        &self,
        tree: &Tree,
        vm: &id::Vm,
        demand: &BTreeMap<String, Demand>,
    ) -> BTreeMap<String, Quota> {
        let now = self.clock.now();
        let mut ledgers = self.ledgers.lock().unwrap();
        let mut quotas = BTreeMap::new();
        for (name, demand) in demand {
            let Some(policy) = policy(tree, name) else { continue };
            let limits = quota::Limits { concurrency: policy.concurrency };
            let ledger = ledgers.entry(name.clone()).or_default();
            quotas.insert(name.clone(), ledger.renew(limits, vm, *demand, now));
        }
        quotas
    }
}
