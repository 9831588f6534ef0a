//! The figures of docs/CAPACITY.md follow from the givens and the measured points in view there.
//!
//! Every table of the page with one of the known heads is computed anew: fits from the CSV files,
//! figures by their formulas, and the verdict on each limit. `CAPACITY_UPDATE=always` writes the
//! page instead, as is due after new measurements.

#[path = "../../lib/examples/slopes/fit.rs"]
mod fit;
#[allow(dead_code, reason = "the tools that measure use the rest")]
#[path = "../../lib/examples/slopes/table.rs"]
mod table;

use cornelrail_lib::process::settings::{Once, Timing};
use fit::Fit;
use std::{
    collections::BTreeMap,
    env, fs,
    iter::Peekable,
    path::{Path, PathBuf},
    str::Chars,
};
use table::{RUNS, Table};

const GIVENS: &str = "| given | value | unit | from |";
const SLOPES: &str = "| slope | base | step | unit | residual | spread |";
const FIGURES: &str = "| figure | formula | value | unit |";
const LIMITS: &str = "| limit | slopes | figure | computed | allowed | unit | met | factor |";

/// Below this a part of a line is the rounding of its computation.
const NOUGHT: f64 = 1e-9;

fn docs() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs")
}

fn measured() -> Table {
    let read = |name| Table::read(&docs().join("capacity").join(name)).expect("a CSV file");
    let mut table = read("lib.csv");
    table.points.extend(read("node.csv").points);
    table
}

/// Value between the medians at the two measured sizes around `at`; with `inverse`, the variable
/// between those around a value.
fn between(table: &Table, slope: &str, at: f64, inverse: bool) -> f64 {
    let points: Vec<_> = table.of(slope).collect();
    assert!(!points.is_empty(), "no points of {slope}");
    let medians = fit::medians(&points).into_iter();
    let pairs: Vec<(f64, f64)> = match inverse {
        true => medians.map(|(x, y, _)| (y, x)).collect(),
        false => medians.map(|(x, y, _)| (x, y)).collect(),
    };
    let around = pairs.windows(2).find(|w| w[0].0 <= at && at <= w[1].0);
    let Some([(x1, y1), (x2, y2)]) = around else {
        panic!("{at} lies outside what was measured of {slope}");
    };
    y1 + (y2 - y1) * (at - x1) / (x2 - x1)
}

fn fit_of(table: &Table, slope: &str) -> Fit {
    let points: Vec<_> = table.of(slope).collect();
    assert!(!points.is_empty(), "no points of {slope}");
    Fit::of(&points)
}

/// Number with three significant digits, as the page has it.
fn shown(value: f64) -> String {
    if value.abs() < NOUGHT {
        return "0".to_owned();
    }
    let digits = (2 - value.abs().log10().floor() as i32).max(0) as usize;
    let scale = 10_f64.powi(value.abs().log10().floor() as i32 - 2);
    format!("{:.digits$}", (value / scale).round() * scale)
}

/// Formulas over named values.
struct Formulas<'a> {
    values: BTreeMap<String, f64>,
    table: &'a Table,
}

impl Formulas<'_> {
    fn value(&self, formula: &str) -> f64 {
        let mut rest = formula.chars().peekable();
        let value = self.sum(&mut rest);
        assert_eq!(rest.next(), None, "the end of {formula}");
        value
    }

    fn sum(&self, rest: &mut Peekable<Chars<'_>>) -> f64 {
        let mut value = self.product(rest);
        loop {
            match peek(rest) {
                Some('+') => value += self.next_product(rest),
                Some('-') => value -= self.next_product(rest),
                _ => return value,
            }
        }
    }

    fn next_product(&self, rest: &mut Peekable<Chars<'_>>) -> f64 {
        rest.next();
        self.product(rest)
    }

    fn product(&self, rest: &mut Peekable<Chars<'_>>) -> f64 {
        let mut value = self.factor(rest);
        loop {
            match peek(rest) {
                Some('*') => value *= self.next_factor(rest),
                Some('/') => value /= self.next_factor(rest),
                _ => return value,
            }
        }
    }

    fn next_factor(&self, rest: &mut Peekable<Chars<'_>>) -> f64 {
        rest.next();
        self.factor(rest)
    }

    fn factor(&self, rest: &mut Peekable<Chars<'_>>) -> f64 {
        if peek(rest) == Some('(') {
            rest.next();
            let value = self.sum(rest);
            assert_eq!(peek(rest), Some(')'), "a closing bracket");
            rest.next();
            return value;
        }
        let mut word = String::new();
        while let Some(c) = rest.next_if(|c| c.is_ascii_alphanumeric() || "_.".contains(*c)) {
            word.push(c);
        }
        match word.as_str() {
            "fit" | "base" | "step" | "between" | "until" => self.call(&word, rest),
            _ => word.parse().unwrap_or_else(|_| self.named(&word)),
        }
    }

    fn named(&self, name: &str) -> f64 {
        let value = self.values.get(name);
        *value.unwrap_or_else(|| panic!("no value {name:?} stands above its use"))
    }

    /// `fit(slope, x)` is the value on the line, `base(slope)` and `step(slope)` are its parts;
    /// `between(slope, x)` lies between the medians around `x`, `until(slope, y)` is its inverse.
    fn call(&self, function: &str, rest: &mut Peekable<Chars<'_>>) -> f64 {
        assert_eq!(rest.next(), Some('('), "arguments of {function}");
        let mut slope = String::new();
        while let Some(c) = rest.next_if(|c| c.is_ascii_alphanumeric() || *c == '_') {
            slope.push(c);
        }
        let line = fit_of(self.table, &slope);
        let value = match function {
            "base" => line.base,
            "step" => line.step,
            _ => {
                assert_eq!(rest.next(), Some(','), "a size for {slope}");
                self.at(function, &slope, self.sum(rest))
            }
        };
        assert_eq!(peek(rest), Some(')'), "the end of {function}");
        rest.next();
        value
    }
}

impl Formulas<'_> {
    fn at(&self, function: &str, slope: &str, size: f64) -> f64 {
        let variable = fit::variable(slope, size);
        match function {
            "between" => between(self.table, slope, variable, false),
            "until" => between(self.table, slope, size, true),
            _ => fit_of(self.table, slope).at(variable),
        }
    }
}

fn peek(rest: &mut Peekable<Chars<'_>>) -> Option<char> {
    while rest.next_if_eq(&' ').is_some() {}
    rest.peek().copied()
}

fn cells(line: &str) -> Vec<String> {
    let inner = line.trim().trim_matches('|');
    inner.split('|').map(|c| c.trim().to_owned()).collect()
}

/// Calls `change` with the head of its table and the cells of each row, and puts the page together.
fn rows(page: &str, mut change: impl FnMut(&str, &mut Vec<String>)) -> String {
    let mut head = "";
    let mut out = String::new();
    for line in page.lines() {
        let known = [GIVENS, SLOPES, FIGURES, LIMITS].contains(&line);
        if known || !line.starts_with('|') {
            head = line;
        }
        let row = !known && line.starts_with('|') && !line.starts_with("| ---");
        if row && head.starts_with('|') {
            let mut cells = cells(line);
            change(head, &mut cells);
            out.push_str(&format!("| {} |\n", cells.join(" | ")));
        } else {
            out.push_str(line);
            out.push('\n');
        }
    }
    out
}

/// The page with all that can be computed computed.
fn computed(page: &str, table: &Table) -> String {
    let values = BTreeMap::new();
    let mut formulas = Formulas { values, table };
    rows(page, |head, row| {
        let value = match head {
            GIVENS => row[1].parse().expect("the number of a given"),
            FIGURES => formulas.value(&row[1]),
            _ => return,
        };
        let before = formulas.values.insert(row[0].clone(), value);
        assert_eq!(before, None, "{} is named twice", row[0]);
    });
    rows(page, |head, row| match head {
        SLOPES => fill_slope(row, table),
        FIGURES => row[2] = shown(formulas.named(&row[0])),
        LIMITS => fill_limit(row, &formulas),
        _ => {}
    })
}

fn fill_slope(row: &mut [String], table: &Table) {
    let fit = fit_of(table, &row[0]);
    let unit = table.of(&row[0]).next().map(|p| p.unit.clone());
    row[1] = shown(fit.base);
    row[2] = shown(fit.step);
    row[3] = unit.unwrap_or_default();
    row[4] = format!("{:.0} %", fit.residual * 100.0);
    row[5] = format!("{:.0} %", fit.spread * 100.0);
}

fn fill_limit(row: &mut [String], formulas: &Formulas<'_>) {
    let (value, allowed) = (formulas.named(&row[2]), formulas.named(&row[4]));
    row[3] = shown(value);
    row[6] = if value > allowed { "missed" } else { "met" }.to_owned();
    row[7] = shown(value / allowed);
}

#[test]
fn figures_follow_from_givens_and_measured_points() {
    let path = docs().join("CAPACITY.md");
    let page = fs::read_to_string(&path).expect("the page");

    let computed = computed(&page, &measured());

    if env::var("CAPACITY_UPDATE").is_ok_and(|v| v == "always") {
        fs::write(&path, &computed).expect("the page is written");
        return;
    }
    for (stands, due) in page.lines().zip(computed.lines()) {
        assert_eq!(stands, due, "CAPACITY_UPDATE=always writes the page anew");
    }
    assert_eq!(page.lines().count(), computed.lines().count());
}

#[test]
fn every_slope_is_measured_thrice_shown_and_plotted() {
    let page = fs::read_to_string(docs().join("CAPACITY.md")).expect("the page");
    let table = measured();

    let mut shown = Vec::new();
    rows(&page, |head, row| {
        if head == SLOPES {
            shown.push(row[0].clone());
        }
    });

    shown.sort_unstable();
    assert_eq!(shown, table.slopes());
    for slope in table.slopes() {
        let plot = docs().join(format!("capacity/{slope}.svg"));
        assert!(plot.exists(), "{slope} has no plot");
        for run in 1..=RUNS {
            let sizes = table.of(slope).filter(|p| p.run == run).count();
            let sizes_of_first = table.of(slope).filter(|p| p.run == 1).count();
            assert_eq!(sizes, sizes_of_first, "{slope}, run {run}");
            assert!(sizes > 1, "{slope}, run {run}");
        }
    }
}

#[test]
fn missed_limits_stand_first() {
    let page = fs::read_to_string(docs().join("CAPACITY.md")).expect("the page");

    let mut verdicts = Vec::new();
    rows(&page, |head, row| {
        if head == LIMITS {
            verdicts.push(row[6] == "met");
        }
    });

    assert!(verdicts.len() > 10, "the table of limits is there");
    assert!(
        verdicts.is_sorted(),
        "a met limit stands before a missed one"
    );
}

/// First number of the constant's value, times the others if it is a product.
fn constant(name: &str, file: &str) -> f64 {
    let root = docs().join("..");
    let folders = ["lib/src", "node/src"].map(|folder| root.join(folder));
    let text = folders.iter().find_map(|folder| find(folder, file));
    let text = text.unwrap_or_else(|| panic!("no file {file}"));
    let line = text.lines().find(|l| l.contains(&format!("const {name}:")));
    let value = line.and_then(|l| l.split_once(" = "));
    let (_, value) = value.unwrap_or_else(|| panic!("no constant {name} in {file}"));
    let digits = value.replace('_', "");
    let numbers = digits.split(|c: char| !c.is_ascii_digit());
    numbers.filter_map(|n| n.parse::<f64>().ok()).product()
}

/// Content of the file whose path ends so.
fn find(folder: &Path, end: &str) -> Option<String> {
    let mut entries = fs::read_dir(folder).ok()?.flatten();
    entries.find_map(|entry| match entry.path() {
        path if path.is_dir() => find(&path, end),
        path => path.ends_with(end).then(|| fs::read_to_string(path).ok())?,
    })
}

#[test]
fn givens_from_the_code_agree_with_it() {
    let page = fs::read_to_string(docs().join("CAPACITY.md")).expect("the page");
    let timing = Timing::default();
    let once = Once::default();
    let defaults = BTreeMap::from([
        ("heartbeat_ms", timing.heartbeat.as_millis() as f64),
        ("target_lease_ms", timing.target_lease.as_millis() as f64),
        ("entry_lease_ms", timing.entry_lease.as_millis() as f64),
        ("election_ms", timing.election.as_millis() as f64),
        ("drift_ms", timing.drift.as_millis() as f64),
        ("retention", once.retention.as_secs_f64()),
        ("register_bound", f64::from(once.records)),
    ]);

    let mut checked = 0;
    rows(&page, |head, row| {
        let mut quoted = row.last().expect("a cell").split('`').skip(1).step_by(2);
        let from_code = quoted.next().zip(quoted.next());
        let due = match defaults.get(row[0].as_str()) {
            Some(value) => Some(*value),
            None => from_code.map(|(name, file)| constant(name, file)),
        };
        if let Some(due) = due.filter(|_| head == GIVENS) {
            assert_eq!(row[1].parse(), Ok(due), "{}", row[0]);
            checked += 1;
        }
    });

    assert!(checked > 15, "only {checked} givens were found in the code");
}
