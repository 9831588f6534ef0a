//! Volume of the feed to the entries, for metrics and the log.

use crate::process::logging::EventLog;
use cornelrail_lib::{moment::Moment, process::event::Event};
use std::{collections::BTreeMap, time::Duration};

/// Shortest interval between two lines about a delayed feed.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Queue length from which the feed of an entry counts as delayed.
const DELAYED_MESSAGES: usize = 16;

/// Counts what is queued for entries.
#[derive(Debug, Default)]
pub(super) struct FeedMeter {
    queued: BTreeMap<&'static str, u64>,
    line_at: Moment,
}

impl FeedMeter {
    /// Counts a message that was queued for a number of entries.
    pub(super) fn count(&mut self, kind: &'static str, length: usize, entries: usize) {
        let bytes = length as u64 * entries as u64;
        *self.queued.entry(kind).or_default() += bytes;
        metrics::counter!("cornelrail_feed_bytes_total", "message" => kind).increment(bytes);
    }

    /// Reports the lengths of the queues of all entries.
    pub(super) fn report(&mut self, now: Moment, queues: impl Iterator<Item = usize>) {
        let delayed: Vec<usize> = queues.filter(|length| *length > 1).collect();
        let longest = delayed.iter().copied().max().unwrap_or_default();
        metrics::gauge!("cornelrail_feed_waiting").set(longest as f64);
        if now.since(self.line_at) < LINE_INTERVAL {
            return;
        }
        let queued = std::mem::take(&mut self.queued);
        self.line_at = now;
        if longest >= DELAYED_MESSAGES {
            let kinds = queued.iter().map(|(kind, bytes)| format!("{kind}={bytes}"));
            let kinds: Vec<_> = kinds.collect();
            Event::FeedDelayed.log(format_args!(
                "entries={} longest={longest} {}",
                delayed.len(),
                kinds.join(" ")
            ));
        }
    }
}
