//! What lives as long as one version of the fleet's state.

pub mod view;
