//! Core machines that lost their disks are killed while they catch up, one after the other; later
//! all processes of the core are killed at the same moment and are back at once.
//!
//! A machine that catches up puts the leader's snapshot in place, and then a new log segment. One
//! that is killed between the two starts with the snapshot and its old segment, goes on behind what
//! the segment holds, and refuses its own data folder at the next start.

use crate::{
    Verdict,
    operator::{Operator, request},
    record::Record,
    stage::{Plan, Stage, route},
    worker,
};
use std::{
    fs,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    thread::{self, sleep, yield_now},
    time::{Duration, Instant},
};

/// Changes of the desired state, after which the leader has a snapshot and a short log.
const CHANGES: u32 = 900;
/// Orders in progress at once, as many as the pages allow.
const ORDERS: u32 = 8;
/// Machines of the five of the core that lose their disks, in turn.
const MACHINES: usize = 3;
/// Tries to kill a machine while it catches up.
const TRIES: u32 = 12;
/// Time for a machine to catch up.
const JOIN: Duration = Duration::from_secs(6);
/// `catchUp` of the site.
const CATCH_UP: Duration = Duration::from_millis(4_100);
/// `recovery` of the site.
const RECOVERY: Duration = Duration::from_secs(15);

/// Sends changes of one route until so many are acknowledged.
fn storm(operator: &Operator, from: u32, count: u32) -> bool {
    let next = AtomicU32::new(from);
    let work = || {
        loop {
            let n = next.fetch_add(1, Ordering::Relaxed);
            if n >= from + count {
                return true;
            }
            let item = route("r-storm", "/storm/", "safe", &format!("{n:08x}"));
            let body = format!(r#"{{"upsert":{{"routes":{{{item}}}}},"remove":{{"routes":[]}}}}"#);
            let answer = operator.order("config.patch", &body, Duration::from_secs(8));
            if answer.is_none_or(|a| a.status() != 200) {
                return false;
            }
        }
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..ORDERS.min(count)).map(|_| scope.spawn(work)).collect();
        threads.into_iter().all(|t| t.join().unwrap_or(false))
    })
}

/// Waits until the snapshot of a machine that catches up is in place.
fn await_snapshot(data: &Path) -> bool {
    let until = Instant::now() + JOIN;
    let snapshot = data.join("snapshot");
    while !snapshot.exists() {
        if Instant::now() >= until {
            return false;
        }
        yield_now();
    }
    true
}

/// Kills a machine while it catches up, until it died between the snapshot and the segment.
fn interrupt(stage: &mut Stage, n: usize, record: &Record) -> bool {
    for _ in 0..TRIES {
        stage.fleet.kill(n);
        stage.fleet.wipe(n);
        stage.fleet.start(n, false);
        let data = stage.fleet.data(n);
        let seen = await_snapshot(&data);
        stage.fleet.kill(n);
        let segments = fs::read_dir(&data).map_or(0, |files| {
            let names = files
                .flatten()
                .map(|f| f.file_name().to_string_lossy().into_owned());
            names
                .filter(|name| name.starts_with("log-") && name.ends_with('2'))
                .count()
        });
        record.say(format_args!(
            "killed at its snapshot: {seen}; new segment there: {}",
            segments > 0
        ));
        if seen && segments == 0 {
            return true;
        }
    }
    false
}

/// Plays the case.
pub fn run(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let plan = Plan {
        core: 5,
        entries: 3,
        workers: 3,
        framing: worker::plain,
    };
    let Some(mut stage) = Stage::start(program, plan, record) else {
        return Verdict::Unplayed;
    };
    if !storm(&stage.operator, 2, CHANGES) {
        record.say("the changes were not acknowledged");
        return Verdict::Unplayed;
    }
    record.say(format_args!("{CHANGES} changes are acknowledged"));
    for n in stage.core.clone().into_iter().take(MACHINES) {
        if trouble {
            record.say(format_args!("{} loses its disk", stage.fleet.hosts[n].name));
            if !interrupt(&mut stage, n, record) {
                record.say("the machine always caught up before it was killed");
                return Verdict::Unplayed;
            }
            stage.fleet.start(n, false);
        }
        sleep(CATCH_UP);
        if !storm(&stage.operator, 3_000 + n as u32 * 100, 20) {
            record.say("the changes were not acknowledged");
            return Verdict::Unplayed;
        }
    }
    let last = route("r-last", "/last/", "safe", "00010000");
    let body = format!(r#"{{"upsert":{{"routes":{{{last}}}}},"remove":{{"routes":[]}}}}"#);
    let acked = stage
        .operator
        .order("config.patch", &body, Duration::from_secs(8));
    if acked.is_none_or(|a| a.status() != 200) {
        return Verdict::Unplayed;
    }
    record.say("route r-last is acknowledged");
    if trouble {
        record.say("all processes of the core are killed and back at once; no disk is lost");
        for n in stage.core.clone() {
            stage.fleet.kill(n);
        }
        sleep(Duration::from_millis(300));
        for n in stage.core.clone() {
            stage.fleet.start(n, false);
        }
    }
    let until = Instant::now() + RECOVERY;
    let mut ends = 0;
    while Instant::now() < until {
        sleep(Duration::from_millis(1_000));
        for n in stage.core.clone() {
            if stage.fleet.has_ended(n) {
                ends += 1;
                record.say(format_args!(
                    "{} ended by itself; it is started again",
                    stage.fleet.hosts[n].name
                ));
                stage.fleet.kill(n);
                stage.fleet.start(n, false);
            }
        }
    }
    let answer = request(stage.fronts[0], "GET /one/x", "last", 7, b"", record);
    record.say(format_args!(
        "a client gets {:?}",
        answer.map(|a| a.status())
    ));
    let desired = stage.operator.read(Duration::from_secs(8));
    let routes = desired.as_ref().and_then(|d| d.get("routes"));
    let kept = routes.is_some_and(|r| r.get("r-last").is_some());
    record.say(format_args!(
        "answered: {}, with r-last: {kept}; ends by themselves: {ends}",
        desired.is_some()
    ));
    stage
        .fleet
        .note_logs(&["voters-changed", "leader-changed", "store-damaged"]);
    match kept {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
