//! The numbered log events. docs/EVENTS.md is the catalogue; a test keeps the two in step.

use std::fmt;

macro_rules! events {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal, $level:ident;)*) => {
        /// A log event. Numbers are never reused.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Event { $($(#[doc = $doc])* $name,)* }

        impl Event {
            /// Each event, by number.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// The number, as in the catalogue.
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $number,)* }
            }

            /// The level it is logged at.
            pub fn level(self) -> slog::Level {
                match self { $(Event::$name => slog::Level::$level,)* }
            }

            /// What it means.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => concat!($($doc),*).trim_ascii(),)* }
            }
        }
    };
}

events! {
    /// The process started.
    Started = 100, Info;
    /// The process stops: not ready, streams finish.
    Stopping = 101, Info;
    /// The process has stopped.
    Stopped = 102, Info;
    /// A listener could not accept a connection.
    AcceptFailed = 103, Warning;
    /// The configuration file was read again.
    Reloaded = 104, Info;
    /// The machine was suspended: what was believed before is learnt anew.
    Suspended = 105, Warning;
    /// A settings version is in force.
    VersionInForce = 200, Info;
    /// A settings version was refused; the former one stays in force.
    VersionRefused = 201, Error;
    /// The key-value service does not answer.
    StoreDown = 202, Warning;
    /// The key-value service answers again.
    StoreUp = 203, Info;
    /// The directory does not answer.
    DirectoryDown = 204, Warning;
    /// The directory answers again.
    DirectoryUp = 205, Info;
    /// The directory has forgotten the changes asked for.
    DirectoryCompacted = 206, Info;
    /// Many changes of the listings were taken at once; the dump has the names.
    ListingsChanged = 207, Info;
    /// The directory has come back from an older copy of itself: what was written there since is gone.
    DirectoryRestored = 208, Warning;
    /// An operator has drained a data hall: nothing new is sent to its upstreams.
    HallDrained = 209, Warning;
    /// A drained data hall was taken back: its upstreams are sent work again.
    HallUndrained = 210, Info;
    /// No peer was heard in time that knows settings and listings: this VM reads the directory itself.
    NoPeerSettings = 211, Info;
    /// A VM joined the members.
    PeerUp = 300, Info;
    /// A VM is no longer heard.
    PeerDown = 301, Warning;
    /// A VM says that it is leaving.
    PeerLeaving = 302, Info;
    /// A message of a peer cannot be read.
    MessageUnreadable = 303, Warning;
    /// What a peer knows could not be read from it.
    PeerReadFailed = 304, Warning;
    /// A VM that places requests does not answer; the next one is asked.
    SchedulerTimeout = 305, Warning;
    /// Another VM places the requests of this one from now on.
    SchedulerChanged = 306, Info;
    /// An upstream is leaving and gets no new work.
    UpstreamLeaving = 400, Info;
    /// An upstream does not answer its report.
    UpstreamDown = 401, Warning;
    /// An upstream answers again.
    UpstreamUp = 402, Info;
    /// An upstream is listed, or listed anew.
    UpstreamListed = 403, Info;
    /// An upstream is no longer listed.
    UpstreamGone = 404, Info;
    /// Memory that is set aside at an engine could not be renewed at once.
    RenewalFailed = 405, Warning;
    /// Memory that is set aside at an engine could not be given back; it lapses by itself.
    ReleaseFailed = 406, Warning;
    /// An engine works slower than its figures say, or no longer does.
    UpstreamSlowdown = 407, Info;
    /// An engine answered what is no report; what was known of it stays.
    ReportUnreadable = 408, Warning;
    /// An upstream has started again under its id: all that was known of the start before is over.
    UpstreamRestarted = 409, Info;
    /// An entry in the directory is another writer's, or cannot be read: it names nothing to use.
    EntryUnreadable = 410, Warning;
    /// An upstream asked this VM for a rest and gets nothing from it until that is over.
    UpstreamBackoff = 411, Info;
    /// An upstream has named, changed or ended its rate limit, or named one that cannot be read.
    UpstreamRateLimited = 412, Info;
    /// A request was admitted.
    Admitted = 500, Debug;
    /// A request waits.
    Queued = 501, Debug;
    /// A request was routed to an upstream.
    Routed = 502, Debug;
    /// A request was moved to another upstream before it ran.
    Moved = 503, Info;
    /// A request was refused.
    Rejected = 504, Info;
    /// A request was sent again after a failure.
    Retried = 505, Info;
    /// An answer goes on at another upstream, or at another VM.
    Resumed = 506, Info;
    /// A request ended with its whole answer.
    Finished = 507, Debug;
    /// A request ended without its whole answer.
    Failed = 508, Warning;
    /// A claim of an idempotency key was written, or found taken.
    Claimed = 509, Debug;
    /// A group of engines was held, or given back.
    Reserved = 510, Debug;
    /// An upstream ended under a request.
    Crashed = 511, Warning;
    /// A request is kept from all upstreams, since one ended that it had to itself.
    Quarantined = 512, Warning;
    /// A request under which upstreams had ended was answered, or let go.
    Cleared = 513, Info;
    /// The directory did not take at once what this VM has to write there.
    WriteFailed = 514, Warning;
    /// An answer was given up: its caller reads slowly, and answers that wait to be read took too much memory.
    ResponseAborted = 515, Warning;
    /// A request was not sent again after a failure: no upstream takes it, or the fleet's retry budget is spent.
    NotRetried = 516, Info;
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{}", self.number())
    }
}
