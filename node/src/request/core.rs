//! What the tasks of all requests share: handles to the tasks that own the state.

use super::{flights::Flights, home_handle::HomeHandle};
use crate::{
    connection::peer::PeerLink,
    process::{clock::Clock, register::RegisterHandle},
    version::view::View,
};
use cornelrail_lib::{
    moment::Moment,
    name::{Incarnation, Node},
    process::settings::Settings,
    request::{
        outcome::{Refusal, RefusalReason},
        plan::{self, EntryState},
    },
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// Handles that a request needs on its way.
#[derive(Debug, Clone)]
pub struct Core {
    /// Settings of this entry.
    pub settings: Arc<Settings>,
    /// Clock of the process.
    pub clock: Clock,
    /// This entry's copy of the fleet's state.
    pub view: watch::Receiver<View>,
    /// Task that commands the targets whose home this entry is.
    pub home: HomeHandle,
    /// Links to the other entries.
    pub peers: Arc<BTreeMap<Node, PeerLink>>,
    /// This life of the entry.
    pub incarnation: Incarnation,
    /// This entry's replica of the once-only register.
    pub register: RegisterHandle,
    /// Number of the next request.
    pub ids: Arc<AtomicU64>,
    /// Requests of other entries that this one still answers.
    pub flights: Flights,
    /// Room for open requests.
    pub room: Arc<Semaphore>,
}

impl Core {
    /// What this entry knows of itself at this moment.
    pub fn standing(&self, view: &View) -> EntryState {
        EntryState {
            node: self.settings.node,
            has_lease: self.clock.now() < view.until,
            sending: self.settings.sending,
        }
    }

    /// A number that no other request of the fleet has.
    pub fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    /// Room for one more open request, or its refusal.
    pub fn admit(&self) -> Result<OwnedSemaphorePermit, Refusal> {
        let reason = RefusalReason::Overload;
        let room = self.room.clone().try_acquire_owned();
        room.map_err(|_| Refusal::not_run(reason, plan::retry_delay(reason)))
    }

    /// Time since the Unix epoch.
    pub fn wall_clock(&self) -> Moment {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Moment::ZERO + since.unwrap_or_default()
    }

    /// Waits until the fleet's state says that `node` has lost its lease.
    pub async fn home_lost(&self, node: Node) {
        let mut view = self.view.clone();
        let is_lost = |view: &View| {
            let entry = view.fleet.entries.get(&node);
            entry.is_none_or(|entry| !entry.alive)
        };
        if view.wait_for(is_lost).await.is_err() {
            // The daemon is stopping, and the request ends by itself.
            std::future::pending::<()>().await;
        }
    }
}
