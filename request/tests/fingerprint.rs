//! Fingerprints are equal for repeated requests, and differ for all others.

use foldlock_request::fingerprint::Fingerprint;

#[test]
fn only_repeated_requests_have_equal_fingerprints() {
    let of = Fingerprint::of;
    let fingerprint = of("registry", "POST", "/audit/1?full", b"the body");
    assert_eq!(fingerprint, of("registry", "POST", "/audit/1?full", b"the body"));
    let others = [
        of("cards", "POST", "/audit/1?full", b"the body"),
        of("registry", "PUT", "/audit/1?full", b"the body"),
        of("registry", "POST", "/audit/1", b"the body"),
        of("registry", "POST", "/audit/1?full", b"the other body"),
        of("registryP", "OST", "/audit/1?full", b"the body"),
        of("", "registry", "POST/audit/1?full", b"the body"),
    ];
    assert!(others.iter().all(|other| *other != fingerprint));
}

#[test]
fn a_fingerprint_parses_from_its_text() {
    let fingerprint = Fingerprint::of("", "GET", "/", b"");
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    assert!("no fingerprint".parse::<Fingerprint>().is_err());
}
