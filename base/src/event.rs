//! The numbered log events. A test checks that docs/EVENTS.md lists the same events.

use std::fmt;

macro_rules! events {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal, $level:ident;)*) => {
        /// A log event. Numbers are never reused.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Event { $($(#[doc = $doc])* $name,)* }

        impl Event {
            /// All events, ordered by number.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// The number, as in docs/EVENTS.md.
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $number,)* }
            }

            /// The level it is logged at.
            pub fn level(self) -> slog::Level {
                match self { $(Event::$name => slog::Level::$level,)* }
            }

            /// The log message.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => concat!($($doc),*).trim_ascii(),)* }
            }
        }
    };
}

events! {
    /// The process started.
    Started = 100, Info;
    /// The process is shutting down: it reports not ready and finishes its open streams.
    Stopping = 101, Info;
    /// The process has stopped.
    Stopped = 102, Info;
    /// A listener could not accept a connection.
    AcceptFailed = 103, Warning;
    /// The configuration file was reloaded.
    Reloaded = 104, Info;
    /// The machine was suspended: the state of peers and the directory is read again.
    Suspended = 105, Warning;
    /// A thread or task panicked.
    Panicked = 106, Error;
    /// A task without which a VM cannot work panicked and is started again.
    TaskRestarted = 107, Error;
    /// The process ends because its state is no longer consistent.
    Poisoned = 108, Error;
    /// An address of this VM is in use: it tries to bind it for some seconds.
    AddressInUse = 109, Warning;
    /// A settings version is in force.
    VersionInForce = 200, Info;
    /// A settings version was refused; the previous one stays in force.
    VersionRefused = 201, Error;
    /// The key-value service does not respond.
    StoreDown = 202, Warning;
    /// The key-value service responds again.
    StoreUp = 203, Info;
    /// The directory does not respond.
    DirectoryDown = 204, Warning;
    /// The directory responds again.
    DirectoryUp = 205, Info;
    /// The directory has compacted the requested changes.
    DirectoryCompacted = 206, Info;
    /// Many listings changed at once; `/dump` shows them by name.
    ListingsChanged = 207, Info;
    /// The directory was restored from an older copy: later writes are lost.
    DirectoryRestored = 208, Warning;
    /// An operator has drained a data hall: its upstreams get no new requests.
    HallDrained = 209, Warning;
    /// A data hall was undrained: its upstreams get new requests again.
    HallUndrained = 210, Info;
    /// No peer with settings and listings was up in time: this VM reads the directory itself.
    NoPeerSettings = 211, Info;
    /// The settings in force were confirmed as the newest ones for the first time since the start.
    SettingsConfirmed = 212, Info;
    /// This VM begins to watch the directory itself.
    WatchStarted = 213, Info;
    /// A VM joined the fleet.
    PeerUp = 300, Info;
    /// A VM is down: its heartbeats stopped.
    PeerDown = 301, Warning;
    /// A VM announced that it is leaving.
    PeerLeaving = 302, Info;
    /// A message from a peer could not be decoded.
    MessageUnreadable = 303, Warning;
    /// Settings or listings could not be read from a peer.
    PeerReadFailed = 304, Warning;
    /// The scheduler does not respond; grant requests go to the next VM in the order.
    SchedulerTimeout = 305, Warning;
    /// Another VM is the scheduler of this VM's requests from now on.
    SchedulerChanged = 306, Info;
    /// An upstream is leaving and gets no new requests.
    UpstreamLeaving = 400, Info;
    /// An upstream does not respond to report requests.
    UpstreamDown = 401, Warning;
    /// An upstream responds to report requests again.
    UpstreamUp = 402, Info;
    /// An upstream was added to the listings, or its listing changed.
    UpstreamListed = 403, Info;
    /// An upstream was removed from the listings.
    UpstreamGone = 404, Info;
    /// A reservation of engine memory could not be renewed; the renewal is retried once.
    RenewalFailed = 405, Warning;
    /// A reservation of engine memory could not be released; it expires by itself.
    ReleaseFailed = 406, Warning;
    /// The slowdown of an engine against its configured speed has changed.
    UpstreamSlowdown = 407, Info;
    /// An engine sent an invalid report; its last valid report stays in use.
    ReportUnreadable = 408, Warning;
    /// An upstream restarted under the same id: state of its previous incarnation is discarded.
    UpstreamRestarted = 409, Info;
    /// A directory entry has an unexpected writer, or could not be decoded: it is ignored.
    EntryUnreadable = 410, Warning;
    /// An upstream requested a backoff: this VM sends it no requests until the backoff ends.
    UpstreamBackoff = 411, Info;
    /// An upstream set, changed or removed its rate limit, or sent one that could not be parsed.
    UpstreamRateLimited = 412, Info;
    /// This VM cannot connect to upstreams that a peer reaches: its requests to them go through peers.
    Partitioned = 413, Warning;
    /// This VM can connect to these upstreams again.
    PartitionEnded = 414, Info;
    /// Neither this VM nor any peer that it asked reaches upstreams of a service: new requests to it are rejected at once.
    ServiceLost = 415, Warning;
    /// Upstreams of the service are reached again, directly or through a peer.
    ServiceFound = 416, Info;
    /// A request was admitted.
    Admitted = 500, Debug;
    /// A request was queued.
    Queued = 501, Debug;
    /// A request was routed to an upstream.
    Routed = 502, Debug;
    /// A queued request was moved to another upstream before it ran.
    Moved = 503, Info;
    /// A request was rejected.
    Rejected = 504, Info;
    /// A request was retried after a failure.
    Retried = 505, Info;
    /// A response was resumed at another upstream, or at another VM.
    Resumed = 506, Info;
    /// A request ended with a complete response.
    Finished = 507, Debug;
    /// A request ended without a complete response.
    Failed = 508, Warning;
    /// An idempotency key was claimed, or already had a claim.
    Claimed = 509, Debug;
    /// Memory of a group of engines was reserved, or released.
    Reserved = 510, Debug;
    /// An upstream crashed while it ran a request.
    Crashed = 511, Warning;
    /// A request is quarantined from all upstreams, because one crashed while the request ran isolated there; or a part of prompts, because upstreams crash during requests with it.
    Quarantined = 512, Warning;
    /// A request or a part of prompts that was suspected of crashing upstreams is cleared, or was released from quarantine.
    Cleared = 513, Info;
    /// A write of this VM to the directory failed; it may be retried.
    WriteFailed = 514, Warning;
    /// A response was aborted: its caller reads slowly, and unread responses used too much memory.
    ResponseAborted = 515, Warning;
    /// A request was not retried after a failure: no upstream accepts it, or the fleet's retry budget is exhausted.
    NotRetried = 516, Info;
    /// The body of a request or response was dropped: all bodies used too much memory. The request is aborted, or continues without retries.
    BodyDropped = 517, Warning;
    /// A new request was queued by the forecast of its wait.
    QueuedByForecast = 520, Debug;
    /// A request was rejected by the forecast of its wait, when it arrived or while it was queued.
    RejectedByForecast = 521, Debug;
    /// A queued request was granted a placement in its order.
    GrantedInOrder = 522, Debug;
    /// A rejected caller has returned at its promised time.
    PromiseRedeemed = 523, Debug;
    /// The number of engines that are kept free of long prompts has changed: demand exceeds the capacity while there are any.
    KeptEnginesChanged = 524, Info;
    /// A request was sent to an upstream through a peer, as this VM cannot connect to it.
    Tunnelled = 525, Info;
    /// An upstream sends nothing, before its response or in the middle of a stream. Its reports decide whether the attempt at a
    /// divided prompt goes on; other attempts go on while another upstream is asked for.
    EngineSilent = 530, Info;
    /// Attempts put an engine in doubt: its report is requested until they are in time again.
    EngineDoubted = 531, Info;
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{}", self.number())
    }
}
