//! What a VM requests from the directory, and when the responses confirm its settings.
//!
//! Guards against settings that are lost with the VMs that watched the directory: the others
//! resumed from a revision past the change and confirmed older settings. Also against a needless full read: a VM that had just started, and received the listings from
//! a peer between two of its checks, read the whole directory although it had a revision to resume
//! from.

use std::time::Instant;

use foldlock_request::directory::{Change, Settings};
use foldlock_request::revision::Revision;
use foldlockd::fleet::contact::{Contact, Query};
use proptest::prelude::*;

const UNKNOWN: Revision = Revision { era: 0, number: 0 };

const ANNOUNCED: Revision = Revision { era: 0, number: 7 };

const WATCHED: Revision = Revision { era: 0, number: 5 };

/// The revision at which the settings were read.
const SETTINGS: Revision = Revision { era: 0, number: 6 };

#[test]
fn a_vm_without_listings_reads_everything() {
    assert_eq!(Contact::default().next_query(UNKNOWN), Query::All);
}

/// The announced revision is that of the listings. Changes of the settings up to it may be unknown, and changes of the
/// listings after the settings were read.
#[test]
fn a_vm_that_followed_peers_reads_the_settings_and_resumes_from_the_older_revision() {
    let mut contact = Contact::default();
    contact.resume_at(WATCHED);
    contact.follow_peers();
    assert_eq!(contact.next_query(ANNOUNCED), Query::Settings);
    contact.on_settings_read(SETTINGS);
    assert_eq!(contact.next_query(ANNOUNCED), Query::Changes(SETTINGS));
    assert_eq!(contact.next_query(WATCHED), Query::Changes(WATCHED));
    contact.follow_peers();
    assert_eq!(contact.next_query(ANNOUNCED), Query::Settings, "once more at the next takeover");
}

/// A revision announced by a peer may include changes that the VM's own watch has not returned yet.
#[test]
fn a_watching_vm_resumes_from_its_own_revision() {
    let mut contact = Contact::default();
    contact.resume_at(WATCHED);
    assert_eq!(contact.next_query(ANNOUNCED), Query::Changes(WATCHED));
}

#[test]
fn after_a_failure_or_reset_everything_is_read_despite_announcements() {
    let mut contact = Contact::default();
    contact.resume_at(WATCHED);
    assert_eq!(contact.on_failure(Instant::now()), 1);
    assert_eq!(contact.next_query(ANNOUNCED), Query::All);
    assert_eq!(contact.on_success(Instant::now()), Some(1));
    contact.resume_at(WATCHED);
    contact.reset();
    assert_eq!(contact.next_query(ANNOUNCED), Query::All);
    contact.resume_at(ANNOUNCED);
    assert_eq!(contact.next_query(WATCHED), Query::Changes(ANNOUNCED));
}

/// Guards against entries that lapsed while the directory was unavailable and stay: a VM whose call failed relied on its
/// peers for a moment, which ended before they had read all listings.
#[test]
fn a_full_read_that_is_due_stays_so_while_a_vm_relies_on_its_peers() {
    let mut contact = Contact::default();
    contact.resume_at(WATCHED);
    contact.on_failure(Instant::now());
    contact.follow_peers();
    assert_eq!(contact.next_query(ANNOUNCED), Query::All);
    contact.resume_at(ANNOUNCED);
    contact.follow_peers();
    assert_eq!(contact.next_query(ANNOUNCED), Query::Settings, "once");
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
    assert_eq!(contact.next_query(ANNOUNCED), Query::Changes(WATCHED));
    contact.on_restore_end(None);
    assert_eq!(contact.next_query(ANNOUNCED), Query::All);
}

/// VMs of the model fleet.
const VMS: usize = 4;

/// What happens in the model fleet.
#[derive(Debug, Clone)]
enum Event {
    /// The operator publishes settings, and the directory acknowledges them.
    Publish,
    /// Another entry of the directory changes.
    Change,
    /// A VM sends its next query, which the directory answers.
    Query(usize),
    /// The response to its query reaches a VM.
    Respond(usize),
    /// A VM sends its state, which stays in transit.
    Announce(usize),
    /// One of the announcements in transit reaches a VM, or is lost.
    Deliver { announcement: usize, to: usize, is_lost: bool },
    /// A VM reads the settings from a peer.
    ReadSettings { from: usize, to: usize },
    /// A VM relies on its peers.
    Follow(usize),
    /// A VM loses its state, and starts again.
    Restart(usize),
}

/// Counts the events.
type Moment = usize;

/// The model directory.
#[derive(Debug, Default)]
struct Directory {
    revision: u64,
    /// The revision, version and time of acknowledgement of each settings.
    settings: Vec<(u64, u64, Moment)>,
}

/// The response to a query.
#[derive(Debug, Clone)]
struct Response {
    query: Query,
    requested_at: Moment,
    revision: u64,
    /// The newest settings that the response includes.
    version: Option<u64>,
}

/// What a VM announces.
#[derive(Debug, Clone)]
struct Announcement {
    revision: Revision,
    version: u64,
    confirmed: Option<Moment>,
}

#[derive(Debug, Default)]
struct Vm {
    contact: Contact,
    revision: Revision,
    version: u64,
    newest: u64,
    confirmed: Option<Moment>,
    pending: Option<Response>,
}

impl Directory {
    fn answer(&self, query: Query, requested_at: Moment) -> Response {
        let since = match query {
            Query::All | Query::Settings => 0,
            Query::Changes(revision) => revision.number,
        };
        let included = self.settings.iter().filter(|(revision, ..)| *revision > since);
        let version = included.map(|(_, version, _)| *version).max();
        Response { query, requested_at, revision: self.revision, version }
    }

    /// The newest version that was acknowledged before a moment.
    fn acknowledged_before(&self, moment: Moment) -> u64 {
        let before = self.settings.iter().filter(|(.., at)| *at < moment);
        before.map(|(_, version, _)| *version).max().unwrap_or(0)
    }
}

impl Vm {
    fn apply(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    fn confirm(&mut self, at: Moment) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    fn on_response(&mut self, response: Response) {
        let revision = Revision::from(response.revision);
        let changes: Vec<Change> = response.version.map(settings).into_iter().collect();
        self.contact.note_settings(response.query, &changes);
        response.version.into_iter().for_each(|version| self.apply(version));
        if response.query == Query::Settings {
            self.contact.on_settings_read(revision);
        } else {
            self.contact.resume_at(revision);
            self.revision = self.revision.max(revision);
        }
        if self.contact.confirms(self.version.max(self.newest)) {
            self.confirm(response.requested_at);
        }
    }

    fn on_announcement(&mut self, announcement: &Announcement) {
        self.revision = self.revision.max(announcement.revision);
        self.newest = self.newest.max(announcement.version);
        if announcement.version == self.version {
            announcement.confirmed.into_iter().for_each(|at| self.confirm(at));
        }
    }
}

/// Settings of this version.
fn settings(version: u64) -> Change {
    let text = foldlock_platform_standin::settings::encode(version, &[], &[]).to_string();
    let table = foldlock_platform::settings::decode(text.as_bytes()).unwrap();
    Change::Settings(Box::new(Settings { table, text: text.into() }))
}

fn event() -> impl Strategy<Value = Event> {
    let vm = 0..VMS;
    prop_oneof![
        1 => Just(Event::Publish),
        1 => Just(Event::Change),
        4 => vm.clone().prop_map(Event::Query),
        4 => vm.clone().prop_map(Event::Respond),
        2 => vm.clone().prop_map(Event::Announce),
        3 => (0..8_usize, vm.clone(), any::<bool>()).prop_map(|(announcement, to, is_lost)| {
            Event::Deliver { announcement, to, is_lost }
        }),
        1 => (vm.clone(), vm.clone()).prop_map(|(from, to)| Event::ReadSettings { from, to }),
        1 => vm.clone().prop_map(Event::Follow),
        1 => vm.prop_map(Event::Restart),
    ]
}

proptest! {
    /// Steps and confirmations are delayed, reordered and lost, and watchers end at any point. No VM confirms a version
    /// as of a moment after a newer one was acknowledged.
    #[test]
    fn no_vm_confirms_settings_that_were_replaced_before(
        events in proptest::collection::vec(event(), 1..120),
    ) {
        let mut directory = Directory::default();
        let mut vms: Vec<Vm> = (0..VMS).map(|_| Vm::default()).collect();
        let mut in_transit: Vec<Announcement> = Vec::new();
        for (now, event) in events.into_iter().enumerate() {
            match event {
                Event::Publish => {
                    directory.revision += 1;
                    let version = directory.settings.len() as u64 + 1;
                    directory.settings.push((directory.revision, version, now));
                }
                Event::Change => directory.revision += 1,
                Event::Query(vm) => {
                    let query = vms[vm].contact.next_query(vms[vm].revision);
                    vms[vm].pending = Some(directory.answer(query, now));
                }
                Event::Respond(vm) => {
                    vms[vm].pending.take().into_iter().for_each(|response| vms[vm].on_response(response));
                }
                Event::Announce(vm) => {
                    let Vm { revision, version, confirmed, .. } = vms[vm];
                    in_transit.push(Announcement { revision, version, confirmed });
                }
                Event::Deliver { announcement, to, is_lost } if announcement < in_transit.len() => {
                    let announcement = in_transit.remove(announcement);
                    if !is_lost {
                        vms[to].on_announcement(&announcement);
                    }
                }
                Event::Deliver { .. } => {}
                Event::ReadSettings { from, to } => {
                    let version = vms[from].version;
                    vms[to].apply(version);
                }
                Event::Follow(vm) => {
                    vms[vm].pending = None;
                    vms[vm].contact.follow_peers();
                }
                Event::Restart(vm) => vms[vm] = Vm::default(),
            }
            for vm in &vms {
                let acknowledged = vm.confirmed.map_or(0, |at| directory.acknowledged_before(at));
                prop_assert!(vm.version >= acknowledged, "{vm:?}: {acknowledged} was acknowledged");
            }
        }
    }
}
