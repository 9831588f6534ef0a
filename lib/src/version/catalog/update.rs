//! Commands of the log of a seeded fleet, and what comes of them.

use super::{KeySpan, TargetId, TargetRecord};
use crate::{
    name::{Service, Zone},
    version::desired::{Change, ChangeError},
};
use serde::{Deserialize, Serialize};

/// A span of keys for a new owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanGrant {
    /// The keys.
    pub span: KeySpan,
    /// Owner of all of them at the time of the proposal; the grant fails if it is another.
    pub former: Option<TargetId>,
    /// The new owner.
    pub owner: TargetId,
    /// Proof of the former owner that it handed the keys over, empty without one.
    pub handover: String,
}

/// A command of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Items of the desired state.
    Desired(Change),
    /// A zone's targets get no work any more.
    ZoneOut(Zone),
    /// A zone is in service again.
    ZoneIn(Zone),
    /// A life of a target begins; an earlier one of its name or at its address is over.
    Join(TargetRecord),
    /// A target asked to leave.
    Leave(TargetId),
    /// A life of a target is over.
    Remove(TargetId),
    /// Spans are about to change their owners; the present ones are asked for them.
    Move {
        /// The service.
        service: Service,
        /// The spans, and who gets each.
        spans: Vec<(KeySpan, TargetId)>,
    },
    /// Spans that nobody holds any more get owners.
    Assign {
        /// The service.
        service: Service,
        /// The spans.
        grants: Vec<SpanGrant>,
    },
}

/// What came of an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// So many items changed; none if the order was known already.
    Changed {
        /// Number of items.
        items: usize,
    },
    /// A target joined under this number.
    Joined(TargetId),
    /// The update does not fit the state any more.
    Unchanged,
    /// The order is invalid; nothing of it is in force.
    Refused(ChangeError),
}
