//! Least-squares line through the points of a slope.
//!
//! The fit minimizes the sum of the squared *relative* errors, so that small sizes weigh as much as
//! large ones. The variable is the size or, for searches, the binary logarithm of the size.

use super::table::Point;
use std::fmt;

/// Line fitted to the medians of one slope.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value where the variable is 0.
    pub base: f64,
    /// Increase of the value per unit of the variable.
    pub step: f64,
    /// Largest distance of a median from the line, as a fraction of the median.
    pub residual: f64,
    /// Largest difference between two runs at the same size, as a fraction of their median.
    pub spread: f64,
}

/// Whether the slope grows with the logarithm of the size; the `log2_` prefix of its name says so.
pub fn is_log(slope: &str) -> bool {
    slope.starts_with("log2_")
}

/// Variable of the line at size `x`: the size itself or its binary logarithm.
pub fn variable(slope: &str, x: f64) -> f64 {
    match is_log(slope) {
        true => x.max(1.0).log2(),
        false => x,
    }
}

impl Fit {
    /// Fits a line to points of one slope, which must cover at least two sizes.
    pub fn of(points: &[&Point]) -> Fit {
        let medians = medians(points);
        let (base, step) = weighted_line(&medians);
        let relative_error = |(x, y, _): &(f64, f64, f64)| ((base + step * x - y) / y).abs();
        let max_of = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max);
        Fit {
            base,
            step,
            residual: max_of(&mut medians.iter().map(relative_error)),
            spread: max_of(&mut medians.iter().map(|(_, y, difference)| difference / y)),
        }
    }

    /// Value of the line at `variable`.
    pub fn at(&self, variable: f64) -> f64 {
        self.base + self.step * variable
    }
}

/// Returns, by ascending size, the variable, the median of the runs, and the difference between the
/// largest and the smallest run.
pub fn medians(points: &[&Point]) -> Vec<(f64, f64, f64)> {
    let mut sizes: Vec<f64> = points.iter().map(|p| p.x).collect();
    sizes.sort_unstable_by(f64::total_cmp);
    sizes.dedup();
    let summary = |x: &f64| {
        let at_size = points.iter().filter(|p| p.x == *x);
        let mut values: Vec<f64> = at_size.map(|p| p.value).collect();
        values.sort_unstable_by(f64::total_cmp);
        let difference = values[values.len() - 1] - values[0];
        (
            variable(&points[0].slope, *x),
            values[values.len() / 2],
            difference,
        )
    };
    sizes.iter().map(summary).collect()
}

/// Base and step of the least-squares line, with `1 / value²` as the weight of a point.
fn weighted_line(points: &[(f64, f64, f64)]) -> (f64, f64) {
    let sum = |term: &dyn Fn(f64, f64) -> f64| -> f64 {
        points.iter().map(|(x, y, _)| term(*x, *y) / (y * y)).sum()
    };
    let (sw, sx, sy) = (sum(&|_, _| 1.0), sum(&|x, _| x), sum(&|_, y| y));
    let (sxx, sxy) = (sum(&|x, _| x * x), sum(&|x, y| x * y));
    let step = (sw * sxy - sx * sy) / (sw * sxx - sx * sx);
    ((sy - step * sx) / sw, step)
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (residual, spread) = (self.residual * 100.0, self.spread * 100.0);
        let line = format!("{:.4} + {:.6}", self.base, self.step);
        write!(f, "{line}, residual {residual:.0} %, spread {spread:.0} %")
    }
}
