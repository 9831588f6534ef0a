//! Choice of the service that gets the next request of a route with several backends.
//!
//! Uses smooth weighted round robin, which gives each service its share even in short runs of
//! requests.

use crate::version::desired::Backend;

/// Round robin state of one route at one entry.
#[derive(Debug, Clone, Default)]
pub struct Splitter {
    credits: Vec<i64>,
}

impl Splitter {
    /// Returns the index of the backend that gets the next request, or `None` if all weights are 0.
    pub fn select(&mut self, backends: &[Backend]) -> Option<usize> {
        self.credits.resize(backends.len(), 0);
        let total: i64 = backends.iter().map(|b| i64::from(b.weight)).sum();
        if total == 0 {
            return None;
        }
        for (credit, backend) in self.credits.iter_mut().zip(backends) {
            *credit += i64::from(backend.weight);
        }
        let weighted = (0..backends.len()).filter(|index| backends[*index].weight > 0);
        let best =
            weighted.max_by_key(|index| (self.credits[*index], std::cmp::Reverse(*index)))?;
        self.credits[best] -= total;
        Some(best)
    }
}
