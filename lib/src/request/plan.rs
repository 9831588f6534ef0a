//! Decides whether an entry of a configured fleet sends a request to a target, forwards it to the
//! target's home, waits or refuses it, from its lease and its copy of the fleet's state.

use super::outcome::RefusalReason;
use crate::{
    key::KeyHash,
    name::Node,
    process::settings::Sending,
    version::fleet::{Fleet, Route},
};
use std::time::Duration;

/// State of an entry that decides the next step of a request.
#[derive(Debug, Clone, Copy)]
pub struct EntryState {
    /// Node name of this entry.
    pub node: Node,
    /// Whether its lease is valid, which guarantees that its copy of the fleet's state is current.
    pub has_lease: bool,
    /// Whether any entry sends to a target directly or only the target's home does.
    pub sending: Sending,
}

/// Next step for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Send it from this entry to a target.
    Send,
    /// Forward it to the entry that is the home of the target.
    Forward(Node),
    /// Wait until the fleet's state changes; no entry may send it now.
    Wait,
    /// Refuse it, as it cannot be served.
    Refuse(RefusalReason),
}

/// Decides the next step of a request to `service` whose key has this `hash`.
pub fn plan(fleet: &Fleet, entry: EntryState, service: &str, hash: KeyHash) -> Plan {
    if !entry.has_lease {
        return Plan::Refuse(RefusalReason::Stale);
    }
    match fleet.route(service, hash) {
        Route::Keyed { home, .. } | Route::Pool { home } => send_or_forward(entry, home),
        Route::Unserved => Plan::Wait,
        Route::UnknownService => Plan::Refuse(RefusalReason::NoService),
    }
}

fn send_or_forward(entry: EntryState, home: Node) -> Plan {
    match entry.sending {
        Sending::Direct => Plan::Send,
        Sending::Home if home == entry.node => Plan::Send,
        Sending::Home => Plan::Forward(home),
    }
}

/// Delay after which a caller may resend a refused request: how long the cause typically lasts.
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
