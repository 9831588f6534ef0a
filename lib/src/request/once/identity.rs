//! Identity of a once-only request, by which its resends are recognized.
//!
//! It is derived from the idempotency key of the request, or from its content and time of arrival.

use crate::{moment::Moment, name::Service};
use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// Digest that a once-only request and its resends share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity(pub u128);

impl Identity {
    /// Identity of a request that carries an idempotency key.
    pub fn from_idempotency_key(service: &Service, customer: &str, idempotency_key: &str) -> Self {
        Identity::digest(&[
            b"key",
            service.0.as_bytes(),
            customer.as_bytes(),
            idempotency_key.as_bytes(),
        ])
    }

    /// Digest of the parts, each preceded by its length so that different lists of parts cannot
    /// produce the same input.
    fn digest(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut prefix = [0; 16];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Identity(u128::from_be_bytes(prefix))
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identities of once-only requests that carry no idempotency key.
///
/// Requests with the same content (service, customer, route, body) within the repeat window count
/// as one. Time is divided into consecutive windows, and a request belongs to the window in which
/// it arrives. The same content in the previous window counts as a repeat too, so a request must
/// claim the identities of both windows. The window boundaries of two entries differ by the skew
/// of their wall clocks; the window should therefore exceed the time in which a user repeats a
/// request by at least that skew.
pub mod repeat_window {
    use super::{Duration, Identity, Moment, Service};

    /// Properties that make two requests without an idempotency key equal.
    #[derive(Debug, Clone, Copy)]
    pub struct RequestContent<'a> {
        /// Service that the request is for.
        pub service: &'a Service,
        /// Key of the customer.
        pub customer: &'a str,
        /// Method and path.
        pub route: &'a str,
        /// BLAKE3 digest of the body.
        pub body: &'a [u8; 32],
    }

    /// Identities of a request in the window in which it arrives and in the previous window.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub struct WindowIdentities {
        /// Identity to claim second; a repeat in the next window finds the outcome under it.
        pub current: Identity,
        /// Identity to claim first; a repeat in the same window finds the outcome under it.
        pub previous: Identity,
    }

    /// Derives the identities of a request that arrives at `wall_clock`, the time since the Unix
    /// epoch; `None` if `window` is zero, which disables this check.
    pub fn window_identities(
        content: &RequestContent<'_>,
        wall_clock: Moment,
        window: Duration,
    ) -> Option<WindowIdentities> {
        let window_micros = u64::try_from(window.as_micros()).ok().filter(|w| *w > 0)?;
        let window_number = wall_clock.as_micros() / window_micros;
        Some(WindowIdentities {
            current: identity(content, window_number),
            previous: identity(content, window_number.saturating_sub(1)),
        })
    }

    fn identity(content: &RequestContent<'_>, window_number: u64) -> Identity {
        Identity::digest(&[
            b"press",
            content.service.0.as_bytes(),
            content.customer.as_bytes(),
            content.route.as_bytes(),
            content.body,
            &window_number.to_be_bytes(),
        ])
    }
}
