//! `cornelrail settings check`: reads a daemon's settings and says what they amount to.

use crate::{
    error::CommandError,
    output::{Lines, Output},
};
use cornelrail_lib::process::{settings::Settings, unit::HumanDuration};
use cornelrail_node::process::settings_file;
use std::path::Path;

/// Checks a file.
pub(crate) fn check(file: &Path) -> Result<Output, CommandError> {
    let settings = settings_file::read(file)?;
    Ok(Output::new(summary(&settings), &settings))
}

fn summary(settings: &Settings) -> String {
    let voters = settings.peers.iter().filter(|peer| peer.voter).count();
    let role = match settings.is_voter() {
        true => "votes",
        false => "does not vote",
    };
    let timing = &settings.timing;
    let mut lines = Lines::default();
    lines
        .add(&format!(
            "fleet {}, entry {}",
            settings.fleet, settings.node
        ))
        .add(&format!("zone {}, {role}", settings.zone))
        .add(&format!(
            "{} entries, {voters} voters",
            settings.peers.len()
        ))
        .add(&format!("callers    {}", settings.listen.callers))
        .add(&format!("targets    {}", settings.listen.targets))
        .add(&format!("operators  {}", settings.listen.operators))
        .add(&format!("peers      {}", settings.listen.peers))
        .add(&format!("heartbeat  {}", HumanDuration(timing.heartbeat)))
        .add(&format!(
            "leases     {} entry, {} target",
            HumanDuration(timing.entry_lease),
            HumanDuration(timing.target_lease)
        ));
    for operator in &settings.operators {
        let right = if operator.approve {
            "approves"
        } else {
            "looks"
        };
        lines.add(&format!("operator   {} {right}", operator.name));
    }
    lines.add("good");
    lines.finish()
}
