//! Encoding of messages between VMs: a round trip preserves them, and malformed bytes are rejected.

use std::time::{Duration, Instant};

use foldlock_base::size::Tokens;
use foldlock_request::budget::Charge;
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::message::{Asked, Beat, Message, Number, State, Work, decode, encode};
use foldlock_request::placement::Requirements;
use foldlock_request::tag::Tag;
use proptest::prelude::*;

fn beat() -> Message {
    Message::Beat(Beat {
        echo: Some(9),
        echo_of: 3,
        granted: 12,
        wants: true,
        state: State {
            stamp: 42,
            version: 7,
            age_ms: Some(300),
            at: 530.into(),
            digest: u64::MAX,
            watching: true,
            work: Some(Work::default()),
            ..State::new("vm-1".parse().unwrap(), 1_780_012_754_015)
        },
        is_client: true,
    })
}

#[test]
fn a_beat_comes_out_as_it_went_in() {
    assert_eq!(decode(&encode(&beat())).unwrap(), beat());
}

#[test]
fn what_is_asked_for_is_told_by_ages() {
    let sent = Instant::now();
    let requirements = Requirements {
        prompt: Tokens(5_000),
        memory: Tokens(6_000),
        objective: Duration::from_millis(400),
        pause: Some(Duration::from_millis(250)),
        arrived: sent.checked_sub(Duration::from_millis(70)).unwrap(),
        limit: Duration::from_secs(10),
        avoid: vec![Tag::of("i-1")],
        connected: vec![Tag::of("i-2")],
        hall: "a".to_owned(),
        hold_limit: Duration::from_millis(2_400),
        fingerprint: Fingerprint::of("", "", "", b""),
        offset: 0,
        schedulers: 1,
        charge: Charge::Withdraw,
    };
    let request = Number { incarnation: 1, number: 8 };
    let message = Message::Asked(Asked::new(request, Tag::of("model"), &requirements, true, sent));
    let Message::Asked(asked) = decode(&encode(&message)).unwrap() else { panic!("{message:?}") };
    assert_eq!((asked.request, asked.service), (request, Tag::of("model")));
    let heard = sent + Duration::from_millis(3);
    let arrived = heard.checked_sub(Duration::from_millis(70)).unwrap();
    assert_eq!(asked.requirements("a".to_owned(), heard), Requirements { arrived, ..requirements });
}

#[test]
fn a_cut_message_is_refused() {
    let bytes = encode(&beat());
    for length in 0..bytes.len() {
        assert!(decode(&bytes[..length]).is_err(), "{length} bytes");
    }
}

#[test]
fn a_tag_is_read_as_it_is_shown() {
    let tag = Tag::of("i-7f3a91c2");
    assert_eq!(tag.to_string().parse(), Ok(tag));
    assert!("no tag".parse::<Tag>().is_err());
}

proptest! {
    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
    }
}
