//! Events are decoded independently of how their bytes are split into chunks.

use foldlock_connection::sse::{Decoder, Event, TooLong};
use proptest::prelude::*;

fn decode(chunks: &[&[u8]]) -> (Vec<Event>, usize) {
    let (mut decoder, mut events) = (Decoder::default(), Vec::new());
    for chunk in chunks {
        decoder.push(chunk);
        while let Ok(Some(event)) = decoder.next_event() {
            events.push(event);
        }
    }
    (events, decoder.buffered())
}

#[test]
fn an_event_keeps_its_bytes_and_id() {
    let (events, buffered) = decode(&[b"versions: 2\nid: 7\ndata: a b\n\nid: 8\nda"]);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id, Some(7));
    assert_eq!(&events[0].bytes[..], b"versions: 2\nid: 7\ndata: a b\n\n");
    assert_eq!(buffered, 8, "bytes of an incomplete event");
}

#[test]
fn an_event_without_a_number_has_no_id() {
    let (events, _) = decode(&[b"data: x\n\nid: y\n\n"]);
    assert_eq!(events.iter().map(|e| e.id).collect::<Vec<_>>(), [None, None]);
}

/// Guards against an event that is held back until the next one, or a stream that seems to end inside an event.
#[test]
fn a_line_may_end_in_any_way() {
    for end in ["\n", "\r\n", "\r"] {
        let text = format!("id: 1{end}data: a{end}{end}id: 2{end}data: b{end}{end}");
        let (events, buffered) = decode(&[text.as_bytes()]);
        assert_eq!(events.iter().map(|e| e.id).collect::<Vec<_>>(), [Some(1), Some(2)], "{end:?}");
        assert_eq!(buffered, 0, "{end:?}");
        // In single bytes an LF after the last CR is passed on by itself.
        let bytes: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
        let (events, buffered) = decode(&bytes);
        let ids: Vec<u64> = events.iter().filter_map(|e| e.id).collect();
        let whole: Vec<u8> = events.iter().flat_map(|e| e.bytes.to_vec()).collect();
        assert_eq!((ids, buffered), (vec![1, 2], 0), "{end:?}");
        assert_eq!(whole, text.as_bytes());
        let incomplete = format!("id: 1{end}data: a{end}");
        assert_eq!(decode(&[incomplete.as_bytes()]).1, incomplete.len(), "{end:?}");
    }
}

#[test]
fn empty_lines_between_events_are_passed_on_and_belong_to_none() {
    let text = b"\n\nid: 1\ndata: a\n\n\n\r\n";
    let (events, buffered) = decode(&[text]);
    assert_eq!(events.iter().filter_map(|e| e.id).collect::<Vec<_>>(), [1]);
    assert_eq!(events.iter().flat_map(|e| e.bytes.to_vec()).collect::<Vec<u8>>(), text);
    assert_eq!(buffered, 0);
}

#[test]
fn an_overlong_event_is_rejected() {
    let mut decoder = Decoder::default();
    decoder.push(&vec![b'x'; 300 << 10]);
    assert_eq!(decoder.next_event(), Err(TooLong));
}

proptest! {
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        ids in prop::collection::vec(0u64..1_000_000, 0..12),
        cuts in prop::collection::vec(1usize..30, 0..40),
    ) {
        let text: String = ids.iter().map(|id| format!("id: {id}\ndata: d{id}\n\n")).collect();
        let mut rest = text.as_bytes();
        let mut chunks = Vec::new();
        for cut in cuts {
            let (chunk, after) = rest.split_at(cut.min(rest.len()));
            chunks.push(chunk);
            rest = after;
        }
        chunks.push(rest);
        let (events, left) = decode(&chunks);
        prop_assert_eq!(left, 0);
        let read: Vec<u64> = events.iter().filter_map(|e| e.id).collect();
        prop_assert_eq!(read, ids);
        let whole: Vec<u8> = events.iter().flat_map(|e| e.bytes.to_vec()).collect();
        prop_assert_eq!(whole, text.as_bytes());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let (events, buffered) = decode(&[&bytes]);
        let taken: usize = events.iter().map(|e| e.bytes.len()).sum();
        prop_assert_eq!(taken + buffered, bytes.len());
    }
}
