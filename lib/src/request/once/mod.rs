//! Register that makes once-only requests run at most once, without an external store.
//!
//! Before the home of a target sends the first byte of a once-only request, it claims the request's
//! [`Identity`] at a majority of the identity's replicas, a small set of entries. Two majorities of
//! a set share a replica, so of two claims at most one is granted. A replica that restarts forgets
//! the claims it granted, so a second round confirms that the majority still holds the claim. The
//! claimant then records the outcome at the replicas, and a resend through any entry finds it
//! there.
//!
//! [`Register`] is the state machine of a replica and [`Claim`] that of a claimant; [`Membership`]
//! selects the entries that replicate an identity. The design note `docs/design/once-only.md`
//! proves that the quorums still intersect when replicas restart.

mod claim;
mod identity;
mod membership;
mod register;

pub use claim::{AddressedRequest, Claim, ClaimState};
pub use identity::{Identity, repeat_window};
pub use membership::{Membership, quorum};
pub use register::{Register, RegisterConfig, StartKind};

use crate::name::{Incarnation, Node};
use serde::{Deserialize, Serialize};

/// Maximum size of an answer body that a record keeps, in bytes; of a longer body it keeps only the
/// digest.
pub const MAX_STORED_BODY_BYTES: usize = 8 * 1024;

/// One attempt of an entry to claim an identity; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// Entry that makes the claim.
    pub node: Node,
    /// Incarnation of that entry.
    pub incarnation: Incarnation,
    /// Serial number of the claim within the incarnation.
    pub serial: u64,
}

/// Answer of a target, kept for resends of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the content-type header; empty if there was none.
    pub content_type: String,
    /// First 16 bytes of the BLAKE3 digest of the body.
    pub digest: [u8; 16],
    /// The body, if it has at most [`MAX_STORED_BODY_BYTES`] bytes.
    pub body: Option<Vec<u8>>,
}

impl StoredAnswer {
    /// Stores an answer with the digest of its body, and the body itself unless it is too long.
    pub fn new(status: u16, content_type: &str, body: &[u8]) -> Self {
        let mut digest = [0; 16];
        digest.copy_from_slice(&blake3::hash(body).as_bytes()[..16]);
        StoredAnswer {
            status,
            content_type: content_type.to_owned(),
            digest,
            body: (body.len() <= MAX_STORED_BODY_BYTES).then(|| body.to_vec()),
        }
    }
}

/// What is known about the execution of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Claimed; it may be running, or its claimant may have died.
    Running,
    /// It ran and got this answer.
    Answered(StoredAnswer),
    /// It was sent, and whether it ran cannot be determined.
    Unknown,
}

/// Record that a replica keeps for one identity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The claim that holds the identity.
    pub claim: ClaimId,
    /// What is known about the request.
    pub progress: Progress,
}

/// Record as it is sent to a restarted replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Identity of the request.
    pub identity: Identity,
    /// The record of that identity.
    pub record: Record,
    /// Whether another claim that may be running was seen too, so that neither may be granted.
    pub has_conflict: bool,
    /// Time until the record expires, in milliseconds, rounded down.
    pub ttl_ms: u64,
}

/// Request to a replica of the register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterRequest {
    /// Claims the identity.
    Claim {
        /// Identity of the request.
        identity: Identity,
        /// The claim.
        claim: ClaimId,
    },
    /// Asks whether the claim still holds the identity and the replica has not restarted since it
    /// granted the claim.
    Confirm {
        /// Identity of the request.
        identity: Identity,
        /// The claim.
        claim: ClaimId,
        /// Incarnation in which the replica granted the claim.
        incarnation: Incarnation,
    },
    /// Records the outcome of the request; only a granted claim may send it.
    Record {
        /// Identity of the request.
        identity: Identity,
        /// The granted claim.
        claim: ClaimId,
        /// What is known about the request now.
        progress: Progress,
    },
    /// Releases the claim, because its request certainly did not run.
    Release {
        /// Identity of the request.
        identity: Identity,
        /// The claim.
        claim: ClaimId,
    },
    /// Reads a page of the records that the sender replicates too; sent after a restart.
    Read {
        /// Incarnation of the reader.
        incarnation: Incarnation,
        /// Last identity of the previous page; none for the first page.
        after: Option<Identity>,
    },
}

/// Reply of a replica to a [`RegisterRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterReply {
    /// The claim holds the identity at this replica.
    Granted {
        /// The claim.
        claim: ClaimId,
        /// Incarnation of the replica.
        incarnation: Incarnation,
    },
    /// The claim has held the identity at this replica since it was granted.
    Confirmed {
        /// The claim.
        claim: ClaimId,
    },
    /// Another claim holds the identity at this replica.
    Held {
        /// The claim of the request.
        claim: ClaimId,
        /// Record of the claim that holds the identity.
        record: Record,
    },
    /// The replica can neither grant nor confirm the claim: it has not read enough since its
    /// restart, is full, knows of conflicting claims, or has released this claim.
    NotReady {
        /// The claim of the request.
        claim: ClaimId,
    },
    /// The outcome was recorded or the claim released.
    Done {
        /// The claim.
        claim: ClaimId,
    },
    /// Page of records that follow the cursor of the read.
    Page {
        /// Incarnation of the replica that replies.
        incarnation: Incarnation,
        /// Incarnation of the reader, copied from the read.
        reader_incarnation: Incarnation,
        /// Cursor, copied from the read.
        after: Option<Identity>,
        /// The records, in order of identity.
        records: Vec<PageRecord>,
        /// Whether this is the last page.
        is_last: bool,
        /// Entries whose records the replying replica may lack: it has not read them to the end, or
        /// they lacked records of others when it did.
        unread_replicas: Vec<Node>,
    },
}
