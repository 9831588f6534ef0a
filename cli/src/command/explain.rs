//! `cornelrail explain`: who owns a key, and why.

use crate::{
    args::Entry,
    client::{Client, escape_query},
    error::CommandError,
    output::{Lines, Output},
};
use cornelrail_lib::process::operator_api::{EXPLAIN_PATH, ExplainAnswer};
use std::fmt::Display;

/// Asks an entry about a key.
pub(crate) fn run(service: &str, key: &str, entry: &Entry) -> Result<Output, CommandError> {
    let path = format!(
        "{EXPLAIN_PATH}?service={}&key={}",
        escape_query(service),
        escape_query(key)
    );
    let answer: ExplainAnswer = Client::new(entry)?.get(&path)?;
    Ok(Output::new(text(&answer), &answer))
}

fn text(answer: &ExplainAnswer) -> String {
    let mut lines = Lines::default();
    lines.add(&format!("{}/{}", answer.service, answer.key));
    lines.add(&format!("hash   {}", answer.hash));
    add_part(&mut lines, "range ", answer.range.as_ref());
    add_part(&mut lines, "owner ", answer.owner.as_ref());
    add_part(&mut lines, "fence ", answer.fence.as_ref());
    add_part(
        &mut lines,
        "home  ",
        answer.home.map(|home| format!("entry {home}")),
    );
    add_part(&mut lines, "next  ", answer.next.as_ref());
    lines.add(&answer.why);
    lines.finish()
}

fn add_part(lines: &mut Lines, name: &str, part: Option<impl Display>) {
    if let Some(part) = part {
        lines.add(&format!("{name} {part}"));
    }
}
