//! Collects measured points, and writes and reads them as a CSV file.

use std::{fmt::Write, fs, io, path::Path, time::Instant};

/// Number of times that each measurement is repeated.
pub const RUNS: u32 = 3;
/// Number of timed calls per warm-up call.
const WARM_UP_DIVISOR: u32 = 10;
/// Header line of the CSV file.
pub const CSV_HEADER: &str = "slope,x,run,value,unit";

/// Value measured in one run at one size.
#[derive(Debug, Clone, PartialEq)]
pub struct Point {
    /// Name of the slope, which is also the name of its plot.
    pub slope: String,
    /// Size at which the value was measured, such as a number of targets.
    pub x: f64,
    /// Number of the run, starting at 1.
    pub run: u32,
    /// Measured value, in `unit`.
    pub value: f64,
    /// Unit of the value: `us` or `B`.
    pub unit: String,
}

/// All points that one benchmark measured.
#[derive(Debug, Default)]
pub struct Table {
    /// Points in the order of measurement.
    pub points: Vec<Point>,
}

impl Table {
    /// Adds the value measured in one run at size `x`.
    pub fn add(&mut self, slope: &str, x: usize, run: u32, value: f64, unit: &str) {
        self.points.push(Point {
            slope: slope.to_owned(),
            x: x as f64,
            run,
            value,
            unit: unit.to_owned(),
        });
    }

    /// Adds the mean time of `count` calls in microseconds. A tenth as many calls run before as
    /// warm-up and are not timed.
    pub fn time(&mut self, slope: &str, x: usize, run: u32, count: u32, mut call: impl FnMut()) {
        for _ in 0..count / WARM_UP_DIVISOR {
            call();
        }
        let start = Instant::now();
        for _ in 0..count {
            call();
        }
        let micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(count);
        self.add(slope, x, run, micros, "us");
    }

    /// Names of all slopes, sorted and without duplicates.
    pub fn slopes(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.points.iter().map(|p| p.slope.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Points of one slope, in the order of measurement.
    pub fn of<'a>(&'a self, slope: &'a str) -> impl Iterator<Item = &'a Point> {
        self.points.iter().filter(move |p| p.slope == slope)
    }

    /// Writes the points to a CSV file, with values rounded to three decimals.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut csv = format!("{CSV_HEADER}\n");
        for p in &self.points {
            let _ = writeln!(
                csv,
                "{},{},{},{:.3},{}",
                p.slope, p.x, p.run, p.value, p.unit
            );
        }
        fs::write(path, csv)
    }

    /// Reads a CSV file. Returns `None` if the file cannot be read, its header differs or a line
    /// cannot be parsed.
    #[allow(dead_code, reason = "only the capacity test reads CSV files")]
    pub fn read(path: &Path) -> Option<Table> {
        let text = fs::read_to_string(path).ok()?;
        let mut lines = text.lines();
        if lines.next() != Some(CSV_HEADER) {
            return None;
        }
        let points = lines.map(parse_point).collect::<Option<Vec<Point>>>()?;
        Some(Table { points })
    }
}

fn parse_point(line: &str) -> Option<Point> {
    let mut fields = line.split(',');
    let mut next = || fields.next();
    Some(Point {
        slope: next()?.to_owned(),
        x: next()?.parse().ok()?,
        run: next()?.parse().ok()?,
        value: next()?.parse().ok()?,
        unit: next()?.to_owned(),
    })
}
