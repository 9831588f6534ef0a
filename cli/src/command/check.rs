//! `cornelrail check`: what is wrong with a change of a seeded fleet before it is sent.

use crate::{
    error::CommandError,
    exit,
    output::{Lines, Output},
};
use cornelrail_lib::version::desired::{
    DesiredState, Difference, DifferenceKind, Finding, Review, Severity,
};
use cornelrail_platform::{ItemFault, ParsedFile, WireError, parse_file, word_of};
use serde_json::Value;
use std::{fs, path::Path};

/// Checks a change, or a set of all items, against the items in force if these are given.
pub(crate) fn run(file: &Path, against: Option<&Path>) -> Result<Output, CommandError> {
    let mut unreadable = Vec::new();
    let new = read(file, &mut unreadable)?;
    let old = against
        .map(|path| read(path, &mut unreadable))
        .transpose()?;
    if let Some((path, old)) = against.zip(old.as_ref())
        && !old.is_set
    {
        let problem = format!("{} is a change, not a set of all items", path.display());
        let remedy = "name a file with all items in force, as the fleet returns them";
        return Err(CommandError::arguments(problem, remedy).of_check());
    }
    let old = old.map(|old| DesiredState {
        routes: old.change.routes,
        services: old.change.services,
        limits: old.change.limits,
    });
    let mut review = Review::of(&new.change, old.as_ref(), new.is_set, word_of);
    if new.change.is_empty() && unreadable.is_empty() {
        unreadable.push(Finding {
            severity: Severity::Warning,
            place: file.display().to_string(),
            problem: "there is no item in it".to_owned(),
            value: None,
            remedy: "write items into `routes`, `services` or `limits`".to_owned(),
        });
    }
    // What cannot be read may be the reason of what is found in the rest.
    review.findings.splice(..0, unreadable);
    let code = match review.worst() {
        None => exit::DONE,
        Some(Severity::Error) => exit::REFUSED,
        Some(Severity::Warning) => exit::CHECK_WARNINGS,
    };
    let text = describe(&review, against.is_some());
    Ok(Output::new(text, review).with_code(code))
}

/// Reads a file, and adds what cannot be read of it to the findings.
fn read(path: &Path, findings: &mut Vec<Finding>) -> Result<ParsedFile, CommandError> {
    let bytes = fs::read(path).map_err(|fault| CommandError::Read {
        path: path.to_owned(),
        fault,
    })?;
    let parsed = parse_file(&bytes).unwrap_or_else(|error| {
        findings.push(unreadable(path, path.display().to_string(), None, &error));
        ParsedFile {
            is_set: true,
            ..ParsedFile::default()
        }
    });
    findings.extend(parsed.faults.iter().map(|fault| {
        let ItemFault {
            list,
            name,
            value,
            error,
        } = fault;
        let place = match name {
            Some(name) => format!("{} `{name}`", list.trim_end_matches('s')),
            None => (*list).to_owned(),
        };
        unreadable(path, place, value.clone(), error)
    }));
    Ok(parsed)
}

fn unreadable(path: &Path, place: String, value: Option<String>, error: &WireError) -> Finding {
    Finding {
        severity: Severity::Error,
        place,
        problem: error.to_string(),
        value,
        remedy: format!("correct it in {}", path.display()),
    }
}

fn describe(review: &Review, is_compared: bool) -> String {
    let mut lines = Lines::default();
    for finding in &review.findings {
        let severity = match finding.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        lines.add(&format!("{severity}: {}", finding.place));
        lines.add(&format!("  {}", finding.problem));
        if let Some(value) = &finding.value {
            lines.add(&format!("  value: {value}"));
        }
        lines.add(&format!("  remedy: {}", finding.remedy));
    }
    for difference in &review.differences {
        describe_difference(&mut lines, difference);
    }
    if is_compared && review.differences.is_empty() {
        lines.add("nothing differs from the items in force");
    }
    let count = |severity| {
        let findings = review.findings.iter();
        findings
            .filter(|finding| finding.severity == severity)
            .count()
    };
    lines.add(&format!(
        "errors: {}, warnings: {}",
        count(Severity::Error),
        count(Severity::Warning)
    ));
    lines.finish()
}

fn describe_difference(lines: &mut Lines, difference: &Difference) {
    let kind = match difference.kind {
        DifferenceKind::Added => "added",
        DifferenceKind::Removed => "removed",
        DifferenceKind::Changed => "changed",
    };
    lines.add(&format!("{kind}: {}", difference.place));
    let text = |value: &Option<Value>| {
        let value = value.as_ref();
        value.map_or("absent".to_owned(), Value::to_string)
    };
    for field in &difference.fields {
        let (old, new) = (text(&field.old), text(&field.new));
        lines.add(&format!("  {}: {old} -> {new}", field.name));
    }
}
