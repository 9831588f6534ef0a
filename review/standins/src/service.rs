//! An order removes the service that a route names; nothing else happens.

use crate::{
    Verdict,
    http::Message,
    operator::press,
    record::Record,
    stage::{Plan, Stage},
    worker,
};
use std::{path::PathBuf, thread::sleep, time::Duration};

/// `configApply` of the site, and a bit.
const IN_FORCE: Duration = Duration::from_millis(3_000);
/// The state after it has a route `r-one` that names a service which is not there.
const ORDER: &str =
    r#"{"upsert":{},"remove":{"routes":[],"services":[{"name":"payroll","version":"00000007"}]}}"#;

/// Plays the case.
pub fn run(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let plan = Plan {
        core: 3,
        entries: 2,
        workers: 4,
        framing: worker::plain,
    };
    let Some(stage) = Stage::start(program, plan, record) else {
        return Verdict::Unplayed;
    };
    let mut acked = false;
    if trouble {
        let answer = stage
            .operator
            .order("config.patch", ORDER, Duration::from_secs(10));
        let status = answer.as_ref().map(Message::status);
        record.say(format_args!(
            "the order that removes the service of r-one gets {status:?}"
        ));
        acked = status == Some(200);
    }
    sleep(IN_FORCE);
    let after = press(
        &stage.fronts,
        "GET /one/x",
        "a",
        Duration::from_secs(8),
        record,
    );
    record.say(format_args!(
        "requests on r-one later than `configApply`: {after:?}"
    ));
    stage.operator.read(Duration::from_secs(5));
    stage
        .fleet
        .note_logs(&["desired", "unknown", "is not known"]);
    match acked {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
