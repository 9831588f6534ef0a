//! Commands that the controller is about to propose, with the state that they would make.

use super::{
    command::Command,
    fleet::{Applied, Fleet},
};
use std::borrow::Cow;

/// The fleet as it would be after the commands so far; copied only when there are any.
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

    pub(super) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Adds a command unless it would change nothing; true if it was added.
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
