//! Updates of the catalog that the replicated log of a seeded fleet carries, and their results.

use super::{KeySpan, TargetId, TargetRecord};
use crate::{
    name::{Incarnation, Service, Target, Zone},
    version::{
        desired::{Change, ChangeError},
        suspect_records::RecordsUpdate,
    },
};
use serde::{Deserialize, Serialize};

/// Assignment of a key span to a new owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanGrant {
    /// Keys to assign.
    pub span: KeySpan,
    /// Owner of all the keys at the time of the proposal. The grant changes nothing if the owner is
    /// another by now.
    pub former: Option<TargetId>,
    /// New owner of the keys.
    pub owner: TargetId,
    /// Former owner's proof that it handed the keys over; empty without one.
    pub handover: String,
}

/// One update of the catalog in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// An operator's change of the desired state.
    Desired(Change),
    /// A zone is taken out of service; its targets get no new requests.
    ZoneOut(Zone),
    /// A zone is put back in service.
    ZoneIn(Zone),
    /// An incarnation of a target joins, in place of an earlier one with its name or at its
    /// address.
    Join(TargetRecord),
    /// A target asked to leave.
    Leave(TargetId),
    /// An incarnation of a target has ended.
    Remove(TargetId),
    /// Spans begin to move to new owners; their current owners are asked to release them.
    Move {
        /// Service that the keys belong to.
        service: Service,
        /// Spans to move, each with its new owner.
        spans: Vec<(KeySpan, TargetId)>,
    },
    /// Spans that no target holds any more get owners.
    Assign {
        /// Service that the keys belong to.
        service: Service,
        /// Spans with their new owners.
        grants: Vec<SpanGrant>,
    },
    /// Findings about requests that end targets. Only core hosts take it in, from level
    /// [`RECORDS`](crate::version::wire_level::WireLevel::RECORDS) on.
    Suspects(RecordsUpdate),
    /// An incarnation has left, and with it all earlier ones of its name. The catalog may not have it
    /// yet. Only core hosts take it in, from level
    /// [`DEPARTURES`](crate::version::wire_level::WireLevel::DEPARTURES) on.
    Depart(Target, Incarnation),
    /// Departures of incarnations whose heartbeats arrive no more are forgotten.
    Forget(Vec<(Target, Incarnation)>),
}

impl Update {
    /// Whether entries take it in.
    pub fn is_for_entries(&self) -> bool {
        !matches!(
            self,
            Update::Suspects(_) | Update::Depart(..) | Update::Forget(_)
        )
    }
}

/// Result of applying an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The update was applied.
    Changed {
        /// Number of items that changed; 0 if an operator's change was in force already.
        items: usize,
    },
    /// A target joined and got this number.
    Joined(TargetId),
    /// The update no longer fits the state and changed nothing.
    Unchanged,
    /// The operator's change is invalid; no part of it took effect.
    Refused(ChangeError),
}
