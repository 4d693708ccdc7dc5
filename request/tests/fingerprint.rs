//! Fingerprints are equal for repeated requests, and differ for all others.

use foldlock_request::fingerprint::Fingerprint;

#[test]
fn a_request_that_comes_again_has_the_same_and_any_other_has_not() {
    let of = Fingerprint::of;
    let one = of("registry", "POST", "/audit/1?full", b"the body");
    assert_eq!(one, of("registry", "POST", "/audit/1?full", b"the body"));
    let others = [
        of("cards", "POST", "/audit/1?full", b"the body"),
        of("registry", "PUT", "/audit/1?full", b"the body"),
        of("registry", "POST", "/audit/1", b"the body"),
        of("registry", "POST", "/audit/1?full", b"the other body"),
        of("registryP", "OST", "/audit/1?full", b"the body"),
        of("", "registry", "POST/audit/1?full", b"the body"),
    ];
    assert!(others.iter().all(|other| *other != one));
}

#[test]
fn its_text_reads_back() {
    let one = Fingerprint::of("", "GET", "/", b"");
    assert_eq!(one.to_string().parse(), Ok(one));
    assert!("no fingerprint".parse::<Fingerprint>().is_err());
}
