//! Figures of a run, as a table and as JSON.

use super::DemoOptions;
use serde::Serialize;

/// Figures of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DemoFigures {
    /// Requests sent.
    pub sent: u64,
    /// Requests with their own whole answer.
    pub answered: u64,
    /// Requests refused and not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Answers that were wrong or mixed.
    pub wrong: u64,
    /// Once-only requests that ran twice.
    pub run_twice: u64,
    /// Median latency of the answered ones, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of latency, in milliseconds.
    pub p999_ms: f64,
    /// Most requests for each slot of an unharmed target, over the mean.
    pub imbalance: f64,
    /// Changes of owner for each key.
    pub churn: f64,
    /// Time for which sampled keys were unavailable, summed, in milliseconds.
    pub unavailable_ms: f64,
    /// The same for the worst key.
    #[serde(rename = "worst_unavailable_ms")]
    pub worst_ms: f64,
    /// Requests that came to a cold target beyond what it bears; in the table only.
    #[serde(skip)]
    pub over: u64,
}

impl DemoFigures {
    /// Whether every request has an outcome, none is wrong and none ran twice.
    pub fn passed(&self) -> bool {
        let outcomes = self.answered + self.not_run + self.unknown + self.wrong;
        outcomes == self.sent && self.wrong == 0 && self.run_twice == 0
    }

    /// One JSON object.
    pub fn json(&self) -> String {
        serde_json::to_string(self).expect("figures serialize")
    }

    /// Table for a screen of 48 columns.
    pub fn table(&self, options: &DemoOptions) -> String {
        let title = format!(
            "{}, fault {}, {}",
            options.workload.name(),
            options.fault.name(),
            options.policy.name(),
        );
        let verdict = if self.passed() { "passed" } else { "FAILED" };
        let rows = [
            ("seed", options.seed.to_string()),
            ("sent", self.sent.to_string()),
            ("answered", self.answered.to_string()),
            ("refused, not run", self.not_run.to_string()),
            ("outcome unknown", self.unknown.to_string()),
            ("wrong or mixed answers", self.wrong.to_string()),
            ("once-only run twice", self.run_twice.to_string()),
            ("p50", format!("{:.1} ms", self.p50_ms)),
            ("p99", format!("{:.1} ms", self.p99_ms)),
            ("p99.9", format!("{:.1} ms", self.p999_ms)),
            ("load, max over mean", format!("{:.2}", self.imbalance)),
            ("keys moved", format!("{:.1} %", self.churn * 100.0)),
            ("keys unavailable", format!("{:.0} ms", self.unavailable_ms)),
            ("worst key", format!("{:.0} ms", self.worst_ms)),
            ("cold targets overloaded", self.over.to_string()),
            ("verdict", verdict.to_owned()),
        ];
        let mut table = format!("{title}\n");
        for (name, value) in rows {
            table.push_str(&format!("  {name:<24}{value:>20}\n"));
        }
        table
    }
}
