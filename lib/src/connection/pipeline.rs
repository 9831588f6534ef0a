//! Decides which of the requests that a caller has sent on one connection may start, and which
//! answer is the last one.
//!
//! Requests are numbered in the order in which they start, which is the order of their answers. One
//! that must run at most once never runs beside an earlier one of its connection, so that a caller
//! that sends dependent requests behind each other gets them executed in that order. Nothing starts
//! behind an answer that closes the connection, since its caller has to take what it sent behind it
//! as unread.
//!
//! Load pattern: callers that send several requests on one connection without waiting for answers.

use crate::moment::Moment;
use std::collections::VecDeque;

/// Maximum number of requests of one connection that have started and are not answered.
pub const REQUESTS_MAX: usize = 16;
/// Maximum number of bytes of requests that are read before these start.
pub const READ_BYTES_MAX: usize = 64 << 10;
/// Bytes of answers that wait to be written beyond which no further request starts.
pub const WAITING_BYTES_MAX: usize = 256 << 10;
/// Maximum number of reads of which the times are kept apart. It exceeds the requests that can start
/// from them; the time of a later read counts as that of the last one kept.
const READS_MAX: usize = 64;

/// What the bytes that were read and not used begin with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRequest {
    /// No whole head yet.
    Incomplete,
    /// A request without a body that may run more than once.
    Idempotent,
    /// A request without a body that no route matches; its kind is unknown.
    Unrouted,
    /// Anything else, such as a request with a body, one that must run at most once, or garbage.
    Other,
}

/// What to do with the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It starts.
    Start,
    /// It does not start yet, or never.
    Wait,
    /// All earlier requests are answered, and the connection goes to the HTTP library from here on.
    HandOver,
}

/// How an exchange ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The answer is whole, and others may follow it.
    Whole,
    /// The answer is whole and says that it closes the connection.
    Closing,
    /// The answer broke off.
    Broken,
}

/// Requests of one connection.
#[derive(Debug, Default)]
pub struct Pipeline {
    started: u64,
    answered: u64,
    last: Option<u64>,
}

impl Pipeline {
    /// Decides what to do with the next request. `waiting` is the number of bytes of answers that
    /// are not written yet; `is_stopping` tells that the process is to end.
    pub fn next_step(&self, next: NextRequest, waiting: usize, is_stopping: bool) -> Step {
        if self.last.is_some() {
            return Step::Wait;
        }
        let is_first = self.unanswered() == 0;
        let may_start = match next {
            NextRequest::Incomplete => false,
            NextRequest::Idempotent => self.has_room(waiting, is_stopping),
            NextRequest::Unrouted => is_first && self.has_room(waiting, is_stopping),
            NextRequest::Other if is_first && waiting == 0 => return Step::HandOver,
            NextRequest::Other => false,
        };
        match may_start {
            true => Step::Start,
            false => Step::Wait,
        }
    }

    /// Whether any request could start. The one that starts last before the process ends is the
    /// only one without an answer at that time.
    pub fn has_room(&self, waiting: usize, is_stopping: bool) -> bool {
        let unanswered = self.unanswered();
        self.last.is_none()
            && unanswered < REQUESTS_MAX
            && waiting <= WAITING_BYTES_MAX
            && (unanswered == 0 || !is_stopping)
    }

    /// Starts a request; returns its number.
    pub fn start(&mut self) -> u64 {
        self.started += 1;
        self.started - 1
    }

    /// Number of requests that have started and whose answers are not passed on as a whole.
    pub fn unanswered(&self) -> usize {
        (self.started - self.answered) as usize
    }

    /// Whether a request has started on the connection.
    pub fn has_started(&self) -> bool {
        self.started > 0
    }

    /// Whether the answer to a request says that it closes the connection, asked once its head is
    /// ready. Nothing starts behind one that does.
    pub fn closes(&mut self, number: u64, is_stopping: bool) -> bool {
        let closes = is_stopping && self.last.is_none() && number + 1 == self.started;
        if closes {
            self.last = Some(number);
        }
        closes
    }

    /// Records how an exchange ended. Those behind an answer that broke off or closes get no
    /// answer: they are dropped, as [`Pipeline::is_dropped`] tells.
    pub fn record_end(&mut self, number: u64, end: ExchangeEnd) {
        if end != ExchangeEnd::Whole {
            self.last = Some(self.last.map_or(number, |last| last.min(number)));
        }
    }

    /// Whether a request gets no answer.
    pub fn is_dropped(&self, number: u64) -> bool {
        self.last.is_some_and(|last| number > last)
    }

    /// Records that the first unanswered request is answered; returns whether the connection ends
    /// with this answer.
    pub fn record_answer(&mut self) -> bool {
        self.answered += 1;
        self.last.is_some_and(|last| last < self.answered)
    }
}

/// When the bytes were read that are not used yet.
#[derive(Debug, Default)]
pub struct ReadTimes {
    used: u64,
    /// Position behind the last byte of each read, and its time.
    reads: VecDeque<(u64, Moment)>,
}

impl ReadTimes {
    /// Records a read. If all unused bytes belong to one incomplete head, only the time of its last
    /// byte matters.
    pub fn record(&mut self, now: Moment, bytes: usize, in_head: bool) {
        let end = self.end() + bytes as u64;
        if in_head {
            self.reads.clear();
        }
        let is_full = self.reads.len() >= READS_MAX;
        match self.reads.back_mut() {
            Some(last) if is_full => last.0 = end,
            _ => self.reads.push_back((end, now)),
        }
    }

    /// When the first `bytes` unused bytes had been read.
    pub fn time_of(&self, bytes: usize) -> Option<Moment> {
        let end = self.used + bytes as u64;
        let read = self.reads.iter().find(|(read_end, _)| *read_end >= end)?;
        Some(read.1)
    }

    /// Records that so many bytes are used.
    pub fn consume(&mut self, bytes: usize) {
        self.used += bytes as u64;
        while self.reads.front().is_some_and(|(end, _)| *end <= self.used) {
            self.reads.pop_front();
        }
    }

    /// Number of unused bytes that the oldest read brought, and its time.
    pub fn first_read(&self) -> Option<(usize, Moment)> {
        let (end, at) = self.reads.front()?;
        Some(((end - self.used) as usize, *at))
    }

    fn end(&self) -> u64 {
        self.reads.back().map_or(self.used, |(end, _)| *end)
    }
}
