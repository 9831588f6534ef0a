//! One order sets a route at a version and drops it at a lower one; nothing else happens.

use crate::{
    Verdict,
    http::Message,
    json::Json,
    operator::press,
    record::Record,
    stage::{Plan, Stage, route},
    worker,
};
use std::{path::PathBuf, thread::sleep, time::Duration};

/// `configApply` of the site, and a bit.
const IN_FORCE: Duration = Duration::from_millis(3_000);
/// Version at which the order sets the route, and the lower one at which it drops it.
const SET: &str = "00000009";
const DROPPED: &str = "00000005";

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
    let dropped = match trouble {
        true => format!(r#"{{"name":"r-one","version":"{DROPPED}"}}"#),
        false => String::new(),
    };
    let order = format!(
        r#"{{"upsert":{{"routes":{{{}}}}},"remove":{{"routes":[{dropped}]}}}}"#,
        route("r-one", "/one/", "safe", SET)
    );
    let limit = Duration::from_secs(10);
    let answer = stage.operator.order("config.patch", &order, limit);
    let status = answer.as_ref().map(Message::status);
    record.say(format_args!("the order gets {status:?}"));
    if status != Some(200) {
        // An order that is refused is no acknowledged one.
        return Verdict::Held;
    }
    sleep(IN_FORCE);
    let time = Duration::from_secs(4);
    let after = press(&stage.fronts, "GET /one/x", "a", time, record);
    record.say(format_args!(
        "requests on r-one later than `configApply`: {after:?}"
    ));
    let Some(desired) = stage.operator.read(limit) else {
        return Verdict::Unplayed;
    };
    let held = desired.get("routes").and_then(|r| r.get("r-one"));
    let version = held.and_then(|r| r.get("version")).and_then(Json::text);
    record.say(format_args!("r-one read back: {version:?}"));
    match version {
        Some(SET) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
