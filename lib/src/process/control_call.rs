//! Calls of targets and operators to the core hosts of a seeded fleet, and the replies.
//!
//! Every core host accepts calls; a follower forwards them to the leader. A link between two hosts may
//! hold a call up for seconds. Meanwhile its sender is told that nobody answers, goes on to another
//! host and may send the opposite there, so a call takes effect before its sender gives up or never.

use crate::{
    connection::heartbeat::{Heartbeat, Lease},
    moment::Moment,
    name::{Incarnation, Target, Zone},
    version::desired::{Change, DesiredState},
};
use serde::{Deserialize, Serialize};

/// Parsed call of a target or an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCall {
    /// Heartbeat of a target, which renews its lease.
    Heartbeat(Heartbeat),
    /// Leave message of a target, with its incarnation if the message names it.
    Leave(Target, Option<Incarnation>),
    /// Change of the desired state by an operator.
    Change(Change),
    /// Request of an operator for the desired state.
    Read,
    /// Takes a zone out of service.
    ZoneOut(Zone),
    /// Takes a zone back into service.
    ZoneIn(Zone),
}

/// Call as its sender made it.
#[derive(Debug)]
pub struct ReceivedCall {
    /// The call.
    pub call: ControlCall,
    /// Whether it is a heartbeat that does not say which keys its target holds. Such a heartbeat is
    /// whole only for a service without keys.
    pub keyless: bool,
}

impl From<ControlCall> for ReceivedCall {
    fn from(call: ControlCall) -> Self {
        ReceivedCall {
            call,
            keyless: false,
        }
    }
}

/// Until when the sender of a call waits for the reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallDeadline {
    /// Until this moment of the clock of the host that has the call.
    At(Moment),
    /// Not known, as a core host of an earlier release passed the call on.
    Unknown,
}

impl CallDeadline {
    /// Whether the sender is known to have given up.
    pub fn has_passed(self, now: Moment) -> bool {
        match self {
            CallDeadline::At(deadline) => now >= deadline,
            CallDeadline::Unknown => false,
        }
    }
}

impl ControlCall {
    /// Whether the call may take effect now. One that comes too late had no effect and never will.
    pub fn is_timely(&self, deadline: CallDeadline, now: Moment) -> bool {
        match (deadline, self) {
            (CallDeadline::At(_), _) => !deadline.has_passed(now),
            // A heartbeat has a serial number, and may be late on its way to any host.
            (CallDeadline::Unknown, ControlCall::Heartbeat(_) | ControlCall::Read) => true,
            (
                CallDeadline::Unknown,
                ControlCall::Leave(..)
                | ControlCall::Change(_)
                | ControlCall::ZoneOut(_)
                | ControlCall::ZoneIn(_),
            ) => false,
        }
    }

    /// Name of the call in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            ControlCall::Heartbeat(_) => "heartbeat",
            ControlCall::Leave(..) => "leave",
            ControlCall::Change(_) => "change",
            ControlCall::Read => "read",
            ControlCall::ZoneOut(_) => "zone-out",
            ControlCall::ZoneIn(_) => "zone-in",
        }
    }
}

/// Reply to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The requested change is committed.
    Done,
    /// Reply to a heartbeat; without a lease, the heartbeat renewed nothing.
    Lease(Option<Lease>),
    /// The whole desired state.
    Desired(DesiredState),
    /// The call is invalid for this reason and had no effect.
    Refused(String),
    /// There is no leader, or the outcome is unknown; the caller should retry.
    Unavailable,
}
