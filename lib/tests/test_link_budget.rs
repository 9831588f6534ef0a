//! The budget of a narrow link, replayed against a link that carries bytes in their order.

use cornelrail_lib::{
    connection::link_budget::{
        BodyId, Direction, LinkBudget, LinkChange, MessageSizes, PIECE_BYTES, Reservation,
        SHORT_BYTES, Upload,
    },
    moment::Moment,
};
use std::{collections::BTreeMap, time::Duration};

const MBPS: f64 = 3.7;
/// Part of the rate that is given out.
const GIVEN: f64 = 0.9;
/// Headers of the packets of a piece.
const PIECE_HEADERS: u64 = 3 * 60;
/// Time that a target needs for an upload.
const WORK: Duration = Duration::from_millis(270);
/// Uploads per second of an entry on a usual day: 144 over 63 entries.
const UPLOADS: f64 = 144.0 / 63.0;

fn upload(bytes: u64) -> Upload {
    Upload {
        bytes,
        is_held: true,
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A short message passes in both directions.
    Short { bytes: u64 },
    /// An upload arrives.
    Arrival { id: u64, bytes: u64, forced: bool },
    /// An upload begins to go out.
    Sending { id: u64, bytes: u64 },
    /// A piece goes, and so much is left behind it.
    Piece {
        id: u64,
        direction: Direction,
        piece: Reservation,
        left: u64,
        total: u64,
    },
}

/// A budget, the link under it, and what is to happen.
#[derive(Clone)]
struct Replay {
    budget: LinkBudget,
    now: Moment,
    steps: BTreeMap<(Moment, u64), Step>,
    number: u64,
    /// When the link has carried what was given to it.
    free: [Moment; 2],
    /// Pieces on the link, with the time at which it has carried them.
    pieces: [Vec<(Moment, u64)>; 2],
    /// Most bulk bytes that a short message found on the link.
    most_before: u64,
    /// Bulk bytes that the link has carried by upload, both directions together.
    carried: BTreeMap<u64, u64>,
    /// Time from the arrival to the answer.
    ended: BTreeMap<u64, Duration>,
    refused: BTreeMap<u64, Duration>,
    begun: BTreeMap<u64, Moment>,
    bodies: BTreeMap<u64, BodyId>,
    time_left: Duration,
}

impl Replay {
    fn new() -> Self {
        Replay {
            budget: LinkBudget::new(MBPS).expect("a narrow link"),
            now: Moment::ZERO,
            steps: BTreeMap::new(),
            number: 0,
            free: [Moment::ZERO; 2],
            pieces: [Vec::new(), Vec::new()],
            most_before: 0,
            carried: BTreeMap::new(),
            ended: BTreeMap::new(),
            refused: BTreeMap::new(),
            begun: BTreeMap::new(),
            bodies: BTreeMap::new(),
            time_left: Duration::from_secs(5),
        }
    }

    fn at(&mut self, time: Duration, step: Step) {
        self.put(Moment::ZERO + time, step);
    }

    fn put(&mut self, at: Moment, step: Step) {
        self.number += 1;
        self.steps.insert((at, self.number), step);
    }

    /// Puts `step` on the schedule so many times a second until `end`.
    fn each(&mut self, rate: f64, end: Duration, step: impl Fn(u64) -> Step) {
        let count = (rate * end.as_secs_f64()) as u64;
        (0..count).for_each(|i| self.at(Duration::from_secs_f64(i as f64 / rate), step(i)));
    }

    fn run(&mut self, end: Duration) {
        let until = Moment::ZERO + end;
        while let Some(first) = self.steps.first_entry() {
            let (at, _) = *first.key();
            if at > until {
                break;
            }
            let step = first.remove();
            self.now = at;
            self.step(step);
        }
        self.now = until;
    }

    fn transmit(&mut self, direction: Direction, bytes: u64) -> Moment {
        let time = Duration::from_secs_f64(bytes as f64 * 8.0 / (MBPS * 1e6));
        let free = &mut self.free[direction as usize];
        *free = (*free).max(self.now) + time;
        *free
    }

    fn short(&mut self, direction: Direction, bytes: u64) {
        self.budget.record(self.now, direction, bytes);
        self.transmit(direction, bytes + 60);
    }

    fn release(&mut self, id: u64, direction: Direction, bytes: u64) {
        if let Some(body) = self.bodies.get(&id) {
            self.budget.release(*body, direction, bytes);
        }
    }

    fn reserve(&mut self, id: u64, direction: Direction, left: u64, total: u64) {
        let bytes = left.min(PIECE_BYTES as u64);
        let piece = self.budget.reserve(self.now, direction, bytes);
        self.release(id, direction, bytes);
        let step = Step::Piece {
            id,
            direction,
            piece,
            left: left - bytes,
            total,
        };
        self.put(self.now, step);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Short { bytes } => {
                for direction in [Direction::In, Direction::Out] {
                    let pieces = &mut self.pieces[direction as usize];
                    pieces.retain(|(sent, _)| *sent > self.now);
                    let before = pieces.iter().map(|(_, bytes)| bytes).sum();
                    self.most_before = self.most_before.max(before);
                    self.short(direction, bytes);
                }
            }
            Step::Arrival { id, bytes, forced } => {
                self.begun.insert(id, self.now);
                if !forced {
                    let left = self.time_left - WORK;
                    match self.budget.admit(self.now, upload(bytes), left) {
                        Ok(body) => drop(self.bodies.insert(id, body)),
                        Err(pause) => {
                            self.refused.insert(id, pause);
                            return;
                        }
                    }
                }
                self.short(Direction::In, SHORT_BYTES);
                self.release(id, Direction::In, SHORT_BYTES);
                self.reserve(id, Direction::In, bytes - SHORT_BYTES, bytes);
            }
            Step::Sending { id, bytes } => {
                self.short(Direction::Out, SHORT_BYTES);
                self.release(id, Direction::Out, SHORT_BYTES);
                self.reserve(id, Direction::Out, bytes - SHORT_BYTES, bytes);
            }
            Step::Piece {
                id,
                direction,
                mut piece,
                left,
                total,
            } => {
                if let Some(due) = self.budget.start(self.now, direction, &mut piece) {
                    return self.put(due, step);
                }
                let sent = self.transmit(direction, piece.bytes + PIECE_HEADERS);
                self.pieces[direction as usize].push((sent, piece.bytes));
                *self.carried.entry(id).or_default() += piece.bytes;
                match (left, direction) {
                    (0, Direction::In) => self.put(sent, Step::Sending { id, bytes: total }),
                    (0, Direction::Out) => {
                        self.ended.insert(id, sent.since(self.begun[&id]) + WORK);
                        if let Some(body) = self.bodies.remove(&id) {
                            self.budget.end(body);
                        }
                    }
                    _ => self.reserve(id, direction, left, total),
                }
            }
        }
    }
}

fn arrival(id: u64) -> Step {
    Step::Arrival {
        id,
        bytes: 60_000,
        forced: false,
    }
}

/// Guards against uploads that hold short messages back, or that leave the link unused.
#[test]
fn short_messages_wait_for_one_piece_beside_a_burst_of_uploads() {
    let end = Duration::from_secs(20);
    for factor in [1.0, 2.5, 5.0] {
        let mut replay = Replay::new();
        replay.each(factor * UPLOADS, end, arrival);
        replay.each(31.0, end, |_| Step::Short { bytes: 800 });

        replay.run(end);

        let before = replay.most_before;
        assert!(before <= PIECE_BYTES as u64, "{factor}: {before}");
        let carried = replay.carried.values().sum::<u64>() as f64;
        let asked = 2.0 * 52_000.0 * factor * UPLOADS * 20.0;
        let given = GIVEN * MBPS * 1e6 / 8.0;
        let short = 31.0 * 860.0 + factor.min(3.0) * UPLOADS * 8_252.0;
        // Bodies that came in at the same time leave the way in unused while they go out.
        let least = (asked * 0.9).min((given - short) * 2.0 * 20.0 * 0.8);
        assert!(carried > least, "{factor}: {carried} of {least}");
    }
}

/// Guards against bulk that never gets its turn while short messages alone fill the link.
#[test]
fn a_flow_gets_its_part_beside_too_many_short_messages() {
    let mut replay = Replay::new();
    let end = Duration::from_secs(10);
    replay.each(700.0, end, |_| Step::Short { bytes: 1_000 });
    let bytes = 1_000_000;
    replay.at(
        millis(1),
        Step::Arrival {
            id: 1,
            bytes,
            forced: true,
        },
    );

    replay.run(end);

    let part = replay.carried[&1] as f64 / (GIVEN * MBPS * 1e6 / 8.0 * 10.0);
    assert!((0.08..0.12).contains(&part), "{part}");
}

/// Guards against a flow that gets more turns than another one.
#[test]
fn flows_take_turns() {
    let mut replay = Replay::new();
    for id in 0..4 {
        let bytes = if id == 0 { 3_000_000 } else { 1_000_000 };
        let step = Step::Arrival {
            id,
            bytes,
            forced: true,
        };
        replay.at(millis(250 * id), step);
    }

    replay.run(Duration::from_secs(1));
    let before = replay.carried.clone();
    replay.run(Duration::from_secs(3));

    let gained: Vec<_> = replay
        .carried
        .iter()
        .map(|(id, bytes)| bytes - before.get(id).unwrap_or(&0))
        .collect();
    let (least, most) = (gained.iter().min(), gained.iter().max());
    assert!(
        most.unwrap() - least.unwrap() <= PIECE_BYTES as u64,
        "{gained:?}"
    );
}

/// Guards against refusals of what would have passed, against admissions of what cannot pass, and
/// against pauses after which a body still cannot pass.
#[test]
fn what_is_refused_would_have_been_late_and_fits_after_the_pause() {
    let end = Duration::from_secs(60);
    let replay = |uploads: u64, forced: bool| {
        let mut replay = Replay::new();
        replay.each(31.0, end, |_| Step::Short { bytes: 800 });
        for id in 0..uploads {
            let (bytes, at) = (60_000, Duration::from_secs_f64(id as f64 / (4.0 * UPLOADS)));
            replay.at(at, Step::Arrival { id, bytes, forced });
        }
        replay
    };
    let mut checked = replay(400, false);
    checked.run(end);
    let mut unchecked = replay(400, true);
    unchecked.run(end);

    let is_late = |time: &Duration| *time > checked.time_left;
    let late = checked.ended.values().filter(|time| is_late(time)).count();
    assert!(
        late == 0 && checked.ended.len() > 240,
        "{late} of {}",
        checked.ended.len()
    );
    assert!(checked.refused.len() > 80, "{}", checked.refused.len());
    for (id, pause) in &checked.refused {
        let ended = unchecked.ended.get(id);
        assert!(
            ended.is_none_or(is_late),
            "{id} would have ended after {ended:?}"
        );
        let mut later = replay(id + 1, false);
        let at = checked.begun[id].since(Moment::ZERO) + *pause;
        later.at(at, arrival(1_000));
        later.run(at);
        assert!(
            later.refused.contains_key(id) && !later.refused.contains_key(&1_000),
            "{id} {pause:?}"
        );
    }
}

/// Guards against budget that is lost to streams which end while they wait.
#[test]
fn a_reservation_that_is_dropped_is_given_to_others() {
    let mut budget = LinkBudget::new(MBPS).expect("a narrow link");
    let now = Moment::from_millis(1_000);
    let piece = PIECE_BYTES as u64;
    let dropped: Vec<_> = (0..50)
        .map(|_| budget.reserve(now, Direction::Out, piece))
        .collect();

    let later = now + millis(5);
    dropped[1..]
        .iter()
        .for_each(|one| budget.cancel(later, Direction::Out, *one));

    let mut next = budget.reserve(later, Direction::Out, piece);
    let due = budget.start(later, Direction::Out, &mut next);
    assert!(due.is_some_and(|due| due < now + millis(10)), "{due:?}");
    let mut other = budget.reserve(later, Direction::In, piece);
    assert_eq!(budget.start(later, Direction::In, &mut other), None);
}

/// Guards against events for each refusal, and against an end of them that is never told.
#[test]
fn the_beginning_and_the_end_of_refusals_are_told_once() {
    let mut budget = LinkBudget::new(MBPS).expect("a narrow link");
    let now = Moment::from_millis(1_000);
    let admit = |budget: &mut LinkBudget| budget.admit(now, upload(60_000), millis(400));

    assert!(admit(&mut budget).is_ok());
    assert_eq!(budget.take_change(now), None);
    assert!(admit(&mut budget).is_err() && admit(&mut budget).is_err());

    assert_eq!(budget.take_change(now), Some(LinkChange::Full));
    assert_eq!(budget.take_change(now + millis(1_900)), None);
    let free = Some(LinkChange::Free { refused: 2 });
    assert_eq!(budget.take_change(now + millis(2_100)), free);
    assert_eq!(budget.take_change(now + millis(2_200)), None);
}

/// Guards against refusals for the number of bodies, where slow callers leave the link unused.
#[test]
fn many_bodies_are_admitted_up_to_what_the_link_carries() {
    let mut budget = LinkBudget::new(50.0).expect("a budget");
    let now = Moment::from_millis(1_000);
    let time = Duration::from_secs(5);
    let admitted = (0..1_000).take_while(|_| budget.admit(now, upload(60_000), time).is_ok());

    let bytes = admitted.count() as f64 * 60_000.0;

    // In and out again, in nine tenths of the time.
    let most = 50.0 * GIVEN * 1e6 / 8.0 * 5.0 * 0.9 / 2.0;
    assert!((0.98..=1.0).contains(&(bytes / most)), "{bytes} of {most}");
}

/// Guards against a budget on links that need none, and against a second message on a connection
/// that counts as part of the first.
#[test]
fn a_fast_link_has_no_budget_and_each_message_starts_short() {
    assert!(LinkBudget::new(100.1).is_none() && LinkBudget::new(100.0).is_some());
    let mut sizes = MessageSizes::default();

    sizes.record(Direction::In, SHORT_BYTES + 1);

    assert_eq!(sizes.short_left(Direction::In), 0);
    assert_eq!(sizes.short_left(Direction::Out), SHORT_BYTES);
    sizes.record(Direction::Out, 100);
    assert_eq!(sizes.short_left(Direction::In), SHORT_BYTES);
    assert_eq!(sizes.short_left(Direction::Out), SHORT_BYTES - 100);
}

/// Guards against bytes that were read before the body was admitted and stay on the books: no release
/// names them.
#[test]
fn what_has_gone_out_counts_as_come_in() {
    let mut budget = LinkBudget::new(MBPS).expect("a budget");
    let body = Upload {
        bytes: 100_000,
        is_held: false,
    };
    let id = budget.admit(Moment::ZERO, body, millis(4_000));
    let id = id.expect("room");

    budget.release(id, Direction::In, 80_000);
    budget.release(id, Direction::Out, 90_000);

    assert_eq!(budget.admitted(Direction::In), 10_000);
    assert_eq!(budget.admitted(Direction::Out), 10_000);
}
