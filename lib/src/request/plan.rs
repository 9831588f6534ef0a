//! Where an entry takes a request next.

use super::outcome::RefusalReason;
use crate::{
    key::KeyHash,
    name::Node,
    process::settings::Sending,
    version::fleet::{Fleet, Route},
};
use std::time::Duration;

/// What an entry knows of itself when it plans.
#[derive(Debug, Clone, Copy)]
pub struct EntryState {
    /// This entry.
    pub node: Node,
    /// Whether its lease holds, so that its copy of the fleet's state is current.
    pub has_lease: bool,
    /// Who sends requests to a target.
    pub sending: Sending,
}

/// The next step for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// This entry sends it to a target.
    Send,
    /// Another entry sends it to a target.
    Forward(Node),
    /// Nobody may send it now; a change of the fleet's state is due.
    Wait,
    /// It cannot be served.
    Refuse(RefusalReason),
}

/// Plans the next step of a request for the key with `hash` of `service`.
pub fn plan(fleet: &Fleet, entry: EntryState, service: &str, hash: KeyHash) -> Plan {
    if !entry.has_lease {
        return Plan::Refuse(RefusalReason::Stale);
    }
    match fleet.route(service, hash) {
        Route::Keyed { home, .. } | Route::Pool { home } => send_or_forward(entry, home),
        Route::Unserved => Plan::Wait,
        Route::Unknown => Plan::Refuse(RefusalReason::NoService),
    }
}

fn send_or_forward(entry: EntryState, home: Node) -> Plan {
    match entry.sending {
        Sending::Direct => Plan::Send,
        Sending::Home if home == entry.node => Plan::Send,
        Sending::Home => Plan::Forward(home),
    }
}

/// Pause after which a caller may come back, by the time that the cause usually lasts.
pub fn retry_delay(reason: RefusalReason) -> Duration {
    let millis = match reason {
        RefusalReason::BadRequest | RefusalReason::NoService => 60_000,
        RefusalReason::Quarantined => 30_000,
        RefusalReason::Stale | RefusalReason::NoRecord | RefusalReason::EntryFailed => 1_000,
        RefusalReason::NoOwner | RefusalReason::Shutdown => 500,
        RefusalReason::TargetFailed | RefusalReason::Repeated => 1_000,
        RefusalReason::Overload | RefusalReason::Deadline => 250,
    };
    Duration::from_millis(millis)
}
