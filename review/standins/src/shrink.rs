//! Two core machines freeze and lose power; then two of the other three lose their disks.
//!
//! Five core machines in three zones bear the loss of two disks. All machines are back at the end,
//! and three of the five disks were never lost.

use crate::{
    Verdict,
    operator::press,
    record::Record,
    stage::{Plan, Stage, route},
    worker,
};
use std::{path::PathBuf, thread::sleep, time::Duration};

/// Time that the machines of the first zone are frozen before they lose power.
const FROZEN: Duration = Duration::from_secs(5);
/// Time that they are dark.
const DARK: Duration = Duration::from_secs(7);
/// Time that the machines are down which lose their disks.
const DOWN: Duration = Duration::from_millis(1_300);
/// `recovery` of the site.
const RECOVERY: Duration = Duration::from_secs(15);

/// Plays the case.
pub fn run(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let plan = Plan {
        core: 5,
        entries: 3,
        workers: 6,
        framing: worker::plain,
    };
    let Some(mut stage) = Stage::start(program, plan, record) else {
        return Verdict::Unplayed;
    };
    let core = stage.core.clone();
    if trouble {
        record.say("zone a: its two core machines freeze");
        stage.fleet.freeze(core[0]);
        stage.fleet.freeze(core[3]);
    }
    sleep(FROZEN);
    if trouble {
        record.say("zone a: its two core machines lose power");
        stage.fleet.kill(core[0]);
        stage.fleet.kill(core[3]);
    }
    // The order and the loss of the disks follow shortly before the end of the dark time.
    sleep(DARK - DOWN);
    let second = format!(
        r#"{{"upsert":{{"routes":{{{}}}}},"remove":{{"routes":[]}}}}"#,
        route("r-two", "/two/", "safe", "00000002")
    );
    let acked = stage
        .operator
        .order("config.patch", &second, Duration::from_secs(10));
    if acked.is_none_or(|a| a.status() != 200) {
        record.say("the second desired state was not acknowledged");
        return Verdict::Unplayed;
    }
    record.say("the desired state with route r-two is acknowledged");
    if trouble {
        record.say("zone b: its two core machines lose power and their disks");
        for n in [core[1], core[4]] {
            stage.fleet.kill(n);
            stage.fleet.wipe(n);
        }
        sleep(DOWN);
        record.say("all machines are back; three of the five disks were never lost");
        for n in core.iter().filter(|n| **n != core[2]) {
            stage.fleet.start(*n, false);
        }
    }
    sleep(RECOVERY);
    let after = press(
        &stage.fronts,
        "GET /one/x",
        "a",
        Duration::from_secs(8),
        record,
    );
    record.say(format_args!(
        "later than `recovery` after all were back: {after:?}"
    ));
    let desired = stage.operator.read(Duration::from_secs(12));
    let routes = desired.as_ref().and_then(|d| d.get("routes"));
    let kept = routes.is_some_and(|r| r.get("r-one").is_some() && r.get("r-two").is_some());
    record.say(format_args!(
        "answered: {}, with all that was acknowledged: {kept}",
        desired.is_some()
    ));
    for n in core {
        if stage.fleet.has_ended(n) {
            record.say(format_args!(
                "{} ended by itself",
                stage.fleet.hosts[n].name
            ));
        }
    }
    stage
        .fleet
        .note_logs(&["voters-changed", "leader-changed", "leader-lost"]);
    match kept {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
