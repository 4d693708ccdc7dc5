//! Encoding of messages between VMs: a round trip preserves them, and malformed bytes are rejected.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use foldlock_base::size::Tokens;
use foldlock_request::budget::Charge;
use foldlock_request::caller::{Caller, Priority};
use foldlock_request::cluster::Load;
use foldlock_request::crash_log::{self, Interrupted};
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::message::{
    Activity, Grant, GrantRequest, Heartbeat, MAX_BYTES, Message, Number, State, decode, encode,
};
use foldlock_request::part::{MAX_PARTS, Part};
use foldlock_request::placement::{Rejection, Requirements};
use foldlock_request::promise::{Announcement, MAX_ANNOUNCED};
use foldlock_request::scheduler::order::{Basis, Reason};
use foldlock_request::tag::Tag;
use proptest::prelude::*;

fn heartbeat() -> Message {
    Message::Heartbeat(Heartbeat {
        echo: Some(9),
        echo_of: 3,
        last_grant: 12,
        requests_heartbeats: true,
        state: State {
            stamp: 42,
            version: 7,
            age_ms: Some(300),
            revision: 530.into(),
            digest: u64::MAX,
            watching: true,
            activity: Some(Activity::default()),
            ..State::new("vm-1".parse().unwrap(), 1_780_012_754_015)
        },
        is_client: true,
    })
}

#[test]
fn a_heartbeat_round_trips() {
    assert_eq!(decode(&encode(&heartbeat())).unwrap(), heartbeat());
}

fn requirements(sent: Instant) -> Requirements {
    Requirements {
        prompt: Tokens(5_000),
        memory: Tokens(6_000),
        objective: Duration::from_millis(400),
        pause: Some(Duration::from_millis(250)),
        arrived: sent.checked_sub(Duration::from_millis(70)).unwrap(),
        queue_timeout: Duration::from_secs(10),
        excluded: vec![Tag::of("i-1")],
        connected: vec![Tag::of("i-2")],
        hall: "a".to_owned(),
        reservation_timeout: Duration::from_millis(2_400),
        fingerprint: Fingerprint::of("", "", "", b""),
        offset: 0,
        schedulers: 1,
        charge: Charge::Withdraw,
        caller: Caller {
            organisation: Some(Tag::of("org-1")),
            priority: Priority { organisation: 1, route: 2 },
            time_limit: Duration::from_secs(15),
            patience: Duration::from_secs(2),
            resumes: true,
        },
    }
}

#[test]
fn a_grant_request_carries_times_as_durations() {
    let sent = Instant::now();
    let requirements = requirements(sent);
    let request = Number { incarnation: 1, number: 8 };
    let message = Message::GrantRequest(GrantRequest::new(
        request,
        Tag::of("model"),
        &requirements,
        true,
        sent,
    ));
    let Message::GrantRequest(received) = decode(&encode(&message)).unwrap() else {
        panic!("{message:?}")
    };
    assert_eq!((received.request, received.service), (request, Tag::of("model")));
    let received_at = sent + Duration::from_millis(3);
    let arrived = received_at.checked_sub(Duration::from_millis(70)).unwrap();
    assert_eq!(
        received.requirements("a".to_owned(), received_at),
        Requirements { arrived, ..requirements }
    );
}

/// Guards against VMs of the previous release and of this one that can't read each other's
/// heartbeats and rejections while there are no promises.
#[test]
fn messages_without_promises_are_those_of_the_previous_release() {
    let none: [u8; 0] = [];
    let activity = rmp_serde::to_vec(&(none, none, none, none, none)).unwrap();
    assert_eq!(rmp_serde::to_vec(&Activity::default()).unwrap(), activity);
    assert_eq!(rmp_serde::from_slice::<Activity>(&activity).unwrap(), Activity::default());
    let rejection = rmp_serde::to_vec(&BTreeMap::from([("Overloaded", (500, 9_000))])).unwrap();
    let expected = Rejection::Overloaded { after_ms: 500, wait_ms: 9_000, promised: false };
    assert_eq!(rmp_serde::from_slice::<Rejection>(&rejection).unwrap(), expected);
}

/// Guards against grant requests that a scheduler of the previous release cannot decode although admission by
/// forecasts is off: it accepts 14 fields.
#[test]
fn a_grant_request_without_a_caller_is_that_of_the_previous_release() {
    let fields = |caller: Caller| {
        let now = Instant::now();
        let request = Number { incarnation: 1, number: 8 };
        let requirements = Requirements { caller, ..requirements(now) };
        let request = GrantRequest::new(request, Tag::of("model"), &requirements, false, now);
        let encoded = rmp_serde::to_vec(&request).unwrap();
        assert_eq!(rmp_serde::from_slice::<GrantRequest>(&encoded).unwrap(), request);
        // The first byte of a short array holds its length.
        encoded[0] & 0x0f
    };
    assert_eq!(fields(Caller::default()), 14);
    let priority = Priority { organisation: 0, route: 1 };
    assert_eq!(fields(Caller { priority, ..Caller::default() }), 15);
}

/// Guards against grant requests that a scheduler of the previous release cannot decode, or grants without a charge: it knows
/// three charges.
#[test]
fn a_hedge_is_a_retry_for_the_previous_release() {
    #[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
    enum Previous {
        Deposit,
        Free,
        Withdraw,
    }
    for (charge, previous) in [
        (Charge::Deposit, Previous::Deposit),
        (Charge::Free, Previous::Free),
        (Charge::Withdraw, Previous::Withdraw),
        (Charge::Hedge, Previous::Withdraw),
    ] {
        let encoded = rmp_serde::to_vec(&charge).unwrap();
        assert_eq!(rmp_serde::from_slice::<Previous>(&encoded).unwrap(), previous, "{charge:?}");
        assert_eq!(rmp_serde::from_slice::<Charge>(&encoded).unwrap(), charge);
        if charge != Charge::Hedge {
            assert_eq!(encoded, rmp_serde::to_vec(&previous).unwrap(), "{charge:?}");
        }
    }
}

/// Guards against grants that a VM of the previous release cannot decode: it accepts 13 fields.
#[test]
fn a_grant_without_a_reason_is_that_of_the_previous_release() {
    let fields = |reason: Option<Reason>| {
        let grant = Grant {
            number: 1,
            upstream: Tag::of("i-1"),
            helpers: Vec::new(),
            part_ms: 0.0,
            memory: 6_500,
            pause_ms: 250,
            predicted_ms: 120.0,
            load: Load::default(),
            busiest_helpers: Vec::new(),
            candidates: 3,
            isolated: None,
            limited: 0,
            limit: None,
            reason,
        };
        let encoded = rmp_serde::to_vec(&grant).unwrap();
        assert_eq!(rmp_serde::from_slice::<Grant>(&encoded).unwrap(), grant);
        encoded[0] & 0x0f
    };
    assert_eq!(fields(None), 13);
    assert_eq!(fields(Some(Reason { wait_ms: 1_200, basis: Basis::Aged })), 14);
}

/// Guards against heartbeats that grow beyond what is stated for the most promises.
#[test]
fn announced_promises_take_28_bytes_each() {
    let announcement = Announcement {
        fingerprint: Fingerprint::of("", "", "", b""),
        service: Tag::of("model"),
        until_ms: 3_300,
    };
    let promises = vec![announcement; MAX_ANNOUNCED];
    let activity = Activity { promises, ..Activity::default() };
    let encoded = rmp_serde::to_vec(&activity).unwrap();
    assert!(encoded.len() <= 28 * MAX_ANNOUNCED, "{}", encoded.len());
    assert_eq!(rmp_serde::from_slice::<Activity>(&encoded).unwrap(), activity);
}

#[test]
fn a_truncated_message_is_rejected() {
    let bytes = encode(&heartbeat());
    for length in 0..bytes.len() {
        assert!(decode(&bytes[..length]).is_err(), "{length} bytes");
    }
}

#[test]
fn a_tag_parses_from_its_text() {
    let tag = Tag::of("i-7f3a91c2");
    assert_eq!(tag.to_string().parse(), Ok(tag));
    assert!("no tag".parse::<Tag>().is_err());
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
    }
}

/// Guards against a message that does not fit a datagram however many crashes and culprits there are.
#[test]
fn announced_crashes_pass_unchanged_and_fit_a_datagram() {
    let (mut log, now) = (crash_log::Log::default(), Instant::now());
    for number in 0..500 {
        let part = |id: usize| format!("{id:x}").parse::<Part>().unwrap();
        let request = Interrupted {
            request: format!("request-{number:08}").parse().unwrap(),
            service: Tag::of("model"),
            parts: (0..MAX_PARTS).map(|id| part(id + number)).collect(),
            sent: now,
        };
        log.record_crash(Tag::of(&format!("i-{number}")), request, now);
    }
    let message = Message::Crashes(log.announced(now));
    let bytes = encode(&message);
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
    assert_eq!(decode(&bytes).unwrap(), message);
}
