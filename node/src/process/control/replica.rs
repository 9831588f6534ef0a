//! This entry's copy of the replicated state, with the latest commands and their results.

use crate::process::protocol::{LeaseGrant, Logged};
use cornelrail_lib::version::{
    command::Command,
    fleet::{Applied, Fleet},
};
use std::{collections::VecDeque, sync::Arc};

/// Commands kept for entries that lag behind.
const COMMANDS_KEPT: usize = 4_096;
/// Results kept for those who proposed the commands.
const RESULTS_KEPT: usize = 4_096;

#[derive(Debug)]
struct Outcome {
    index: u64,
    applied: Applied,
}

/// Copy of the fleet's state.
#[derive(Debug, Default)]
pub(super) struct Replica {
    fleet: Arc<Fleet>,
    commands: VecDeque<Logged>,
    results: VecDeque<Outcome>,
}

impl Replica {
    /// The state.
    pub(super) fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// Applies a command if it is the next one; true if it was.
    pub(super) fn apply(&mut self, index: u64, command: &Command) -> bool {
        if index != self.fleet.index + 1 {
            return false;
        }
        let applied = Arc::make_mut(&mut self.fleet).apply(index, command);
        self.results.push_back(Outcome { index, applied });
        self.commands.push_back(Logged {
            index,
            command: command.clone(),
        });
        if self.results.len() > RESULTS_KEPT {
            self.results.pop_front();
        }
        if self.commands.len() > COMMANDS_KEPT {
            self.commands.pop_front();
        }
        true
    }

    /// Replaces the state by a later snapshot; true if it was later.
    pub(super) fn install(&mut self, bytes: &[u8]) -> Result<bool, postcard::Error> {
        let fleet: Fleet = postcard::from_bytes(bytes)?;
        if fleet.index <= self.fleet.index {
            return Ok(false);
        }
        self.fleet = Arc::new(fleet);
        self.commands.clear();
        Ok(true)
    }

    /// The state as a snapshot.
    pub(super) fn snapshot(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self.fleet.as_ref())
    }

    /// What became of the command at `index`, if it is known still.
    pub(super) fn result(&self, index: u64) -> Option<&Applied> {
        let first = self.results.front()?.index;
        let place = index.checked_sub(first)?;
        let outcome = self.results.get(place as usize)?;
        (outcome.index == index).then_some(&outcome.applied)
    }

    /// What an entry that has applied the log up to `applied` lacks.
    pub(super) fn missing(&self, applied: u64, lease: std::time::Duration) -> LeaseGrant {
        let latest = self.fleet.index;
        let mut grant = LeaseGrant {
            lease,
            latest,
            snapshot: None,
            commands: Vec::new(),
        };
        if applied >= latest {
            return grant;
        }
        match self.commands.front() {
            Some(first) if first.index <= applied + 1 => {
                let skipped = (applied + 1 - first.index) as usize;
                grant.commands = self.commands.iter().skip(skipped).cloned().collect();
            }
            _ => grant.snapshot = self.snapshot().ok(),
        }
        grant
    }
}
