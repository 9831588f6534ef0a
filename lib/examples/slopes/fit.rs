//! Straight line through the points of a slope.
//!
//! The line makes the sum of the squared *relative* deviations least, so that small sizes count as
//! much as large ones. Its variable is the size, or the binary logarithm of the size for searches.

use super::table::Point;
use std::fmt;

/// Line through the points of one slope.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value at zero.
    pub base: f64,
    /// Growth for each step of the variable.
    pub step: f64,
    /// Largest deviation of a median from the line, as a share of the median.
    pub residual: f64,
    /// Largest distance between two runs at one size, as a share of their median.
    pub spread: f64,
}

/// Whether the slope follows the logarithm of its size.
pub fn is_log(slope: &str) -> bool {
    slope.starts_with("log2_")
}

/// Variable of a slope at a size.
pub fn variable(slope: &str, x: f64) -> f64 {
    match is_log(slope) {
        true => x.max(1.0).log2(),
        false => x,
    }
}

impl Fit {
    /// Fits the line; there must be points of at least two sizes.
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

    /// Value on the line.
    pub fn at(&self, variable: f64) -> f64 {
        self.base + self.step * variable
    }
}

/// Variable, median and width of the runs at each size, in the order of sizes.
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

/// Base and step of the line through points with weights of one over the square of the value.
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
