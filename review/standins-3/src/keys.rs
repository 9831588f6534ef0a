//! Keys that a worker holds, by the answers to its status reports.

use std::time::{Duration, Instant};

/// A key span with its generation number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Row {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Generation number.
    pub fence: u64,
}

/// Answer to a status report that renews keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// All keys to hold.
    pub rows: Vec<Row>,
    /// For how long, from when the status report was sent.
    pub length: Duration,
}

/// Keys of one worker, and which it held when.
#[derive(Debug)]
pub struct Keys {
    rows: Vec<Row>,
    until: Option<Instant>,
    seen: Vec<u64>,
    released: Vec<Row>,
    spans: Vec<Held>,
}

/// Keys that were held from one moment to another.
#[derive(Debug, Clone)]
pub struct Held {
    /// The keys.
    pub rows: Vec<Row>,
    /// First moment.
    pub since: Instant,
    /// Last moment.
    pub until: Instant,
}

impl Default for Keys {
    fn default() -> Self {
        Keys {
            rows: Vec::new(),
            until: None,
            seen: vec![0; 1 << 16],
            released: Vec::new(),
            spans: Vec::new(),
        }
    }
}

impl Keys {
    /// Rows that are held now.
    pub fn held(&self, now: Instant) -> &[Row] {
        match self.until {
            Some(until) if now < until => &self.rows,
            _ => &[],
        }
    }

    /// Whether a key is held now.
    pub fn holds(&self, now: Instant, key: u16) -> bool {
        let mut rows = self.held(now).iter();
        rows.any(|row| row.first <= key && key <= row.last)
    }

    /// Rows that were released and not reported yet.
    pub fn released(&self) -> &[Row] {
        &self.released
    }

    /// Takes an answer over; returns whether keys were released by it.
    pub fn take(&mut self, now: Instant, sent: Instant, grant: &Grant, reported: usize) -> bool {
        self.released.drain(..reported.min(self.released.len()));
        let before = self.held(now).to_vec();
        let accepted = |row: &&Row| {
            let keys = usize::from(row.first)..=usize::from(row.last);
            self.seen[keys].iter().all(|fence| *fence <= row.fence)
        };
        let rows: Vec<Row> = grant.rows.iter().filter(accepted).copied().collect();
        for row in &rows {
            let keys = usize::from(row.first)..=usize::from(row.last);
            self.seen[keys].fill(row.fence);
        }
        let dropped: Vec<Row> = before
            .into_iter()
            .filter(|row| !rows.contains(row))
            .collect();
        let has_released = !dropped.is_empty();
        self.released.extend(dropped);
        self.close_span(now);
        let until = sent + grant.length;
        self.spans.push(Held {
            rows: rows.clone(),
            since: now,
            until,
        });
        self.rows = rows;
        self.until = Some(until);
        has_released
    }

    /// Drops all keys, as the worker ends.
    pub fn end(&mut self, now: Instant) {
        self.close_span(now);
        self.until = None;
    }

    fn close_span(&mut self, now: Instant) {
        if let Some(span) = self.spans.last_mut() {
            span.until = span.until.min(now).max(span.since);
        }
    }

    /// All that was held, and when.
    pub fn spans(&self) -> &[Held] {
        &self.spans
    }
}

/// Longest time for which two workers held one key together without a break.
pub fn longest_overlap(one: &[Held], other: &[Held]) -> Option<(Duration, Row, Row)> {
    // Renewals follow each other at once, so spans of the same row are joined.
    let (one, other) = (joined(one), joined(other));
    let mut longest: Option<(Duration, Row, Row)> = None;
    for (a, a_since, a_until) in &one {
        for (b, b_since, b_until) in &other {
            if a.first > b.last || b.first > a.last {
                continue;
            }
            let time = (*a_until.min(b_until)).saturating_duration_since(*a_since.max(b_since));
            if !time.is_zero() && longest.is_none_or(|(known, ..)| time > known) {
                longest = Some((time, *a, *b));
            }
        }
    }
    longest
}

fn joined(spans: &[Held]) -> Vec<(Row, Instant, Instant)> {
    let mut all: Vec<(Row, Instant, Instant)> = Vec::new();
    for span in spans {
        for row in &span.rows {
            let open = all
                .iter_mut()
                .rfind(|(known, _, until)| known == row && *until == span.since);
            match open {
                Some((_, _, until)) => *until = span.until,
                None => all.push((*row, span.since, span.until)),
            }
        }
    }
    all
}

/// Parses the answer to a status report; `None` if it renews nothing.
pub fn parse_grant(text: &str) -> Option<Grant> {
    let length = text.split("\"hold_time\":\"").nth(1)?.split('"').next()?;
    let length = match length.strip_suffix("ms") {
        Some(number) => number.parse::<f64>().ok()? / 1_000.0,
        None => length.strip_suffix('s')?.parse::<f64>().ok()?,
    };
    let list = text.split("\"holds\":[").nth(1)?;
    let mut rows = Vec::new();
    let mut rest = list.trim_start();
    while let Some(row) = rest.strip_prefix('[') {
        let (cells, behind) = row.split_once(']')?;
        let mut cells = cells.split(',').map(str::trim);
        rows.push(Row {
            first: cells.next()?.parse().ok()?,
            last: cells.next()?.parse().ok()?,
            fence: cells.next()?.parse().ok()?,
        });
        rest = behind.trim_start().trim_start_matches(',').trim_start();
    }
    Some(Grant {
        rows,
        length: Duration::from_secs_f64(length),
    })
}
