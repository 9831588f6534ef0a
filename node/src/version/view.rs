//! This entry's copy of the fleet's state, as its tasks see it.

use cornelrail_lib::{moment::Moment, name::Node, version::fleet::Fleet};
use std::sync::Arc;

/// Copy of the fleet's state, with how far it can be trusted.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// State as of the last applied command.
    pub fleet: Arc<Fleet>,
    /// End of this entry's lease; until then the state is current.
    pub until: Moment,
    /// The leader, as far as known.
    pub leader: Option<Node>,
}
