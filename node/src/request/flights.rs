//! Count of the forwarded requests that this entry still answers.
//!
//! A daemon that shuts down waits for them: the home task knows when a request has ended, but not
//! when the entry that forwarded it has the answer.

use std::sync::Arc;
use tokio::sync::watch;

/// The count, shared by all streams of other entries.
#[derive(Debug, Clone, Default)]
pub struct Flights {
    count: Arc<watch::Sender<u32>>,
}

/// One forwarded request; it counts until it is dropped.
#[derive(Debug)]
pub struct Flight {
    count: Arc<watch::Sender<u32>>,
}

impl Flights {
    /// Counts one more request.
    pub fn begin(&self) -> Flight {
        self.count.send_modify(|count| *count += 1);
        Flight {
            count: self.count.clone(),
        }
    }

    /// Waits until none is left.
    pub async fn ended(&self) {
        let mut count = self.count.subscribe();
        // The sender lives as long as this handle.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
