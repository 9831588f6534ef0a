//! What the tasks of all requests share: handles to the tasks that own the state.

use super::home::HomeHandle;
use crate::{connection::peer::PeerLink, process::clock::Clock, version::view::View};
use cornelrail_lib::{name::Node, process::settings::Settings, request::plan::Standing};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::sync::watch;

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
    /// Number of the next request.
    pub ids: Arc<AtomicU64>,
}

impl Core {
    /// What this entry knows of itself at this moment.
    pub fn standing(&self, view: &View) -> Standing {
        Standing {
            me: self.settings.node,
            leased: self.clock.now() < view.until,
            sending: self.settings.sending,
        }
    }

    /// A number that no other request of the fleet has.
    pub fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
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
