//! `cornelrail note`: checks, applies and follows release notes.

use crate::{
    args::Entry,
    client::Client,
    error::CommandError,
    exit,
    output::{Lines, Output},
};
use cornelrail_lib::{
    name::Version,
    process::operator_api::{CheckAnswer, InForceAnswer, NOTE_CHECK_PATH, NOTE_PATH, NoteAnswer},
    version::note::Note,
};
use serde_json::json;
use std::{
    fs,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

/// Pause between two questions whether a note is in force.
const WAIT_PAUSE: Duration = Duration::from_millis(100);
/// Digits of a digest that people see.
const DIGEST_SHOWN: usize = 12;

/// Asks what a note would do.
pub(crate) fn check(file: &Path, entry: &Entry) -> Result<Output, CommandError> {
    let answer: CheckAnswer = Client::new(entry)?.post(NOTE_CHECK_PATH, read(file)?)?;
    let mut lines = Lines::default();
    let code = match &answer {
        CheckAnswer::Fine {
            version,
            digest,
            effect,
        } => {
            lines.add(&format!("version {version}, digest {}", short(digest)));
            for line in effect {
                lines.add(&format!("- {line}"));
            }
            lines.add("good; nothing was changed");
            exit::DONE
        }
        CheckAnswer::Refused { reason } => {
            lines.add("refused; nothing was changed").add(reason);
            exit::REFUSED
        }
    };
    Ok(Output::new(lines.finish(), &answer).with_code(code))
}

/// Puts a note in force; with `wait`, follows it till every entry has it.
pub(crate) fn apply(
    file: &Path,
    entry: &Entry,
    wait: Option<Duration>,
) -> Result<Output, CommandError> {
    let client = Client::new(entry)?;
    let answer = send(&client, &read(file)?, wait.unwrap_or_default())?;
    let mut lines = Lines::default();
    let code = add_answer(&mut lines, &answer);
    let (NoteAnswer::Accepted { version, .. }, Some(wait)) = (&answer, wait) else {
        return Ok(Output::new(lines.finish(), &answer).with_code(code));
    };
    let (found, spent) = follow(&client, *version, wait)?;
    let code = add_in_force(&mut lines, &found);
    if found.everywhere {
        lines.add(&format!("after {} ms", spent.as_millis()));
    }
    let value = json!({
        "answer": answer,
        "status": found,
        "waited_ms": spent.as_millis() as u64,
    });
    Ok(Output::new(lines.finish(), value).with_code(code))
}

/// Sends a note until its outcome is known or the time is over. Entries that have just started do not
/// listen or know no leader yet, and the same note may be sent again.
fn send(client: &Client, note: &str, wait: Duration) -> Result<NoteAnswer, CommandError> {
    let start = Instant::now();
    loop {
        let answer = client.post(NOTE_PATH, note.to_owned());
        let is_open = matches!(
            answer,
            Err(CommandError::Unreachable { .. }) | Ok(NoteAnswer::Unknown { .. })
        );
        if !is_open || start.elapsed() >= wait {
            return answer;
        }
        thread::sleep(WAIT_PAUSE);
    }
}

/// Tells on which entries a note is in force. Another note at its version is a conflict.
pub(crate) fn status(file: &Path, entry: &Entry) -> Result<Output, CommandError> {
    let note = Note::parse(&read(file)?).map_err(|fault| CommandError::Note {
        path: file.to_owned(),
        fault,
    })?;
    let version = note.builds_on.next();
    let found: InForceAnswer =
        Client::new(entry)?.get(&format!("{NOTE_PATH}?version={version}"))?;
    let mut lines = Lines::default();
    let code = match &found.note {
        Some(winner) if winner.digest != note.digest() => {
            lines.add(&format!(
                "{} made version {version}, with another note",
                winner.author
            ));
            exit::CONFLICT
        }
        Some(_) => add_in_force(&mut lines, &found),
        None => {
            lines.add(&format!(
                "version {version} is not there, or too old to tell its note"
            ));
            exit::NO_ANSWER
        }
    };
    Ok(Output::new(lines.finish(), &found).with_code(code))
}

/// Asks until a version is in force everywhere, or the time is over.
fn follow(
    client: &Client,
    version: Version,
    wait: Duration,
) -> Result<(InForceAnswer, Duration), CommandError> {
    let start = Instant::now();
    loop {
        let found: InForceAnswer = client.get(&format!("{NOTE_PATH}?version={version}"))?;
        let spent = start.elapsed();
        if found.everywhere || spent >= wait {
            return Ok((found, spent));
        }
        thread::sleep(WAIT_PAUSE);
    }
}

fn add_answer(lines: &mut Lines, answer: &NoteAnswer) -> u8 {
    match answer {
        NoteAnswer::Accepted {
            version, digest, ..
        } => {
            lines.add(&format!("accepted as version {version}"));
            lines.add(&format!("digest {}", short(digest)));
            exit::DONE
        }
        NoteAnswer::Refused { reason } => {
            lines.add("refused; nothing was changed").add(reason);
            exit::REFUSED
        }
        NoteAnswer::Conflict {
            winner,
            differences,
        } => {
            lines.add(&format!(
                "refused: {} made version {} first, with another note",
                winner.author, winner.version
            ));
            for line in differences {
                lines.add(&format!("  {line}"));
            }
            lines.add("read theirs, then build yours on the new version");
            exit::CONFLICT
        }
        NoteAnswer::Unknown { reason } => {
            lines.add("outcome unknown").add(reason);
            exit::NO_ANSWER
        }
    }
}

fn add_in_force(lines: &mut Lines, found: &InForceAnswer) -> u8 {
    lines.add("entry  version  in force");
    for entry in &found.entries {
        let version = entry.version.map_or("?".to_owned(), |v| v.to_string());
        let state = match (entry.in_force, entry.fresh) {
            (true, true) => "yes",
            (false, true) => "not yet",
            (_, false) => "stopped",
        };
        lines.add(&format!("{:>5}  {version:>7}  {state}", entry.entry));
    }
    match found.everywhere {
        true => {
            lines.add(&format!("version {} in force everywhere", found.version));
            exit::DONE
        }
        false => {
            lines.add(&format!(
                "version {} not in force everywhere",
                found.version
            ));
            exit::NO_ANSWER
        }
    }
}

fn short(digest: &str) -> &str {
    digest.get(..DIGEST_SHOWN).unwrap_or(digest)
}

fn read(file: &Path) -> Result<String, CommandError> {
    fs::read_to_string(file).map_err(|fault| CommandError::Read {
        path: PathBuf::from(file),
        fault,
    })
}
