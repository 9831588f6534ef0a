//! Numbered events of the daemon, as they stand in its log.
//!
//! A number is never reused. `docs/EVENTS.md` says of each what it means and what to do; a test
//! keeps the two alike.

/// How urgent an event is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// An operator has to act.
    Error,
    /// An operator should look when there is time.
    Warn,
    /// The ordinary course of things.
    Info,
    /// Detail for developers.
    Debug,
}

macro_rules! events {
    ($($(#[$doc:meta])* $event:ident = $number:literal, $severity:ident, $name:literal;)*) => {
        /// What happened.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $($(#[$doc])* $event,)*
        }

        impl Event {
            /// All events in the order of their numbers.
            pub const ALL: &'static [Event] = &[$(Event::$event,)*];

            /// Number of the event.
            pub fn number(self) -> u16 {
                match self {
                    $(Event::$event => $number,)*
                }
            }

            /// How urgent it is.
            pub fn severity(self) -> Severity {
                match self {
                    $(Event::$event => Severity::$severity,)*
                }
            }

            /// Name in the log.
            pub fn name(self) -> &'static str {
                match self {
                    $(Event::$event => $name,)*
                }
            }
        }
    };
}

events! {
    /// The daemon starts.
    Started = 1, Info, "started";
    /// The daemon takes no new work and finishes what it has.
    Stopping = 2, Info, "stopping";
    /// The daemon has ended in good order.
    Stopped = 3, Info, "stopped";
    /// The settings were read and found good.
    SettingsLoaded = 4, Info, "settings-loaded";
    /// The daemon cannot start; the text names the remedy.
    StartFailed = 5, Error, "start-failed";
    /// A listening address is taken by another process.
    AddressInUse = 6, Error, "address-in-use";
    /// The settings file changed but could not be read; the former settings go on.
    ReloadFailed = 7, Warn, "reload-failed";
    /// The log has a new leader, or none that this entry knows.
    LeaderChanged = 10, Info, "leader-changed";
    /// An entry joined, or came back.
    EntryUp = 11, Info, "entry-up";
    /// The lease of an entry is over.
    EntryLost = 12, Warn, "entry-lost";
    /// A voter joined the quorum, or left it.
    VotersChanged = 13, Info, "voters-changed";
    /// A process was turned away: no key of this fleet, or another format.
    PeerRefused = 14, Warn, "peer-refused";
    /// This entry commands no target and starts no new work: its lease is over.
    LeaseLapsed = 15, Warn, "lease-lapsed";
    /// This entry holds a lease again.
    LeaseRegained = 16, Info, "lease-regained";
    /// This entry follows a leader.
    LeaderFollowed = 17, Info, "leader-followed";
    /// This entry has lost its leader and goes on by the copy that it has.
    LeaderLost = 18, Warn, "leader-lost";
    /// A command was not taken into the log, or its outcome is not known.
    ProposalFailed = 19, Warn, "proposal-failed";
    /// A target was admitted.
    TargetAdmitted = 20, Info, "target-admitted";
    /// The announcement of a target was turned down.
    TargetRejected = 21, Warn, "target-rejected";
    /// A target is lost; its ranges go to others.
    TargetLost = 22, Warn, "target-lost";
    /// A target has left and owns nothing any more.
    TargetDrained = 23, Info, "target-drained";
    /// A target got another entry as its home.
    TargetRehomed = 24, Info, "target-rehomed";
    /// A slow target gets no new work for a while.
    TargetEjected = 25, Warn, "target-ejected";
    /// An ejected target gets work again.
    TargetReturned = 26, Info, "target-returned";
    /// A target asked to leave.
    TargetLeaving = 27, Info, "target-leaving";
    /// A range starts to move.
    MoveBegun = 30, Info, "move-begun";
    /// A range has its new owner.
    MoveEnded = 31, Info, "move-ended";
    /// A range was split.
    RangeSplit = 32, Info, "range-split";
    /// A release note was accepted.
    NoteAccepted = 40, Info, "note-accepted";
    /// A release note was refused.
    NoteRefused = 41, Warn, "note-refused";
    /// A release note lost to another at the same version.
    NoteConflict = 42, Warn, "note-conflict";
    /// Every live entry has confirmed a version.
    NoteInForce = 43, Info, "note-in-force";
    /// Somebody without a valid token asked at the operators' address.
    OperatorRefused = 44, Warn, "operator-refused";
    /// Items of the desired state changed.
    DesiredChanged = 45, Info, "desired-changed";
    /// An order was refused; nothing of it is in force.
    DesiredRefused = 46, Warn, "desired-refused";
    /// A zone's targets get no work any more.
    ZoneOut = 47, Info, "zone-out";
    /// A zone is in service again.
    ZoneIn = 48, Info, "zone-in";
    /// A call of a target or operator could not be read or was invalid.
    CallRefused = 49, Warn, "call-refused";
    /// A record of the log is damaged in the middle.
    StoreDamaged = 50, Error, "store-damaged";
    /// The unfinished end of the log was cut off after a crash.
    TornTail = 51, Warn, "torn-tail";
    /// The data folder cannot be written.
    StoreFailed = 52, Error, "store-failed";
    /// A snapshot was written.
    SnapshotTaken = 53, Info, "snapshot-taken";
    /// A snapshot of the leader replaced the local state.
    SnapshotInstalled = 54, Info, "snapshot-installed";
    /// The data folder is empty or of another life: this voter comes back as a learner.
    DiskReplaced = 55, Warn, "disk-replaced";
    /// A request that crashed targets is refused everywhere.
    RequestQuarantined = 60, Warn, "request-quarantined";
    /// The refusal of a request was lifted.
    QuarantineLifted = 61, Info, "quarantine-lifted";
    /// A request was refused; counted in the metrics too.
    RequestRefused = 62, Debug, "request-refused";
    /// A request got another answer than its target's, or a late one.
    RequestEnded = 63, Info, "request-ended";
    /// A request goes to a further target.
    RequestResent = 64, Info, "request-resent";
    /// Log lines were dropped, since the reader of the log is too slow.
    LinesDropped = 65, Warn, "lines-dropped";
    /// One hop of a request ended.
    SpanEnded = 70, Debug, "span-ended";
}

impl Event {
    /// Number as it stands in the log and the catalogue, such as `CR0022`.
    pub fn code(self) -> String {
        format!("CR{:04}", self.number())
    }
}
