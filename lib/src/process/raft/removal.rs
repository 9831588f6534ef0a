//! When an unresponsive voter is removed.
//!
//! A group is meant to bear further losses while voters are unresponsive, as these may be gone for
//! good. The leader cannot tell a host that was replaced from one that is cut off, so the decision
//! rests on counts alone: with unresponsive voters counted as lost, no promotion or removal may
//! lower the number of further losses that the group bears. A voter that was removed and returns
//! joins again.

/// Voters of a group, and how many of them do not answer the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoterCount {
    /// All voters.
    pub voters: usize,
    /// Voters that do not answer.
    pub silent: usize,
}

/// When one of the silent voters is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Removal {
    /// As soon as it counts as silent.
    Soon,
    /// Once it had the time to restart.
    Late,
    /// Not while the group stays as it is.
    Never,
}

impl VoterCount {
    /// Number of voters that form a majority.
    pub fn quorum(self) -> usize {
        self.voters / 2 + 1
    }

    /// Number of further voters that the group can lose and still commit.
    pub fn bearable_losses(self) -> usize {
        let answering = self.voters.saturating_sub(self.silent);
        answering.saturating_sub(self.quorum())
    }

    /// Decides on the removal of a silent voter of a group that keeps `min_voters`.
    ///
    /// Removing one of an even number of voters costs no fault tolerance. Removing one of an odd
    /// number gains some only together with a second one.
    pub fn removal(self, min_voters: usize) -> Removal {
        let tolerated = min_voters.saturating_sub(1) / 2;
        let is_even = self.voters.is_multiple_of(2);
        match self.silent {
            0 => Removal::Never,
            _ if self.voters <= min_voters => Removal::Never,
            _ if is_even || self.bearable_losses() < tolerated => Removal::Soon,
            1 => Removal::Never,
            _ => Removal::Late,
        }
    }
}
