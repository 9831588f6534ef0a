//! Where an entry takes a request next.

use super::outcome::Reason;
use crate::{
    key::KeyHash,
    name::Node,
    process::settings::Sending,
    version::fleet::{Fleet, Route},
};
use std::time::Duration;

/// What an entry knows of itself when it plans.
#[derive(Debug, Clone, Copy)]
pub struct Standing {
    /// This entry.
    pub me: Node,
    /// Whether its lease holds, so that its copy of the fleet's state is current.
    pub leased: bool,
    /// Who sends requests to a target.
    pub sending: Sending,
}

/// The next step for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// This entry sends it to a target.
    Here,
    /// Another entry sends it to a target.
    Forward(Node),
    /// Nobody may send it now; a change of the fleet's state is due.
    Wait,
    /// It cannot be served.
    Refuse(Reason),
}

/// Plans the next step of a request for the key with `hash` of `service`.
pub fn plan(fleet: &Fleet, standing: Standing, service: &str, hash: KeyHash) -> Plan {
    if !standing.leased {
        return Plan::Refuse(Reason::Stale);
    }
    match fleet.route(service, hash) {
        Route::Keyed { home, .. } | Route::Pool { home } => send_from(standing, home),
        Route::Unserved => Plan::Wait,
        Route::Unknown => Plan::Refuse(Reason::NoService),
    }
}

fn send_from(standing: Standing, home: Node) -> Plan {
    match standing.sending {
        Sending::Direct => Plan::Here,
        Sending::Home if home == standing.me => Plan::Here,
        Sending::Home => Plan::Forward(home),
    }
}

/// Pause after which a caller may come back, by the time that the cause usually lasts.
pub fn pause(reason: Reason) -> Duration {
    let millis = match reason {
        Reason::BadRequest | Reason::NoService => 60_000,
        Reason::Quarantined => 30_000,
        Reason::Stale | Reason::NoRecord | Reason::EntryFailed => 1_000,
        Reason::NoOwner | Reason::Shutdown => 500,
        Reason::TargetFailed | Reason::Repeated => 1_000,
        Reason::Overload | Reason::Deadline => 250,
    };
    Duration::from_millis(millis)
}
