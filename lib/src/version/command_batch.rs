//! Commands that the controller is about to propose, and the fleet state that they lead to.

use super::{
    command::Command,
    fleet::{Applied, Fleet},
};
use std::borrow::Cow;

/// Collects commands and applies each to a copy of the fleet, so that later decisions of one tick
/// build on earlier ones. The fleet is cloned only when the first command is added.
#[derive(Debug)]
pub(super) struct CommandBatch<'a> {
    fleet: Cow<'a, Fleet>,
    commands: Vec<Command>,
}

impl<'a> CommandBatch<'a> {
    pub(super) fn new(fleet: &'a Fleet) -> Self {
        CommandBatch {
            fleet: Cow::Borrowed(fleet),
            commands: Vec::new(),
        }
    }

    /// Fleet state after the commands added so far.
    pub(super) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Adds a command unless it would change nothing. Returns whether it was added.
    pub(super) fn push(&mut self, command: Command) -> bool {
        let index = self.fleet.index + 1;
        let changed = self.fleet.to_mut().apply(index, &command) == Applied::Done;
        if changed {
            self.commands.push(command);
        }
        changed
    }

    pub(super) fn into_commands(self) -> Vec<Command> {
        self.commands
    }
}
