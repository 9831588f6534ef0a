//! What lives for one request.

pub mod body;
pub mod claim;
pub mod core;
pub mod exchange;
pub mod flights;
pub mod forward;
pub mod front;
pub mod home;
pub mod home_handle;
mod home_targets;
pub mod message;
pub mod proxy;
pub mod proxy_body;
pub mod route;
pub mod serve;
mod tally;
