//! Whatever an engine sends, the caller receives a prefix of the response to its own request.

use bytes::Bytes;
use foldlock_connection::events::{Checker, Event};
use foldlock_connection::wire::{Action, Claim};
use proptest::prelude::*;

fn line(request: &str, index: u64) -> String {
    format!("data: {{\"r\":\"{request}\",\"i\":{index},\"t\":\"t{index} \"}}\n\n")
}

proptest! {
    /// Late, duplicate, missing and reordered events and events of other requests, in chunks of
    /// any size.
    #[test]
    fn only_a_prefix_of_the_own_response_passes(
        events in prop::collection::vec((0u8..10, 0u64..30), 0..60),
        piece in 1usize..50,
    ) {
        let mut text = String::new();
        let mut next = 0;
        for (kind, other) in events {
            match kind {
                0 => text.push_str(&line("other", next)),
                1 => text.push_str(&line("own", other)),
                _ => {
                    text.push_str(&line("own", next));
                    next += 1;
                }
            }
        }
        let mut checker = Checker::new("own", 0);
        let mut seen = Vec::new();
        for piece in text.as_bytes().chunks(piece) {
            if checker.push(Bytes::copy_from_slice(piece), |e| seen.push(e)).is_err() {
                break;
            }
        }
        for (i, event) in seen.iter().enumerate() {
            let expected = Event::Token { index: i as u64, text: format!("t{i} ") };
            prop_assert_eq!(event, &expected);
        }
    }

    /// Arbitrary bytes may give an error but never a panic.
    #[test]
    fn any_bytes_do_not_panic(bytes: Vec<u8>) {
        let mut checker = Checker::new("own", 0);
        let _ = checker.push(bytes.into(), |_| {});
    }

    /// 128-bit numbers survive the encoding of messages between VMs.
    #[test]
    fn claims_survive_the_encoding(key: u128, nonce: u128) {
        let claim = Claim { key, nonce, action: Action::Release };
        let bytes = rmp_serde::to_vec(&claim).unwrap();
        prop_assert_eq!(rmp_serde::from_slice::<Claim>(&bytes).unwrap(), claim);
    }
}
