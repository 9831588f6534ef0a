//! Record of what the stand-ins ran and were granted, against which the router is judged.

use cornelrail_lib::{
    connection::order::Grant,
    key::{KeyHash, KeyRange},
    name::{Fence, Incarnation, Service, Target},
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// One run of a request by a target.
#[derive(Debug, Clone)]
pub struct Run {
    /// Target that ran it.
    pub target: Target,
    /// Its service.
    pub service: Service,
    /// Hash of the request's key.
    pub hash: KeyHash,
    /// Identity of a once-only request.
    pub identity: Option<String>,
    /// Number that the caller chose.
    pub nonce: u64,
    /// Fence that the request came with.
    pub fence: Option<Fence>,
    /// Time left for it by its sender.
    pub left: Option<Duration>,
    /// Start of the run.
    pub start: Instant,
    /// End of the run; `None` while it lasts.
    pub end: Option<Instant>,
}

/// Time during which a target held a range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenure {
    /// Service of the range.
    pub service: Service,
    /// Holder.
    pub target: Target,
    /// Life of the holder.
    pub incarnation: Incarnation,
    /// What it held.
    pub grant: Grant,
    /// When the order arrived that granted it first.
    pub start: Instant,
    /// When its lease ends, or when it was withdrawn.
    pub end: Instant,
}

/// Counts of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests run to their end.
    pub served: u64,
    /// Requests that came while a cold target had as many as it bears.
    pub over: u64,
    /// Requests refused without being run.
    pub shed: u64,
    /// Requests whose sender went away before they were started.
    pub cancelled: u64,
    /// Slots of the target.
    pub slots: u32,
}

#[derive(Debug, Default)]
struct Book {
    runs: Vec<Run>,
    tenures: Vec<Tenure>,
    counts: BTreeMap<Target, Counts>,
}

/// Record shared by all stand-ins of a test.
#[derive(Debug, Default)]
pub struct Ledger {
    book: Mutex<Book>,
}

impl Ledger {
    /// Records the start of a run; the result names it to [`Ledger::finish`].
    pub fn start(&self, run: Run) -> usize {
        let mut book = self.lock();
        book.runs.push(run);
        book.runs.len() - 1
    }

    /// Records the end of a run.
    pub fn finish(&self, run: usize) {
        self.lock().runs[run].end = Some(Instant::now());
    }

    /// Changes the counts of a target.
    pub fn count(&self, target: &Target, change: impl FnOnce(&mut Counts)) {
        change(self.lock().counts.entry(target.clone()).or_default());
    }

    /// Records an accepted lease order: what it grants lasts until `end`, the rest is withdrawn.
    pub fn grant(
        &self,
        service: &Service,
        holder: (&Target, Incarnation),
        grants: &[Grant],
        end: Instant,
    ) {
        let now = Instant::now();
        let mut book = self.lock();
        let mut fresh = grants.to_vec();
        let (target, incarnation) = holder;
        for tenure in book.tenures.iter_mut().rev() {
            let own = tenure.target == *target && tenure.incarnation == incarnation;
            if !own || tenure.end <= now {
                continue;
            }
            if let Some(at) = fresh.iter().position(|grant| *grant == tenure.grant) {
                fresh.swap_remove(at);
                tenure.end = end;
            } else {
                tenure.end = now;
            }
        }
        book.tenures.extend(fresh.into_iter().map(|grant| Tenure {
            service: service.clone(),
            target: target.clone(),
            incarnation,
            grant,
            start: now,
            end,
        }));
    }

    /// Ends all tenures of a target that crashed.
    pub fn crash(&self, target: &Target) {
        let now = Instant::now();
        let mut book = self.lock();
        for tenure in book.tenures.iter_mut() {
            if tenure.target == *target {
                tenure.end = tenure.end.min(now);
            }
        }
        for run in book.runs.iter_mut() {
            if run.target == *target {
                run.end.get_or_insert(now);
            }
        }
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Counts of each target.
    pub fn counts(&self) -> BTreeMap<Target, Counts> {
        self.lock().counts.clone()
    }

    /// Runs of the request with this nonce.
    pub fn runs_of(&self, nonce: u64) -> usize {
        let book = self.lock();
        book.runs.iter().filter(|run| run.nonce == nonce).count()
    }

    /// Number of once-only requests that ran more than once.
    pub fn run_twice(&self) -> u64 {
        let book = self.lock();
        let mut seen: HashMap<(KeyHash, &str), u32> = HashMap::new();
        for run in &book.runs {
            if let Some(identity) = &run.identity {
                *seen.entry((run.hash, identity)).or_default() += 1;
            }
        }
        seen.values().filter(|count| **count > 1).count() as u64
    }

    /// Requests that came while a cold target had as many as it bears, over all targets.
    pub fn over_bearable(&self) -> u64 {
        self.lock().counts.values().map(|counts| counts.over).sum()
    }

    /// Pairs of runs of one key that two targets of a service had at the same time.
    pub fn overlapping_runs(&self, service: &Service) -> u64 {
        let book = self.lock();
        let now = Instant::now();
        let mut keys: HashMap<KeyHash, Vec<&Run>> = HashMap::new();
        for run in book.runs.iter().filter(|run| run.service == *service) {
            keys.entry(run.hash).or_default().push(run);
        }
        let mut pairs = 0;
        for runs in keys.values() {
            for (n, run) in runs.iter().enumerate() {
                let end = run.end.unwrap_or(now);
                let later = runs[n + 1..].iter().take_while(|next| next.start < end);
                pairs += later.filter(|next| next.target != run.target).count() as u64;
            }
        }
        pairs
    }

    /// Fences of all grants that targets were given.
    pub fn fences(&self) -> BTreeSet<Fence> {
        let state = self.lock();
        state
            .tenures
            .iter()
            .map(|tenure| tenure.grant.fence)
            .collect()
    }

    /// Pairs of tenures of one range by two targets, or two lives of one, at the same time.
    pub fn overlapping_grants(&self) -> Vec<(Tenure, Tenure)> {
        let book = self.lock();
        let mut pairs = Vec::new();
        for (n, one) in book.tenures.iter().enumerate() {
            for other in &book.tenures[n + 1..] {
                let holders = (&one.target, one.incarnation) != (&other.target, other.incarnation);
                let ranges = one.grant.range.overlaps(&other.grant.range);
                let times = one.start < other.end && other.start < one.end;
                if holders && one.service == other.service && ranges && times {
                    pairs.push((one.clone(), other.clone()));
                }
            }
        }
        pairs
    }

    /// Changes of owner for each key of a service since `from`, from `samples` evenly spread keys.
    pub fn churn(&self, service: &Service, from: Instant, samples: u64) -> f64 {
        let book = self.lock();
        let mut changes = 0_u64;
        for hash in KeyRange::partition(samples).iter().map(KeyRange::first) {
            let mut owner: Option<&Target> = None;
            let held = |tenure: &&Tenure| tenure.service == *service;
            for tenure in book.tenures.iter().filter(held) {
                if !tenure.grant.range.contains(hash) {
                    continue;
                }
                let moved = owner.is_some_and(|owner| *owner != tenure.target);
                changes += u64::from(moved && tenure.start >= from);
                owner = Some(&tenure.target);
            }
        }
        changes as f64 / samples as f64
    }

    /// Who holds a key now.
    pub fn owner(&self, service: &Service, hash: KeyHash) -> Option<Target> {
        let book = self.lock();
        let now = Instant::now();
        let mut tenures = book.tenures.iter().rev();
        let held = |tenure: &&Tenure| {
            tenure.service == *service && tenure.end > now && tenure.grant.range.contains(hash)
        };
        tenures.find(held).map(|tenure| tenure.target.clone())
    }

    /// Most requests served for each slot of a target, over the mean, among `targets`, not counting
    /// what was served `before`.
    pub fn imbalance(&self, targets: &[Target], before: &BTreeMap<Target, Counts>) -> f64 {
        let after = self.counts();
        let shares: Vec<(f64, f64)> = targets
            .iter()
            .map(|target| {
                let base = before.get(target).map_or(0, |counts| counts.served);
                let counts = after.get(target).copied().unwrap_or_default();
                let served = counts.served.saturating_sub(base);
                (served as f64, f64::from(counts.slots.max(1)))
            })
            .collect();
        let served: f64 = shares.iter().map(|share| share.0).sum();
        let slots: f64 = shares.iter().map(|share| share.1).sum();
        if served == 0.0 {
            return 1.0;
        }
        let most = shares.iter().map(|share| share.0 / share.1);
        most.fold(0.0, f64::max) / (served / slots)
    }

    /// Longest time from `from` on in which any of `samples` keys of a service had no owner.
    pub fn longest_gap(&self, service: &Service, from: Instant, samples: u64) -> Duration {
        let book = self.lock();
        let mut longest = Duration::ZERO;
        for hash in KeyRange::partition(samples).iter().map(KeyRange::first) {
            let mut covered = from;
            for tenure in &book.tenures {
                if tenure.service == *service && tenure.grant.range.contains(hash) {
                    longest = longest.max(tenure.start.saturating_duration_since(covered));
                    covered = covered.max(tenure.end);
                }
            }
        }
        longest
    }

    fn lock(&self) -> MutexGuard<'_, Book> {
        self.book.lock().expect("ledger lock")
    }
}
