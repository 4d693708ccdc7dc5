//! The revision from which a VM resumes its watch of the directory.
//!
//! Guards against a needless full read: a VM that had just started, and received the listings from
//! a peer between two of its checks, read the whole directory although it had a revision to resume
//! from.

use std::time::Instant;

use foldlock_request::revision::Revision;
use foldlockd::fleet::contact::Contact;

const UNKNOWN: Revision = Revision { era: 0, number: 0 };

const ANNOUNCED: Revision = Revision { era: 0, number: 7 };

const WATCHED: Revision = Revision { era: 0, number: 5 };

#[test]
fn a_vm_without_listings_reads_everything() {
    assert_eq!(Contact::default().watch_from(UNKNOWN), None);
}

#[test]
fn a_vm_that_followed_peers_resumes_from_the_announced_revision() {
    assert_eq!(Contact::default().watch_from(ANNOUNCED), Some(ANNOUNCED));
    let mut contact = Contact::default();
    contact.resume_at(WATCHED);
    contact.follow_peers();
    assert_eq!(contact.watch_from(ANNOUNCED), Some(ANNOUNCED));
}

/// A revision announced by a peer may include changes that the VM's own watch has not returned yet.
#[test]
fn a_watching_vm_resumes_from_its_own_revision() {
    let mut contact = Contact::default();
    contact.resume_at(WATCHED);
    assert_eq!(contact.watch_from(ANNOUNCED), Some(WATCHED));
}

#[test]
fn after_a_failure_or_reset_everything_is_read_despite_announcements() {
    let mut contact = Contact::default();
    contact.resume_at(WATCHED);
    assert_eq!(contact.on_failure(Instant::now()), 1);
    assert_eq!(contact.watch_from(ANNOUNCED), None);
    assert_eq!(contact.on_success(Instant::now()), Some(1));
    contact.resume_at(WATCHED);
    contact.reset();
    assert_eq!(contact.watch_from(ANNOUNCED), None);
    contact.resume_at(ANNOUNCED);
    assert_eq!(contact.watch_from(WATCHED), Some(ANNOUNCED));
}

/// After the directory was restored from a copy and its listings are complete again, it is read
/// once more.
#[test]
fn a_restored_directory_is_read_again_when_the_restore_ends() {
    let mut contact = Contact::default();
    let now = Instant::now();
    contact.note_restored(Some(now));
    contact.resume_at(WATCHED);
    contact.on_restore_end(Some(now));
    assert_eq!(contact.watch_from(ANNOUNCED), Some(WATCHED));
    contact.on_restore_end(None);
    assert_eq!(contact.watch_from(ANNOUNCED), None);
}
