//! Answers that are read although their callers have left: how many an entry awaits.

use cornelrail_lib::{request::balance::AbandonedAnswers, version::catalog::TargetId};

/// Callers that leave, far more than an entry can hold connections for.
const CALLERS: u32 = 1_000;

#[test]
fn callers_that_leave_a_silent_target_hold_connections_without_bound() {
    let mut answers = AbandonedAnswers::default();

    let of_one = (0..CALLERS).filter(|_| answers.begin(TargetId(1))).count();
    let of_all = (0..CALLERS)
        .filter(|id| answers.begin(TargetId(2 + id)))
        .count();

    assert!((1..=16).contains(&of_one), "{of_one} of one target");
    assert!(of_one + of_all <= 128, "{} in all", of_one + of_all);
}

#[test]
fn answers_that_have_ended_leave_no_room_for_others() {
    let mut answers = AbandonedAnswers::default();
    for _ in 0..CALLERS {
        assert!(answers.begin(TargetId(1)));
        answers.end(TargetId(1));
    }

    answers.end(TargetId(9));

    assert!(answers.begin(TargetId(1)));
}
