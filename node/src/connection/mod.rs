//! What lives as long as the tie to one target or peer.

pub mod announce;
pub mod caller_acceptor;
pub mod caller_stream;
pub mod core_link;
mod deadline;
pub mod http_server;
pub mod incoming;
pub mod limited_stream;
pub mod link;
pub mod listener;
pub mod message;
pub mod paced_stream;
pub mod peer;
pub mod pipeline;
pub mod pool;
pub mod reset_stream;
pub mod target;
pub mod wire;
