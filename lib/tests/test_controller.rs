//! The controller and the fleet in a closed loop: after the loss of targets, entries or zones every
//! key is served again, and the load of hot keys and slow targets is balanced.

use crate::model::{Model, zone_of};
use cornelrail_lib::{
    key::KeyHash, name::Target, process::settings::Assigner, version::command::Command,
};
use quickcheck::TestResult;
use std::time::Duration;

/// Number of random fault sequences.
const FAULT_SEQUENCES: u64 = 24;
/// Maximum time until every key is served again after a fault.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(1);

#[test]
fn a_killed_targets_keys_are_served_again_within_a_second() {
    for assigner in [Assigner::Weighted, Assigner::Modulo, Assigner::Consistent] {
        let mut model = Model::with_targets(assigner, 20);
        assert!(model.is_fully_served());
        model.kill_target("w-07");
        let elapsed = model.run_until(Duration::from_secs(5), Model::is_fully_served);
        assert!(
            elapsed.is_some_and(|t| t <= MAX_RECOVERY_TIME),
            "{assigner:?}: {elapsed:?}"
        );
    }
}

#[test]
fn a_killed_entrys_targets_are_served_again_within_a_second() {
    let mut model = Model::with_targets(Assigner::Weighted, 20);
    model.crash_entry(1);
    model.crash_entry(2);
    let elapsed = model.run_until(Duration::from_secs(5), Model::is_fully_served);
    assert!(
        elapsed.is_some_and(|t| t <= MAX_RECOVERY_TIME),
        "{elapsed:?}"
    );
}

const FIVE_SECONDS: Duration = Duration::from_secs(5);

#[test]
fn a_zone_out_while_the_leader_dies_is_emptied_and_returns() {
    let mut model = Model::with_targets(Assigner::Weighted, 20);
    model.commit_note("builds_on: 1\nchanged: {zones: {a: out}}");
    model.step();
    model.step();
    model.change_leader();

    let emptied = model.run_until(FIVE_SECONDS, |m| m.zone_share("a") == 0.0);
    let served = model.run_until(FIVE_SECONDS, Model::is_fully_served);
    let homes_out = model.run_until(FIVE_SECONDS, |m| m.targets_homed_in("a") == 0);
    model.commit_note("builds_on: 2\nchanged: {zones: {a: in}}");
    let returned = model.run_until(Duration::from_secs(60), |m| m.zone_share("a") > 0.25);
    let homes_in = model.run_until(FIVE_SECONDS, |m| m.targets_homed_in("a") > 0);

    assert!(
        emptied.is_some_and(|t| t <= MAX_RECOVERY_TIME),
        "emptied {emptied:?}"
    );
    assert!(
        served.is_some() && homes_out.is_some(),
        "{served:?} {homes_out:?}"
    );
    assert!(
        returned.is_some() && homes_in.is_some(),
        "{returned:?} {homes_in:?}"
    );
    assert_eq!(model.version().0, 3);
}

#[test]
fn a_target_that_withdraws_while_its_range_moves_ends_empty_and_stays_out() {
    let mut model = Model::with_targets(Assigner::Weighted, 8);
    model.start_target("w-99", "a", 1);
    let moving = model.run_until(FIVE_SECONDS, |m| m.is_moving());
    model.leave("w-01");
    model.leave("w-99");

    let removed = model.run_until(FIVE_SECONDS, |m| {
        !m.fleet.targets.contains_key("w-01") && !m.fleet.targets.contains_key("w-99")
    });
    model.run(4 * FIVE_SECONDS);

    assert!(
        moving.is_some() && removed.is_some(),
        "{moving:?} {removed:?}"
    );
    assert!(model.is_fully_served(), "some keys are not served");
    assert!(
        !model.fleet.targets.contains_key("w-01"),
        "the same incarnation rejoined"
    );
    assert!(model.imbalance() < 1.2, "imbalance {}", model.imbalance());
}

/// Injects the fault or change that two random numbers select.
fn inject_fault(model: &mut Model, kind: u8, which: u8) {
    let number = u64::from(which % 9) + 1;
    let name = format!("w-{number:02}");
    let incarnation = u64::from(which) + 1000 * model.fleet.index;
    match kind % 9 {
        0 | 1 => model.kill_target(&name),
        2 => model.start_target(&name, zone_of(number).as_str(), incarnation),
        3 => model.crash_entry(number),
        4 => model.restart_entry(number),
        5 => model.leave(&name),
        6 => model.change_leader(),
        7 => model.toggle_zone(zone_of(number).as_str()),
        _ => {
            model.stuck.insert(Target::from(name.as_str()));
        }
    }
}

/// Ends the lasting faults, so that each zone is in service with an entry and a target.
fn end_faults(model: &mut Model) {
    model.stuck.clear();
    for number in 1..=3 {
        model.restart_entry(number);
        let zone = zone_of(number);
        model.start_target(&format!("fresh-{number}"), zone.as_str(), 1);
        if !model.fleet.is_zone_in_service(&zone) {
            model.toggle_zone(zone.as_str());
        }
    }
}

/// Whether five seconds pass without a command before the churn budget allows moving every key.
fn settles(model: &mut Model) -> bool {
    (0..20).any(|_| {
        let count = model.commands.len();
        model.run(FIVE_SECONDS);
        model.commands.len() == count
    })
}

/// Injects the faults, ends them, and checks that the fleet recovers.
fn check_recovery(faults: Vec<(u8, u8, u8)>) -> TestResult {
    let mut model = Model::new(Assigner::Weighted);
    (1..=9).for_each(|number| {
        model.start_target(&format!("w-{number:02}"), zone_of(number).as_str(), 1)
    });
    model.run(MAX_RECOVERY_TIME);
    for (kind, which, delay) in faults.iter().take(40) {
        inject_fault(&mut model, *kind, *which);
        model.run(Duration::from_millis(u64::from(*delay) * 4));
    }
    end_faults(&mut model);
    let recovered = model.run_until(2 * MAX_RECOVERY_TIME, Model::is_fully_served);
    if recovered.is_none_or(|elapsed| elapsed > MAX_RECOVERY_TIME) {
        return TestResult::error(format!("all keys were served after {recovered:?}"));
    }
    if !settles(&mut model) || model.is_moving() || model.imbalance() > 1.3 {
        return TestResult::error(format!(
            "the controller does not settle: imbalance {}",
            model.imbalance()
        ));
    }
    TestResult::from_bool(model.is_fully_served())
}

/// Faults that overlap may leave keys without an owner or the controller in a loop of moves: every
/// key must be served within a second of the last fault, and then the controller must settle.
#[test]
fn the_fleet_repairs_itself() {
    let property: fn(Vec<(u8, u8, u8)>) -> TestResult = check_recovery;
    crate::property::checker()
        .tests(FAULT_SEQUENCES)
        .quickcheck(property);
}

#[test]
fn a_target_that_returns_cold_gets_little_at_first_and_its_share_in_the_end() {
    let mut model = Model::with_targets(Assigner::Weighted, 20);
    let share = model.target_share("w-05");
    model.start_target("w-05", zone_of(5).as_str(), 2);
    let elapsed = model.run_until(FIVE_SECONDS, |m| {
        m.is_fully_served() && m.incarnation_of("w-05") == 2
    });
    let cold = model.target_share("w-05");
    model.run(Duration::from_secs(60));
    let warm = model.target_share("w-05");

    assert!(
        elapsed.is_some_and(|t| t <= MAX_RECOVERY_TIME),
        "{elapsed:?}"
    );
    assert!(cold < 0.3 * share, "share {cold} at first, {share} before");
    assert!(
        warm > 0.8 * share,
        "share {warm} at the end, {share} before"
    );
}

#[test]
fn a_hot_key_gets_a_range_of_its_own_and_slow_targets_shed_load() {
    let mut model = Model::with_targets(Assigner::Weighted, 10);
    let hot = KeyHash::of("family-1");
    for number in 0..1000 {
        model
            .key_rates
            .insert(KeyHash::of(&format!("family-{number}")), 1.0);
    }
    model.key_rates.insert(hot, 90.0);
    model.run(Duration::from_secs(30));
    let isolated = model
        .owners()
        .iter()
        .any(|(range, _)| range.width() == 1 && range.contains(hot));
    let before = model.imbalance();
    let fast = model.load_of(&"w-03".into());
    model.slow.insert("w-03".into());
    model.run(Duration::from_secs(30));

    assert!(isolated, "the hot key shares its range");
    assert!(before < 1.25, "imbalance {before}");
    assert!(model.load_of(&"w-03".into()) < 0.7 * fast);
}

#[test]
fn a_fifth_of_the_targets_ten_times_slower_is_relieved_within_seconds() {
    let mut model = Model::with_targets(Assigner::Weighted, 20);
    model.run(60 * FIVE_SECONDS);
    let names = ["w-01", "w-06", "w-11", "w-16"].map(Target::from);
    let before: f64 = names.iter().map(|name| model.load_of(name)).sum();
    model.slow.extend(names.clone());
    model.run(5 * FIVE_SECONDS);
    let after: f64 = names.iter().map(|name| model.load_of(name)).sum();

    assert!(after < 0.3 * before, "load {before} before, {after} after");
}

#[test]
fn an_entry_that_returns_costs_no_target_its_home_twice() {
    let mut model = Model::with_targets(Assigner::Weighted, 20);
    model.crash_entry(4);
    model.run(FIVE_SECONDS);
    let count = model.commands.len();
    model.restart_entry(4);
    model.run(4 * FIVE_SECONDS);

    let mut moved: Vec<&Target> = model.commands[count..]
        .iter()
        .flat_map(|command| match command {
            Command::Rehome(list) => list.iter().map(|r| &r.target).collect(),
            _ => Vec::new(),
        })
        .collect();
    let total = moved.len();
    moved.sort();
    moved.dedup();
    assert_eq!(moved.len(), total, "a target changed its home twice");
    assert!(total <= 3, "{total} targets changed their home");
}
