//! `cornelrail status`: the fleet at a glance.

use crate::{
    args::Entry,
    client::Client,
    error::CommandError,
    output::{Lines, Output},
};
use cornelrail_lib::{
    process::operator_api::{
        EntryStatus, STATUS_PATH, ServiceStatus, StatusAnswer, TargetStatus, ZoneStatus,
    },
    version::fleet::{ServiceKind, TargetPhase, ZoneState},
};

/// Asks an entry for the fleet's status.
pub(crate) fn run(entry: &Entry) -> Result<Output, CommandError> {
    let answer: StatusAnswer = Client::new(entry)?.get(STATUS_PATH)?;
    Ok(Output::new(text(&answer), &answer))
}

fn text(answer: &StatusAnswer) -> String {
    let mut lines = Lines::default();
    let leader = match answer.leader {
        Some(leader) => format!("leader {leader}, term {}", answer.term),
        None => "no leader".to_owned(),
    };
    lines.add(&format!("{}, version {}", answer.fleet, answer.version));
    lines.add(&format!("{leader}, index {}", answer.index));
    if !answer.fresh {
        lines.add(&format!(
            "entry {} cannot confirm that this is current",
            answer.entry
        ));
    }
    lines.gap().add("zone        state   entries  targets");
    answer
        .zones
        .iter()
        .for_each(|zone| add_zone(&mut lines, zone));
    lines.gap().add("entry  zone       state  behind");
    answer
        .entries
        .iter()
        .for_each(|entry| add_entry(&mut lines, entry));
    lines.gap().add("service         targets  ranges  unowned");
    answer
        .services
        .iter()
        .for_each(|service| add_service(&mut lines, service));
    lines.gap().add("target           zone     home  ranges");
    answer
        .targets
        .iter()
        .for_each(|target| add_target(&mut lines, target));
    lines.finish()
}

fn add_zone(lines: &mut Lines, zone: &ZoneStatus) {
    let state = match zone.state {
        ZoneState::In => "in",
        ZoneState::Out => "out",
    };
    lines.add(&format!(
        "{:<10}  {state:<5}  {:>8}  {:>7}",
        zone.zone, zone.entries, zone.targets
    ));
}

fn add_entry(lines: &mut Lines, entry: &EntryStatus) {
    let state = if entry.alive { "up" } else { "lost" };
    let lag = entry.lag.map_or("?".to_owned(), |lag| lag.to_string());
    lines.add(&format!(
        "{:>5}  {:<9}  {state:<5}  {lag:>6}",
        entry.entry, entry.zone
    ));
}

fn add_service(lines: &mut Lines, service: &ServiceStatus) {
    let (ranges, unowned) = match service.kind {
        ServiceKind::Keyed => (service.ranges.to_string(), service.unowned.to_string()),
        ServiceKind::Pool => ("pool".to_owned(), "-".to_owned()),
    };
    lines.add(&format!(
        "{:<14}  {:>7}  {ranges:>6}  {unowned:>7}",
        service.service, service.targets
    ));
}

fn add_target(lines: &mut Lines, target: &TargetStatus) {
    let home = target.home.map_or("-".to_owned(), |home| home.to_string());
    let phase = match target.phase {
        TargetPhase::Serving => "",
        TargetPhase::Draining => " draining",
        TargetPhase::Lost => " lost",
    };
    lines.add(&format!(
        "{:<15}  {:<7}  {home:>4}  {:>6}{phase}",
        target.target, target.zone, target.ranges
    ));
}
