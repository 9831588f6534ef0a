//! Numbered events that the daemon logs.
//!
//! A number is never reused. `docs/EVENTS.md` explains each event and what an operator should do
//! about it; a test checks that numbers, names and severities there match this file.

/// Severity of an event, which decides whether the log level lets it through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// An operator has to act.
    Error,
    /// An operator should look into it, but not at once.
    Warn,
    /// Normal operation.
    Info,
    /// Details for developers.
    Debug,
}

macro_rules! events {
    ($($(#[$doc:meta])* $event:ident = $number:literal, $severity:ident, $name:literal;)*) => {
        /// Event that the daemon logs under its own number.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $($(#[$doc])* $event,)*
        }

        impl Event {
            /// All events in the order of their numbers.
            pub const ALL: &'static [Event] = &[$(Event::$event,)*];

            /// Number of the event, which is never reused.
            pub fn number(self) -> u16 {
                match self {
                    $(Event::$event => $number,)*
                }
            }

            /// Severity with which the event is logged.
            pub fn severity(self) -> Severity {
                match self {
                    $(Event::$event => Severity::$severity,)*
                }
            }

            /// Name of the event in the log.
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
    /// The daemon accepts no new requests and finishes the open ones.
    Stopping = 2, Info, "stopping";
    /// The daemon has shut down cleanly.
    Stopped = 3, Info, "stopped";
    /// The settings were read and are valid.
    SettingsLoaded = 4, Info, "settings-loaded";
    /// The daemon cannot start; the message names the remedy.
    StartFailed = 5, Error, "start-failed";
    /// Another process listens on an address of the settings.
    AddressInUse = 6, Error, "address-in-use";
    /// The settings file changed but could not be read; the previous settings stay in force.
    ReloadFailed = 7, Warn, "reload-failed";
    /// The log has a new leader, or this entry no longer knows a leader.
    LeaderChanged = 10, Info, "leader-changed";
    /// An entry joined or returned.
    EntryUp = 11, Info, "entry-up";
    /// The lease of an entry expired.
    EntryLost = 12, Warn, "entry-lost";
    /// A voter was added or removed.
    VotersChanged = 13, Info, "voters-changed";
    /// A peer was refused: it has no key of this fleet, or uses another format.
    PeerRefused = 14, Warn, "peer-refused";
    /// The lease of this entry expired: it commands no targets and starts no new requests.
    LeaseLapsed = 15, Warn, "lease-lapsed";
    /// This entry holds a lease again after its lease had expired.
    LeaseRegained = 16, Info, "lease-regained";
    /// This entry follows the catalog feed of a leader.
    LeaderFollowed = 17, Info, "leader-followed";
    /// This entry lost its leader and continues with its catalog replica.
    LeaderLost = 18, Warn, "leader-lost";
    /// A command was not accepted into the log, or its outcome is unknown.
    ProposalFailed = 19, Warn, "proposal-failed";
    /// A target was admitted.
    TargetAdmitted = 20, Info, "target-admitted";
    /// The announcement of a target was rejected.
    TargetRejected = 21, Warn, "target-rejected";
    /// A target was lost; its ranges move to other targets.
    TargetLost = 22, Warn, "target-lost";
    /// A target has left and owns no ranges any more.
    TargetDrained = 23, Info, "target-drained";
    /// A target was assigned another home.
    TargetRehomed = 24, Info, "target-rehomed";
    /// A slow target was ejected and temporarily receives no new requests.
    TargetEjected = 25, Warn, "target-ejected";
    /// An ejected target receives requests again.
    TargetReturned = 26, Info, "target-returned";
    /// A target asked to leave.
    TargetLeaving = 27, Info, "target-leaving";
    /// The leader no longer confirms the catalog replica of this entry.
    ReplicaBehind = 28, Warn, "replica-behind";
    /// The leader confirms the catalog replica of this entry again.
    ReplicaCurrent = 29, Info, "replica-current";
    /// The move of a range began.
    MoveBegun = 30, Info, "move-begun";
    /// The move of a range ended; it has its new owner.
    MoveEnded = 31, Info, "move-ended";
    /// A range was split.
    RangeSplit = 32, Info, "range-split";
    /// Messages wait for entries: the leader sends more than a link carries.
    FeedDelayed = 33, Warn, "feed-delayed";
    /// This entry reaches no target by its own links; its requests go by way of other entries.
    LinksLost = 34, Warn, "links-lost";
    /// This entry reaches targets by its own links again.
    LinksBack = 35, Info, "links-back";
    /// A release note was accepted.
    NoteAccepted = 40, Info, "note-accepted";
    /// A release note was refused.
    NoteRefused = 41, Warn, "note-refused";
    /// A release note conflicts with another one that made the same version.
    NoteConflict = 42, Warn, "note-conflict";
    /// Every live entry has confirmed the version that a note made.
    NoteInForce = 43, Info, "note-in-force";
    /// A request to the operators' address had no valid token.
    OperatorRefused = 44, Warn, "operator-refused";
    /// Items of the desired state changed.
    DesiredChanged = 45, Info, "desired-changed";
    /// A change of the desired state was refused; no part of it is in force.
    DesiredRefused = 46, Warn, "desired-refused";
    /// A zone was taken out of service; its targets are evacuated.
    ZoneOut = 47, Info, "zone-out";
    /// A zone was taken back into service.
    ZoneIn = 48, Info, "zone-in";
    /// A call of a target or an operator could not be parsed or was invalid.
    CallRefused = 49, Warn, "call-refused";
    /// A record before the end of the log is damaged.
    StoreDamaged = 50, Error, "store-damaged";
    /// An incomplete record at the end of the log was removed after a crash.
    TornTail = 51, Warn, "torn-tail";
    /// Writing to the data folder failed.
    StoreFailed = 52, Error, "store-failed";
    /// A snapshot was written.
    SnapshotTaken = 53, Info, "snapshot-taken";
    /// A snapshot from the leader replaced the local state.
    SnapshotInstalled = 54, Info, "snapshot-installed";
    /// The data folder is empty or from another incarnation: this voter rejoins as a learner.
    DiskReplaced = 55, Warn, "disk-replaced";
    /// The data folder takes writes again after it had failed.
    StoreRecovered = 56, Info, "store-recovered";
    /// Voters do not answer, so that the group bears fewer losses than its size allows.
    VotersSilent = 57, Warn, "voters-silent";
    /// All voters answer again.
    VotersWhole = 58, Info, "voters-whole";
    /// A call arrived after its sender had given up and was dropped.
    CallExpired = 59, Info, "call-expired";
    /// A request that crashed targets was quarantined: every entry refuses it.
    RequestQuarantined = 60, Warn, "request-quarantined";
    /// The quarantine of a request was lifted.
    QuarantineLifted = 61, Info, "quarantine-lifted";
    /// A request was refused; the metrics count these as well.
    RequestRefused = 62, Debug, "request-refused";
    /// A request was refused, or answered late or with an error status.
    RequestEnded = 63, Info, "request-ended";
    /// A request is retried at a further target.
    RequestResent = 64, Info, "request-resent";
    /// Log lines were dropped because the reader of the log is too slow.
    LinesDropped = 65, Warn, "lines-dropped";
    /// A target named a limit on the rate of its requests, or another one than before.
    TargetLimited = 66, Info, "target-limited";
    /// A target names no limit any more.
    LimitEnded = 67, Info, "limit-ended";
    /// The connection to a target broke while the target may have run a request.
    ConnectionBroke = 68, Info, "connection-broke";
    /// A request may have ended targets and runs once at a time.
    RequestSuspected = 69, Info, "request-suspected";
    /// The trace span of one hop of a request ended.
    SpanEnded = 70, Debug, "span-ended";
    /// A request is under suspicion no more.
    SuspicionEnded = 71, Info, "suspicion-ended";
    /// A request under suspicion is sent, alone.
    TrialBegun = 72, Info, "trial-begun";
    /// A target asked this entry for a pause.
    TargetPaused = 73, Info, "target-paused";
    /// A target said in an answer that it leaves.
    LeavingHeard = 74, Info, "leaving-heard";
    /// A request was written to a target within a pause that it had asked this entry for.
    SentInPause = 75, Warn, "sent-in-pause";
    /// Requests of a service begin to leave the zone of this entry.
    SpillBegun = 78, Info, "spill-begun";
    /// Requests of a service leave the zone of this entry no more.
    SpillEnded = 79, Info, "spill-ended";
    /// Uploads are refused since the link of this entry is full.
    LinkFull = 80, Warn, "link-full";
    /// Uploads are admitted again.
    LinkFree = 81, Info, "link-free";
    /// A caller took nothing of its response and was cut off.
    CallerStalled = 82, Info, "caller-stalled";
}

impl Event {
    /// Code of the event in the log and in `docs/EVENTS.md`, such as `CR0022`.
    pub fn code(self) -> String {
        format!("CR{:04}", self.number())
    }
}
