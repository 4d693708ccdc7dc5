//! Where a VM goes on at the directory.
//!
//! Seen: a VM that had just started, and learnt the listings from a peer between two of its looks at what it is told, read all
//! of the directory, though it knew the revision to go on from.

use std::time::Instant;

use foldlock_request::revision::Revision;
use foldlockd::fleet::contact::Contact;

const NOTHING: Revision = Revision { era: 0, number: 0 };

const TOLD: Revision = Revision { era: 0, number: 7 };

const WATCHED: Revision = Revision { era: 0, number: 5 };

#[test]
fn a_vm_that_knows_nothing_reads_all() {
    assert_eq!(Contact::default().from(NOTHING), None);
}

#[test]
fn a_vm_that_was_told_goes_on_from_there() {
    assert_eq!(Contact::default().from(TOLD), Some(TOLD));
    let mut contact = Contact::default();
    contact.goes_on(WATCHED);
    contact.is_told();
    assert_eq!(contact.from(TOLD), Some(TOLD));
}

/// A revision that a peer names may have changes that its own watch has yet to bring.
#[test]
fn a_vm_that_watches_goes_on_from_its_own_watch() {
    let mut contact = Contact::default();
    contact.goes_on(WATCHED);
    assert_eq!(contact.from(TOLD), Some(WATCHED));
}

#[test]
fn after_a_failure_or_a_loss_all_is_read_whatever_peers_tell() {
    let mut contact = Contact::default();
    contact.goes_on(WATCHED);
    assert_eq!(contact.failed(Instant::now()), 1);
    assert_eq!(contact.from(TOLD), None);
    assert_eq!(contact.answered(Instant::now()), Some(1));
    contact.goes_on(WATCHED);
    contact.forget();
    assert_eq!(contact.from(TOLD), None);
    contact.goes_on(TOLD);
    assert_eq!(contact.from(WATCHED), Some(TOLD));
}

/// Once a directory that came back from a copy lists what is sound, it is read once more.
#[test]
fn a_restored_directory_is_read_again_when_it_is_sound() {
    let mut contact = Contact::default();
    let now = Instant::now();
    contact.note_restored(Some(now));
    contact.goes_on(WATCHED);
    contact.settle(Some(now));
    assert_eq!(contact.from(TOLD), Some(WATCHED));
    contact.settle(None);
    assert_eq!(contact.from(TOLD), None);
}
