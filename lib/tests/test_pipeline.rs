//! Requests that a caller sends on one connection without waiting for answers.

use cornelrail_lib::{
    connection::pipeline::{
        ExchangeEnd, NextRequest, Pipeline, REQUESTS_MAX, ReadTimes, Step, WAITING_BYTES_MAX,
    },
    moment::Moment,
};

/// Pipeline of which so many requests have started.
fn started(count: usize) -> Pipeline {
    let mut pipeline = Pipeline::default();
    for _ in 0..count {
        pipeline.start();
    }
    pipeline
}

#[test]
fn a_request_that_may_have_effects_starts_beside_no_earlier_one() {
    let mut pipeline = started(1);
    let steps = |pipeline: &Pipeline| {
        [
            NextRequest::Incomplete,
            NextRequest::Idempotent,
            NextRequest::Unrouted,
            NextRequest::Other,
        ]
        .map(|next| pipeline.next_step(next, 0, false))
    };

    let beside = steps(&pipeline);
    let ends = pipeline.record_answer();
    let alone = steps(&pipeline);

    assert_eq!(beside, [Step::Wait, Step::Start, Step::Wait, Step::Wait]);
    assert!(!ends);
    let wanted = [Step::Wait, Step::Start, Step::Start, Step::HandOver];
    assert_eq!(alone, wanted);
    // The answer before it is not written yet.
    let unwritten = pipeline.next_step(NextRequest::Other, 1, false);
    assert_eq!(unwritten, Step::Wait);
}

#[test]
fn requests_and_answers_beyond_the_bounds_hold_back_the_next_start() {
    let step = |count, waiting| started(count).next_step(NextRequest::Idempotent, waiting, false);

    assert_eq!(step(REQUESTS_MAX - 1, WAITING_BYTES_MAX), Step::Start);
    assert_eq!(step(REQUESTS_MAX, 0), Step::Wait);
    assert_eq!(step(1, WAITING_BYTES_MAX + 1), Step::Wait);
}

#[test]
fn while_the_process_ends_only_the_last_started_request_closes_and_nothing_starts_behind_it() {
    let mut pipeline = started(2);
    let next = NextRequest::Idempotent;

    assert_eq!(pipeline.next_step(next, 0, true), Step::Wait);
    assert!(!pipeline.closes(0, true), "one started behind it");
    assert!(!pipeline.closes(1, false));
    assert!(pipeline.closes(1, true));
    assert_eq!(pipeline.next_step(next, 0, false), Step::Wait);
    assert!(!pipeline.record_answer());
    pipeline.record_end(1, ExchangeEnd::Closing);
    assert!(pipeline.record_answer());
    assert_eq!(pipeline.next_step(next, 0, false), Step::Wait);

    // A connection without a request under way gets one that closes it.
    let mut idle = Pipeline::default();
    assert_eq!(idle.next_step(next, 0, true), Step::Start);
    let number = idle.start();
    assert!(idle.closes(number, true));
}

#[test]
fn an_answer_that_breaks_off_drops_those_behind_it_alone() {
    let mut pipeline = started(4);

    pipeline.record_end(3, ExchangeEnd::Closing);
    pipeline.record_end(1, ExchangeEnd::Broken);
    pipeline.record_end(2, ExchangeEnd::Whole);

    let dropped = [0, 1, 2, 3].map(|number| pipeline.is_dropped(number));
    assert_eq!(dropped, [false, false, true, true]);
    assert!(!pipeline.record_answer());
    assert!(pipeline.record_answer());
}

#[test]
fn the_time_of_a_request_is_that_of_the_read_that_completed_its_head() {
    let at = Moment::from_millis;
    let mut times = ReadTimes::default();

    // A head of 10 bytes in three reads, and a second one of 5 behind it in the last two.
    times.record(at(1), 4, false);
    times.record(at(2), 4, true);
    times.record(at(3), 4, true);
    times.record(at(9), 3, false);

    assert_eq!(times.time_of(10), Some(at(3)));
    assert_eq!(times.time_of(16), None);
    times.consume(10);
    assert_eq!(times.first_read(), Some((2, at(3))));
    assert_eq!(times.time_of(5), Some(at(9)));
    times.consume(5);
    assert_eq!(times.first_read(), None);
}

#[test]
fn the_times_of_many_small_reads_are_bounded_and_never_too_late() {
    let mut times = ReadTimes::default();

    for read in 0..10_000 {
        times.record(Moment::from_millis(read), 1, false);
    }

    assert_eq!(times.time_of(5), Some(Moment::from_millis(4)));
    assert!(times.time_of(9_000) < Some(Moment::from_millis(100)));
    times.consume(9_999);
    assert_eq!(times.first_read().map(|(bytes, _)| bytes), Some(1));
}
