//! Which events of a stream the caller gets, with the stream cut into frames and events lost, repeated or spoiled.
//!
//! Guards against events before a gap that are lost: they were counted as relayed, and dropped with the frame that they
//! shared with the gap.

use foldlock_connection::sse::{Decoder, Event};
use foldlockd::fleet::progress::Progress;
use proptest::prelude::*;

/// Number of events of a stream.
const EVENTS: u64 = 8;

fn encoded(ids: &[u64]) -> Vec<u8> {
    ids.iter().flat_map(|id| format!("id: {id}\ndata: {id}\n\n").into_bytes()).collect()
}

/// Decodes a stream that arrives in frames which end at these positions.
fn frames(bytes: &[u8], cuts: &[usize]) -> Vec<Vec<Event>> {
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let mut decoder = Decoder::default();
    let mut begin = 0;
    let mut frames = Vec::new();
    for end in ends {
        decoder.push(&bytes[begin..end]);
        begin = end;
        frames.push(std::iter::from_fn(|| decoder.next_event().unwrap()).collect());
    }
    frames
}

#[test]
fn the_events_before_a_gap_in_the_same_frame_are_relayed() {
    let mut progress = Progress::after(None);
    let events = frames(&encoded(&[1, 2, 3, 9]), &[]).remove(0);
    let new = progress.new_events(&events);
    assert_eq!(new.bytes, encoded(&[1, 2, 3]));
    assert_eq!(new.gap.unwrap().to_string(), "received event 9, expected 4");
    assert_eq!(progress.last_id, Some(3));
}

proptest! {
    /// Each attempt sends the events after the last one that was relayed, some of them lost, repeated or with another id.
    /// What the caller has is always the beginning of the stream.
    #[test]
    fn a_caller_always_has_the_beginning_of_the_stream(
        attempts in proptest::collection::vec(
            (
                proptest::collection::vec((0..EVENTS, 0..3_u8, 1..20_u64), 0..3),
                proptest::collection::vec(any::<usize>(), 0..6),
            ),
            1..6,
        ),
    ) {
        let mut progress = Progress::after(Some(0));
        let mut received = Vec::new();
        for (faults, cuts) in attempts {
            let mut ids: Vec<u64> = (progress.last_id.unwrap() + 1..=EVENTS).collect();
            for (at, fault, id) in faults {
                let at = at as usize % ids.len().max(1);
                match fault {
                    _ if ids.is_empty() => {}
                    0 => drop(ids.remove(at)),
                    1 => ids.insert(at, ids[at]),
                    _ => ids[at] = id,
                }
            }
            for events in frames(&encoded(&ids), &cuts) {
                let new = progress.new_events(&events);
                received.extend_from_slice(&new.bytes);
                if new.gap.is_some() {
                    break;
                }
            }
            let relayed: Vec<u64> = (1..=progress.last_id.unwrap()).collect();
            prop_assert_eq!(&received, &encoded(&relayed));
        }
    }
}
