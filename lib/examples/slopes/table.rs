//! Measured points and their CSV file.

use std::{fmt::Write, fs, io, path::Path, time::Instant};

/// Runs of every measurement.
pub const RUNS: u32 = 3;
/// One call in so many is made beforehand.
const WARM_UP_DIVISOR: u32 = 10;
/// First line of a CSV file.
pub const CSV_HEADER: &str = "slope,x,run,value,unit";

/// One measured point.
#[derive(Debug, Clone, PartialEq)]
pub struct Point {
    /// What was measured.
    pub slope: String,
    /// Size that it was measured at.
    pub x: f64,
    /// Number of the run, from 1.
    pub run: u32,
    /// The value.
    pub value: f64,
    /// Unit of the value.
    pub unit: String,
}

/// All points of one tool.
#[derive(Debug, Default)]
pub struct Table {
    /// The points, in the order in which they were measured.
    pub points: Vec<Point>,
}

impl Table {
    /// Adds a point.
    pub fn add(&mut self, slope: &str, x: usize, run: u32, value: f64, unit: &str) {
        self.points.push(Point {
            slope: slope.to_owned(),
            x: x as f64,
            run,
            value,
            unit: unit.to_owned(),
        });
    }

    /// Adds the mean time of `count` calls after a tenth as many unmeasured ones, in microseconds.
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

    /// Names of the slopes, in order.
    pub fn slopes(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.points.iter().map(|p| p.slope.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Points of one slope.
    pub fn of<'a>(&'a self, slope: &'a str) -> impl Iterator<Item = &'a Point> {
        self.points.iter().filter(move |p| p.slope == slope)
    }

    /// Writes the CSV file.
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

    /// Reads the CSV file; `None` if it cannot be read or a line has another shape.
    #[allow(dead_code, reason = "only the tests read")]
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
