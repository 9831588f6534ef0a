//! At-most-once register of requests that must not be repeated, without an outside store.
//!
//! Before the first byte of a once-only request goes to a target, its home claims the request's
//! [`Identity`] at a majority of a few entries, the identity's replicas. Two majorities share a
//! replica, so of two claims at most one is granted; a second round confirms that the replicas
//! still hold the claim together, which a restart in between would belie. The winner records the outcome at the
//! replicas; a resend through any entry learns it from them.
//!
//! [`Register`] is the replica's state machine and [`Claim`] the claimant's; [`Membership`] says
//! which entries replicate an identity. The design note `docs/design/once-only.md` holds the proof
//! of the quorum arithmetic under restarts.

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

/// Longest answer that a record keeps whole, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 8 * 1024;

/// One attempt of an entry to claim an identity; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The claimant.
    pub node: Node,
    /// Life of the claimant.
    pub incarnation: Incarnation,
    /// Number within that life.
    pub serial: u64,
}

/// An answer kept for a resend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the content-type header; empty if there was none.
    pub content_type: String,
    /// BLAKE3 digest of the body, its first 16 bytes.
    pub digest: [u8; 16],
    /// The body, if it has at most [`MAX_STORED_BODY_BYTES`] bytes.
    pub body: Option<Vec<u8>>,
}

impl StoredAnswer {
    /// Answer with its digest; a long body is left out.
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

/// What is known of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Claimed; it may run now, or its claimant may have died.
    Running,
    /// It ran and this is its answer.
    Answered(StoredAnswer),
    /// It was sent and what became of it cannot be known.
    Unknown,
}

/// Record of one identity at a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The claim that holds the identity.
    pub claim: ClaimId,
    /// What is known of the request.
    pub progress: Progress,
}

/// Record with its identity and remaining life, as a restarted replica reads it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Identity of the request.
    pub identity: Identity,
    /// Its record.
    pub record: Record,
    /// Whether another claim that may not be granted either was seen for the identity.
    pub has_conflict: bool,
    /// Time until the record expires, in milliseconds.
    pub ttl_ms: u64,
}

/// Message to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterRequest {
    /// Claims the identity.
    Claim {
        /// Identity of the request.
        identity: Identity,
        /// The claim.
        claim: ClaimId,
    },
    /// Asks whether the claim still holds the identity in the life that granted it.
    Confirm {
        /// Identity of the request.
        identity: Identity,
        /// The claim.
        claim: ClaimId,
        /// Life of the replica that granted it.
        incarnation: Incarnation,
    },
    /// Records what became of the request; only a granted claim may send it.
    Record {
        /// Identity of the request.
        identity: Identity,
        /// The granted claim.
        claim: ClaimId,
        /// What is known now.
        progress: Progress,
    },
    /// Gives the claim up: its request certainly did not run.
    Release {
        /// Identity of the request.
        identity: Identity,
        /// The claim.
        claim: ClaimId,
    },
    /// Asks for the records that a restarted replica must know.
    Read {
        /// Life of the reader.
        incarnation: Incarnation,
        /// Last identity of the page before.
        after: Option<Identity>,
    },
}

/// Answer of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterReply {
    /// The claim holds the identity here.
    Granted {
        /// The claim.
        claim: ClaimId,
        /// Life of the replica.
        incarnation: Incarnation,
    },
    /// The claim has held the identity here since it was granted.
    Confirmed {
        /// The claim.
        claim: ClaimId,
    },
    /// Another claim holds the identity here.
    Held {
        /// The claim that was asked for.
        claim: ClaimId,
        /// The record that stands in its way.
        record: Record,
    },
    /// The replica restarted and has not read enough yet, is full, or gave the claim up before.
    NotReady {
        /// The claim that was asked for.
        claim: ClaimId,
    },
    /// The record or the release was taken in.
    Done {
        /// The claim.
        claim: ClaimId,
    },
    /// Records from the cursor on.
    Page {
        /// Life of the replica that answers.
        incarnation: Incarnation,
        /// Life of the reader that is answered.
        reader_incarnation: Incarnation,
        /// Cursor that is answered.
        after: Option<Identity>,
        /// The records, in order of identity.
        records: Vec<PageRecord>,
        /// Whether this is the last page.
        is_last: bool,
        /// Replicas whose records this one has not read itself.
        unread_replicas: Vec<Node>,
    },
}
