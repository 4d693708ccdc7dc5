//! Beats survive their encoding, and bytes that are none are refused.

use foldlock_connection::beat::{self, Beat, Datagram};
use proptest::prelude::*;

fn beat(flights: Vec<String>) -> Beat<String, u32, u64> {
    Beat {
        vm: "vm-1".parse().unwrap(),
        incarnation: 1_780_012_754_015,
        stamp: 42,
        version: 7,
        age_ms: Some(300),
        at: 530,
        digest: u64::MAX,
        leaving: false,
        flights,
        waiting: vec![3, 4],
        reports: vec![5],
    }
}

#[test]
fn a_beat_comes_out_as_it_went_in() {
    let sent = beat(vec!["one".to_owned(), "two".to_owned()]);
    let datagram = Datagram { echo: Some(9), echo_of: 3, beat: beat::encode(&sent) };
    let (read, received) = Datagram::read::<String, u32, u64>(&datagram.encode()).unwrap();
    assert_eq!((read.echo, read.echo_of), (Some(9), 3));
    assert_eq!(received, sent);
}

#[test]
fn a_cut_beat_is_refused() {
    let bytes = Datagram { echo: None, echo_of: 0, beat: beat::encode(&beat(Vec::new())) }.encode();
    for length in 0..bytes.len() {
        assert!(Datagram::read::<String, u32, u64>(&bytes[..length]).is_err(), "{length} bytes");
    }
}

proptest! {
    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Datagram::read::<String, u32, u64>(&bytes);
    }
}
