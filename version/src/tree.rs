//! A complete version of the settings: all branches, validated together and resolved.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use foldlock_base::id;
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::branch::Name;
use crate::check::{self, Fault};
use crate::policy::Policy;
use crate::schema;
use crate::source::{Position, Source};

/// Origin of an effective value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The built-in defaults of this release.
    Default,
    /// A branch.
    Branch(Name),
    /// A kind of requests in the branch of an organisation.
    Kind(id::Organisation, id::Kind),
}

impl std::fmt::Display for Origin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Origin::Default => f.write_str("default"),
            Origin::Branch(name) => write!(f, "{name}"),
            Origin::Kind(organisation, kind) => write!(f, "organisation/{organisation}/{kind}"),
        }
    }
}

/// Effective settings of an organisation or of one kind of its requests, with their origins.
#[derive(Debug, Clone)]
pub struct Effective {
    /// Effective settings.
    pub policy: Arc<Policy>,
    /// Origin of each value, by name.
    pub origins: BTreeMap<String, Origin>,
}

/// Resolved settings of an organisation.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// Settings of requests that specify no kind.
    pub base: Effective,
    /// Settings of each kind of requests.
    pub kinds: BTreeMap<id::Kind, Effective>,
}

/// Source texts of all branches.
pub type Texts = BTreeMap<Name, Arc<str>>;

/// A validated and resolved version of the settings.
#[derive(Debug, Clone, Default)]
pub struct Tree {
    /// Root branch.
    pub fleet: schema::Fleet,
    /// Resolved organisations.
    pub organisations: BTreeMap<id::Organisation, Organisation>,
    keys: HashMap<[u8; 4], Vec<(Vec<u8>, id::Organisation)>>,
}

impl Tree {
    /// Validates and resolves the texts of all branches, or returns all faults found.
    pub fn build(texts: &Texts) -> Result<Tree, Vec<Fault>> {
        Builder::default().build(texts)
    }

    /// The organisation that a key belongs to. Hashes are compared in constant time, so the
    /// duration for a wrong key depends on the first 4 bytes of its hash only.
    pub fn organisation_of(&self, key: &str) -> Option<&id::Organisation> {
        let hash = Sha256::digest(key.as_bytes());
        let bucket = self.keys.get(&prefix(&hash))?;
        let mut found = None;
        for (key_hash, organisation) in bucket {
            if bool::from(key_hash.as_slice().ct_eq(hash.as_slice())) {
                found = Some(organisation);
            }
        }
        found
    }

    /// Settings of a kind of requests, or of requests that specify none.
    pub fn effective(
        &self,
        organisation: &id::Organisation,
        kind: Option<&id::Kind>,
    ) -> Option<&Effective> {
        let organisation = self.organisations.get(organisation)?;
        match kind {
            Some(kind) => organisation.kinds.get(kind),
            None => Some(&organisation.base),
        }
    }

    /// The plain service whose path is a prefix of the path of a call.
    pub fn service_of(&self, path: &str) -> Option<(&id::Service, &schema::Service)> {
        self.fleet.services.iter().find(|(_, service)| {
            path.strip_prefix(service.path.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        })
    }
}

/// Hash of a bearer key, in the form used in the settings.
pub fn hash_of_key(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

fn prefix(hash: &[u8]) -> [u8; 4] {
    [hash[0], hash[1], hash[2], hash[3]]
}

fn decode_hex(text: &str) -> Vec<u8> {
    (0..text.len() / 2)
        .filter_map(|i| u8::from_str_radix(text.get(2 * i..2 * i + 2)?, 16).ok())
        .collect()
}

/// Builds a tree and collects the faults.
#[derive(Default)]
struct Builder {
    faults: Vec<Fault>,
    tree: Tree,
}

impl Builder {
    fn build(mut self, texts: &Texts) -> Result<Tree, Vec<Fault>> {
        let mut sources = BTreeMap::new();
        for (name, text) in texts {
            self.parse(name, text, &mut sources);
        }
        if !texts.contains_key(&Name::Fleet) {
            self.add_missing_fleet_fault();
        }
        if !self.faults.is_empty() {
            return Err(self.faults);
        }
        if let Some(source) = sources.get(&Name::Fleet) {
            self.fleet(source);
        }
        for (name, source) in &sources {
            if let Name::Organisation(id) = name {
                self.organisation(name, id, source);
            }
        }
        if self.faults.is_empty() { Ok(self.tree) } else { Err(self.faults) }
    }

    fn parse<'a>(&mut self, name: &Name, text: &'a str, sources: &mut BTreeMap<Name, Source<'a>>) {
        match Source::parse(text) {
            Ok(source) => {
                self.faults.extend(check::source(name, &source));
                sources.insert(name.clone(), source);
            }
            Err(failure) => self.faults.push(Fault {
                branch: name.clone(),
                position: failure.position,
                path: Vec::new(),
                value: String::new(),
                reason: failure.reason,
                nearest: None,
            }),
        }
    }

    fn add_missing_fleet_fault(&mut self) {
        self.faults.push(Fault {
            branch: Name::Fleet,
            position: Position { line: 1, column: 1 },
            path: Vec::new(),
            value: String::new(),
            reason: "the root branch is missing".to_owned(),
            nearest: None,
        });
    }

    fn fleet(&mut self, source: &Source<'_>) {
        let fleet: schema::Fleet = match serde_json::from_value(source.value()) {
            Ok(fleet) => fleet,
            Err(e) => return self.add_fault(&Name::Fleet, source, &[], e.to_string(), None),
        };
        for (id, engine) in &fleet.engines {
            let at = ["engines", id.as_str()];
            self.check_reference(source, &at, "hall", engine.hall.as_str(), &fleet.halls);
            for model in &engine.models {
                self.check_reference(source, &at, "models", model.as_str(), &fleet.models);
            }
        }
        for (id, service) in &fleet.services {
            for (server, entry) in &service.servers {
                let at = ["services", id.as_str(), "servers", server.as_str()];
                self.check_reference(source, &at, "hall", entry.hall.as_str(), &fleet.halls);
            }
        }
        self.tree.fleet = fleet;
    }

    /// Checks that a referenced name is defined.
    fn check_reference<K: AsRef<str> + Ord, V>(
        &mut self,
        source: &Source<'_>,
        at: &[&str],
        field: &str,
        name: &str,
        defined: &BTreeMap<K, V>,
    ) {
        if defined.keys().any(|k| k.as_ref() == name) {
            return;
        }
        let mut path = at.to_vec();
        path.push(field);
        let names: Vec<&str> = defined.keys().map(AsRef::as_ref).collect();
        let reason = format!("`{name}` is not one of: {}", names.join(", "));
        let nearest = check::nearest(name, names);
        self.add_fault(&Name::Fleet, source, &path, reason, nearest);
    }

    fn organisation(&mut self, name: &Name, id: &id::Organisation, source: &Source<'_>) {
        let entry: schema::Organisation = match serde_json::from_value(source.value()) {
            Ok(entry) => entry,
            Err(e) => return self.add_fault(name, source, &[], e.to_string(), None),
        };
        self.add_keys(name, id, source, &entry.keys);
        let root = self.tree.fleet.policy.clone();
        let fleet = (Origin::Branch(Name::Fleet), &root);
        let own = (Origin::Branch(name.clone()), &entry.policy);
        let base = match resolve(&[fleet.clone(), own.clone()]) {
            Ok(base) => base,
            Err(e) => return self.add_fault(name, source, &["policy"], e, None),
        };
        let mut kinds = BTreeMap::new();
        for (kind, settings) in &entry.kinds {
            let leaf = (Origin::Kind(id.clone(), kind.clone()), &settings.policy);
            match resolve(&[fleet.clone(), own.clone(), leaf]) {
                Ok(effective) => {
                    self.check_organisation_limits(
                        name,
                        source,
                        kind,
                        &base.policy,
                        &effective.policy,
                    );
                    kinds.insert(kind.clone(), effective);
                }
                Err(e) => self.add_fault(name, source, &["kinds", kind.as_str()], e, None),
            }
        }
        self.tree.organisations.insert(id.clone(), Organisation { base, kinds });
    }

    fn add_keys(
        &mut self,
        name: &Name,
        id: &id::Organisation,
        source: &Source<'_>,
        keys: &[String],
    ) {
        for (i, key) in keys.iter().enumerate() {
            let hash = decode_hex(key);
            let bucket = self.tree.keys.entry(prefix(&hash)).or_default();
            let holder =
                bucket.iter().find(|(key_hash, _)| *key_hash == hash).map(|(_, o)| o.clone());
            match holder {
                Some(other) => {
                    let reason = format!("the key already belongs to organisation {other}");
                    self.add_fault(name, source, &["keys", &i.to_string()], reason, None);
                }
                None => bucket.push((hash, id.clone())),
            }
        }
    }

    /// Checks that no limit of a kind exceeds that of its organisation, since the requests of a
    /// kind count towards both.
    fn check_organisation_limits(
        &mut self,
        name: &Name,
        source: &Source<'_>,
        kind: &id::Kind,
        base: &Policy,
        leaf: &Policy,
    ) {
        let pairs = [
            ("concurrency", u64::from(base.concurrency), u64::from(leaf.concurrency)),
            ("requests_per_s", u64::from(base.requests_per_s), u64::from(leaf.requests_per_s)),
            ("prompt_tokens_per_s", base.prompt_tokens_per_s, leaf.prompt_tokens_per_s),
        ];
        for (field, whole, part) in pairs {
            if whole != 0 && part > whole {
                let reason = format!("{part} exceeds the organisation's limit of {whole}");
                let path = ["kinds", kind.as_str(), "policy", field];
                self.add_fault(name, source, &path, reason, None);
            }
        }
    }

    fn add_fault(
        &mut self,
        branch: &Name,
        source: &Source<'_>,
        path: &[&str],
        reason: String,
        nearest: Option<String>,
    ) {
        let path: Vec<String> = path.iter().map(|s| (*s).to_owned()).collect();
        self.faults.push(Fault {
            branch: branch.clone(),
            position: source.position(&path),
            path,
            value: String::new(),
            reason,
            nearest,
        });
    }
}

/// Merges the settings of the branches over the defaults, the root branch first.
fn resolve(branches: &[(Origin, &Map<String, Value>)]) -> Result<Effective, String> {
    let defaults = serde_json::to_value(Policy::default()).map_err(|e| e.to_string())?;
    let Value::Object(mut merged) = defaults else { return Err("not an object".to_owned()) };
    let mut origins: BTreeMap<String, Origin> =
        merged.keys().map(|name| (name.clone(), Origin::Default)).collect();
    for (origin, values) in branches {
        for (name, value) in *values {
            merged.insert(name.clone(), value.clone());
            origins.insert(name.clone(), origin.clone());
        }
    }
    let policy = serde_json::from_value(Value::Object(merged)).map_err(|e| e.to_string())?;
    Ok(Effective { policy: Arc::new(policy), origins })
}
