//! Routes are found by their longest prefix, organisations by their keys.

use std::time::Duration;

use foldlock_version::routes::{
    Bounds, Builder, Delivery, Organisation, Retry, Route, Service, Table, Target,
};
use proptest::prelude::*;

fn bounds() -> Bounds {
    Bounds {
        max_header_bytes: 16 << 10,
        max_body_bytes: 4 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    }
}

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        retry: Retry::Safe,
        delivery: Delivery::Complete,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        patience: None,
        priority: 1,
        targets: vec![Target { service: "plain".to_owned(), weight: 1 }],
        max_attempts: 2,
        public: false,
    }
}

fn builder() -> Builder {
    Table::builder(7, bounds())
}

fn organisation(name: &str) -> Organisation {
    Organisation { name: name.to_owned(), priority: 1 }
}

#[test]
fn the_longest_prefix_wins() {
    let table = builder()
        .route(route("a.example", "/x/"))
        .route(route("a.example", "/x/y/"))
        .route(route("a.example", "/"))
        .build();
    let name = |path: &str| table.route("a.example", path).map(|r| r.prefix.clone());
    assert_eq!(name("/x/y/z").as_deref(), Some("/x/y/"));
    assert_eq!(name("/x/z").as_deref(), Some("/x/"));
    assert_eq!(name("/xy").as_deref(), Some("/"));
}

#[test]
fn a_prefix_ends_at_a_slash() {
    let table = builder().route(route("a.example", "/x/")).build();
    assert!(table.route("a.example", "/x").is_none());
    assert!(table.route("a.example", "/xy/z").is_none());
}

#[test]
fn a_host_is_found_in_any_case_and_with_a_port() {
    let table = builder().route(route("A.example", "/x/")).build();
    assert!(table.route("a.EXAMPLE", "/x/1").is_some());
    assert!(table.route("a.example:8080", "/x/1").is_some());
    assert!(table.route("b.example", "/x/1").is_none());
}

#[test]
fn keys_are_required_once_there_is_an_organisation() {
    assert!(!builder().build().requires_key());
    let table = builder()
        .organisation(organisation("one"), ["k1".to_owned(), "k2".to_owned()])
        .organisation(organisation("two"), ["k3".to_owned()])
        .build();
    assert!(table.requires_key());
    let name = |key: &str| table.organisation(key).map(|o| o.name.clone());
    assert_eq!(name("k2").as_deref(), Some("one"));
    assert_eq!(name("k3").as_deref(), Some("two"));
    assert_eq!(name("k4"), None);
}

#[test]
fn keys_can_be_required_without_any_organisation() {
    let table = builder().require_keys().build();
    assert!(table.requires_key());
    assert!(table.organisations().next().is_none());
}

#[test]
fn an_organisation_without_keys_still_requires_them() {
    let table = builder().organisation(organisation("one"), []).build();
    assert!(table.requires_key());
    assert!(table.organisation("").is_none());
}

#[test]
fn services_are_found_by_name() {
    let plain =
        Service { name: "plain".to_owned(), max_connections: 96, engine: None, cold_per_s: None };
    let table = builder().service(plain.clone()).build();
    assert_eq!(table.service("plain").map(|s| s.as_ref()), Some(&plain));
    assert!(table.service("other").is_none());
    assert_eq!(table.number(), 7);
    assert_eq!(table.bounds(), &bounds());
}

fn prefix() -> impl Strategy<Value = String> {
    prop::collection::vec("[ab]{1,2}", 0..4)
        .prop_map(|parts| parts.iter().fold("/".to_owned(), |path, part| format!("{path}{part}/")))
}

proptest! {
    #[test]
    fn the_route_with_the_longest_matching_prefix_is_found(
        prefixes in prop::collection::btree_set(prefix(), 0..12),
        path in prefix(),
    ) {
        let table = prefixes.iter().fold(builder(), |b, p| b.route(route("a", p))).build();
        let expected = prefixes.iter().filter(|p| path.starts_with(*p)).max_by_key(|p| p.len());
        prop_assert_eq!(table.route("a", &path).map(|r| &r.prefix), expected);
    }
}
