//! Stand-ins for targets, callers and links.
