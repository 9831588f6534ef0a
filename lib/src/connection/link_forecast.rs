//! Forecast of the bodies that pass over a link.
//!
//! Admitted bodies take turns, so each one delays all others. A body may begin if it ends in time and
//! makes none of the earlier ones late. A bound on the bytes alone admits bodies that end late under a
//! steady excess of uploads: with turns, a body takes up to twice the time of the bytes before it.

/// Bodies up to which they are forecast one by one, which takes time with the square of their number.
/// With more, all bytes count as ahead of a new body; that many are on a link only if it is fast or
/// their callers are slow.
const BODIES_MAX: usize = 64;
/// Steps in which a pause is sought; each halves the time in question.
const PAUSE_STEPS: usize = 6;
/// Excess of a pause over its forecast. In replays at four times the usual rate, one body in a hundred
/// did not fit yet after the bare forecast.
const PAUSE_MARGIN: f64 = 1.1;
/// Bytes that count as none, since shares of a rate are no whole numbers.
const NO_BYTES: f64 = 0.5;

/// Bytes per second for bulk in each direction.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rates {
    pub(super) inward: f64,
    pub(super) outward: f64,
}

/// Body on its way. Times are in seconds from now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Passage {
    /// Bytes that have to come in.
    pub(super) inward: f64,
    /// Bytes that have to go out.
    pub(super) outward: f64,
    /// Whether nothing goes out before all has come in.
    pub(super) is_held: bool,
    /// When it has to be over.
    pub(super) deadline: f64,
    /// When it is over.
    pub(super) end: f64,
}

impl Passage {
    fn arrives(&self) -> bool {
        self.inward > 0.0
    }

    fn leaves(&self) -> bool {
        self.outward > 0.0 && !(self.is_held && self.arrives())
    }

    fn is_over(&self) -> bool {
        !self.arrives() && !self.leaves()
    }

    fn is_in_time(&self) -> bool {
        self.end <= self.deadline
    }

    /// Time to the end of a stage at so many bytes per second.
    fn stage_time(&self, share: Rates) -> f64 {
        let inward = if self.arrives() {
            self.inward / share.inward
        } else {
            f64::INFINITY
        };
        let outward = if self.leaves() {
            self.outward / share.outward
        } else {
            f64::INFINITY
        };
        inward.min(outward)
    }

    fn advance(&mut self, share: Rates, step: f64, now: f64) {
        let leaves = self.leaves();
        if self.is_over() {
            return;
        }
        if self.arrives() {
            self.inward = reduce(self.inward, share.inward * step);
        }
        if leaves {
            self.outward = reduce(self.outward, share.outward * step);
        }
        self.end = now;
    }
}

fn reduce(bytes: f64, passed: f64) -> f64 {
    let left = bytes - passed;
    if left < NO_BYTES { 0.0 } else { left }
}

/// Lets bodies take turns for so long, or until all are over.
fn pass(bodies: &mut [Passage], rates: Rates, limit: f64) {
    let mut now = 0.0;
    while now < limit {
        let arriving = bodies.iter().filter(|body| body.arrives()).count();
        let leaving = bodies.iter().filter(|body| body.leaves()).count();
        if arriving + leaving == 0 {
            return;
        }
        let share = Rates {
            inward: rates.inward / arriving.max(1) as f64,
            outward: rates.outward / leaving.max(1) as f64,
        };
        let stages = bodies.iter().map(|body| body.stage_time(share));
        let step = stages.fold(limit - now, f64::min);
        now += step;
        bodies
            .iter_mut()
            .for_each(|body| body.advance(share, step, now));
    }
}

/// Seconds after which all bodies are over, if none goes out before all have come in.
fn time_to_empty(bodies: &[Passage], rates: Rates) -> f64 {
    let total = |bytes: fn(&Passage) -> f64| bodies.iter().map(bytes).sum::<f64>();
    total(|body| body.inward) / rates.inward + total(|body| body.outward) / rates.outward
}

/// Whether a new body ends in time, and no other one becomes late by it.
pub(super) fn fits(bodies: &[Passage], new: Passage, rates: Rates) -> bool {
    if bodies.len() > BODIES_MAX {
        return time_to_empty(bodies, rates) + time_to_empty(&[new], rates) <= new.deadline;
    }
    let mut without = bodies.to_vec();
    pass(&mut without, rates, f64::INFINITY);
    let mut with = bodies.to_vec();
    with.push(new);
    pass(&mut with, rates, f64::INFINITY);
    let are_kept = without
        .iter()
        .zip(&with)
        .all(|(without, with)| with.is_in_time() || !without.is_in_time());
    are_kept && with.last().is_some_and(Passage::is_in_time)
}

/// Seconds after which a body fits that does not fit now, if no other one is admitted meanwhile.
pub(super) fn pause(bodies: &[Passage], new: Passage, rates: Rates) -> f64 {
    let empty = time_to_empty(bodies, rates);
    if bodies.len() > BODIES_MAX {
        return empty;
    }
    let (mut early, mut late) = (0.0, empty);
    for _ in 0..PAUSE_STEPS {
        let middle = (early + late) / 2.0;
        let mut bodies = bodies.to_vec();
        pass(&mut bodies, rates, middle);
        bodies.retain(|body| !body.is_over());
        bodies.iter_mut().for_each(|body| {
            body.deadline -= middle;
            body.end = 0.0;
        });
        match fits(&bodies, new, rates) {
            true => late = middle,
            false => early = middle,
        }
    }
    late * PAUSE_MARGIN
}
