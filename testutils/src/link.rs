//! Links between two processes that delay, cut and thin their traffic.
