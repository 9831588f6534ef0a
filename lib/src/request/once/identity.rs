//! Identity of a once-only request.

use crate::{moment::Moment, name::Service};
use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// Digest that two sendings of one once-only request share.
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

    /// Digest of parts, each preceded by its length so that no two lists of parts collide.
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

/// Identities derived for once-only requests that carry no idempotency key.
///
/// Equal requests (customer, route, body) within the window count as one. Time is cut into windows
/// and a request belongs to the window it arrives in; an equal request in the window before counts
/// as the same too, so both identities must be claimed. The cut is the same on every entry up to
/// the spread of their wall clocks, by which the window should be longer than a user's second press.
pub mod repeat_window {
    use super::{Duration, Identity, Moment, Service};

    /// What makes two requests without an idempotency key equal.
    #[derive(Debug, Clone, Copy)]
    pub struct RequestContent<'a> {
        /// Service of the request.
        pub service: &'a Service,
        /// Customer key.
        pub customer: &'a str,
        /// Method and path.
        pub route: &'a str,
        /// BLAKE3 digest of the body.
        pub body: &'a [u8; 32],
    }

    /// Identities of a press: that of its window and that of the window before.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub struct WindowIdentities {
        /// Identity to claim second, whose record keeps the outcome.
        pub current: Identity,
        /// Identity to claim first.
        pub previous: Identity,
    }

    /// Identities of a press at `wall`, time since the Unix epoch as a moment; `None` if the
    /// window is off.
    pub fn derive(
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
