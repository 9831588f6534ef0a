//! Arguments of the command line.

mod demo;
mod entry;
mod reader;

pub(crate) use entry::Entry;

use crate::{
    command::stand_in::StandInOptions, demo::DemoOptions, error::CommandError, help::Topic,
    output::Format,
};
use cornelrail_lib::process::unit::HumanDuration;
use entry::EntryOptions;
use reader::{Reader, Word};
use std::{ffi::OsString, path::PathBuf, time::Duration};

/// Most entries of a fleet for which keys are made at once.
const NODES_MAX: u64 = 10_000;

/// What the command line asks for.
#[derive(Debug)]
pub(crate) enum Invocation {
    /// Help.
    Help(Topic),
    /// A subcommand.
    Command(Command),
}

/// A subcommand with its arguments.
#[derive(Debug)]
pub(crate) enum Command {
    /// What is wrong with this change?
    Check {
        /// The change, or a set of all items.
        file: PathBuf,
        /// All items in force.
        against: Option<PathBuf>,
    },
    /// What would this note do?
    NoteCheck {
        /// The note.
        file: PathBuf,
        /// Whom to ask.
        entry: Entry,
    },
    /// Put this note in force.
    NoteApply {
        /// The note.
        file: PathBuf,
        /// Whom to ask.
        entry: Entry,
        /// How long to wait till it is in force everywhere.
        wait: Option<Duration>,
    },
    /// Where is this note in force?
    NoteStatus {
        /// The note.
        file: PathBuf,
        /// Whom to ask.
        entry: Entry,
    },
    /// How is the fleet?
    Status {
        /// Whom to ask.
        entry: Entry,
    },
    /// Who owns this key?
    Explain {
        /// Service of the key.
        service: String,
        /// The key.
        key: String,
        /// Whom to ask.
        entry: Entry,
    },
    /// Is this settings file good?
    SettingsCheck {
        /// The file.
        file: PathBuf,
    },
    /// Make the keys of a fleet.
    KeysMake {
        /// Folder that is made for them.
        folder: PathBuf,
        /// Number of entries.
        nodes: u64,
    },
    /// Make the keys of one more entry.
    KeysAdd {
        /// Folder with the fleet's authority.
        folder: PathBuf,
        /// Number of the entry.
        node: u64,
    },
    /// Make an operator's token.
    KeysToken {
        /// File of the token.
        file: PathBuf,
    },
    /// Show the fleet at work.
    Demo(DemoOptions),
    /// Run stand-in targets.
    StandIn(StandInOptions),
}

/// Who reads the output; known before the arguments are checked, so errors suit the reader too.
pub(crate) fn format(words: &[OsString]) -> Format {
    match words.iter().any(|word| word == "--json") {
        true => Format::Json,
        false => Format::Text,
    }
}

/// Reads the command line.
pub(crate) fn parse(words: Vec<OsString>) -> Result<Invocation, CommandError> {
    let mut reader = Reader::new(words, Topic::Command);
    let name = match reader.next()? {
        Some(Word::Value(name)) => name,
        Some(Word::Option(option)) if option == "help" => {
            return Ok(Invocation::Help(Topic::Command));
        }
        Some(Word::Option(option)) => return Err(reader.unknown(&option)),
        None => return Err(unknown_command("no command")),
    };
    let topic = topic(&name)?;
    reader.set_topic(topic);
    let command = match topic {
        Topic::Command => None,
        Topic::Check => parse_check(&mut reader).map_err(CommandError::of_check)?,
        Topic::Note => parse_note(&mut reader)?,
        Topic::Status => parse_status(&mut reader)?,
        Topic::Explain => parse_explain(&mut reader)?,
        Topic::Settings => parse_settings(&mut reader)?,
        Topic::Keys => parse_keys(&mut reader)?,
        Topic::Demo => demo::parse_demo(&mut reader)?,
        Topic::StandIn => demo::parse_stand_in(&mut reader)?,
    };
    Ok(command.map_or(Invocation::Help(topic), Invocation::Command))
}

fn topic(name: &str) -> Result<Topic, CommandError> {
    match name {
        "check" => Ok(Topic::Check),
        "note" => Ok(Topic::Note),
        "status" => Ok(Topic::Status),
        "explain" => Ok(Topic::Explain),
        "settings" => Ok(Topic::Settings),
        "keys" => Ok(Topic::Keys),
        "demo" => Ok(Topic::Demo),
        "stand-in" => Ok(Topic::StandIn),
        _ => Err(unknown_command(format!("unknown command `{name}`"))),
    }
}

fn unknown_command(problem: impl Into<String>) -> CommandError {
    CommandError::arguments(
        problem,
        "name one: check, note, status, explain, settings, keys, demo or stand-in",
    )
}

/// Reads the rest of a `check` command; `None` asks for help.
fn parse_check(reader: &mut Reader) -> Result<Option<Command>, CommandError> {
    let mut against = None;
    let mut values = Vec::new();
    while let Some(option) = reader.option(&mut values)? {
        match option.as_str() {
            "help" => return Ok(None),
            "against" => against = Some(reader.value()?.into()),
            _ => return Err(reader.unknown(&option)),
        }
    }
    let [file] = reader.exact(values, "check FILE")?;
    Ok(Some(Command::Check {
        file: file.into(),
        against,
    }))
}

/// Reads the rest of a `note` command; `None` asks for help.
fn parse_note(reader: &mut Reader) -> Result<Option<Command>, CommandError> {
    let mut entry = EntryOptions::default();
    let mut wait = None;
    let mut values = Vec::new();
    while let Some(option) = reader.option(&mut values)? {
        match option.as_str() {
            "help" => return Ok(None),
            "wait" => {
                wait = Some(
                    reader
                        .parse::<HumanDuration>("wait", "a time span such as 6s")?
                        .0,
                )
            }
            _ => entry.take(&option, reader)?,
        }
    }
    let [verb, file] = reader.exact(values, "check FILE, apply FILE or status FILE")?;
    if wait.is_some() && verb != "apply" {
        return Err(reader.unknown("wait"));
    }
    let file = PathBuf::from(file);
    match verb.as_str() {
        "check" => Ok(Some(Command::NoteCheck {
            file,
            entry: entry.finish()?,
        })),
        "apply" => Ok(Some(Command::NoteApply {
            file,
            entry: entry.finish()?,
            wait,
        })),
        "status" => Ok(Some(Command::NoteStatus {
            file,
            entry: entry.finish()?,
        })),
        _ => Err(reader.wrong_verb(&verb, "check, apply or status")),
    }
}

/// Reads the rest of a `status` command; `None` asks for help.
fn parse_status(reader: &mut Reader) -> Result<Option<Command>, CommandError> {
    let mut entry = EntryOptions::default();
    let mut values = Vec::new();
    while let Some(option) = reader.option(&mut values)? {
        match option.as_str() {
            "help" => return Ok(None),
            _ => entry.take(&option, reader)?,
        }
    }
    let [] = reader.exact(values, "no further words")?;
    let entry = entry.finish()?;
    Ok(Some(Command::Status { entry }))
}

/// Reads the rest of an `explain` command; `None` asks for help.
fn parse_explain(reader: &mut Reader) -> Result<Option<Command>, CommandError> {
    let mut entry = EntryOptions::default();
    let mut values = Vec::new();
    while let Some(option) = reader.option(&mut values)? {
        match option.as_str() {
            "help" => return Ok(None),
            _ => entry.take(&option, reader)?,
        }
    }
    let [name] = reader.exact(values, "SERVICE/KEY")?;
    let parts = name.split_once('/');
    let Some((service, key)) = parts.filter(|(s, k)| !s.is_empty() && !k.is_empty()) else {
        return Err(CommandError::arguments(
            format!("`{name}` is not SERVICE/KEY"),
            "write the service, a slash and the key, such as payroll-core/family-7",
        ));
    };
    Ok(Some(Command::Explain {
        service: service.to_owned(),
        key: key.to_owned(),
        entry: entry.finish()?,
    }))
}

/// Reads the rest of a `settings` command; `None` asks for help.
fn parse_settings(reader: &mut Reader) -> Result<Option<Command>, CommandError> {
    let mut values = Vec::new();
    if let Some(option) = reader.option(&mut values)? {
        return match option.as_str() {
            "help" => Ok(None),
            _ => Err(reader.unknown(&option)),
        };
    }
    let [verb, file] = reader.exact(values, "check FILE")?;
    match verb.as_str() {
        "check" => Ok(Some(Command::SettingsCheck { file: file.into() })),
        _ => Err(reader.wrong_verb(&verb, "check")),
    }
}

/// Reads the rest of a `keys` command; `None` asks for help.
fn parse_keys(reader: &mut Reader) -> Result<Option<Command>, CommandError> {
    let mut nodes = None;
    let mut node = None;
    let mut values = Vec::new();
    while let Some(option) = reader.option(&mut values)? {
        match option.as_str() {
            "help" => return Ok(None),
            "nodes" => nodes = Some(reader.parse::<u64>("nodes", "a whole number")?),
            "node" => node = Some(reader.parse::<u64>("node", "a whole number")?),
            _ => return Err(reader.unknown(&option)),
        }
    }
    let [verb, path] = reader.exact(values, "make FOLDER, add FOLDER or token FILE")?;
    let path = PathBuf::from(path);
    match (verb.as_str(), nodes, node) {
        ("make", Some(nodes), None) if (1..=NODES_MAX).contains(&nodes) => {
            Ok(Some(Command::KeysMake {
                folder: path,
                nodes,
            }))
        }
        ("make", _, _) => Err(CommandError::arguments(
            "`keys make` needs the number of entries",
            "add --nodes N, with N from 1 to 10000",
        )),
        ("add", None, Some(node)) => Ok(Some(Command::KeysAdd { folder: path, node })),
        ("add", _, _) => Err(CommandError::arguments(
            "`keys add` needs the number of one entry",
            "add --node N",
        )),
        ("token", None, None) => Ok(Some(Command::KeysToken { file: path })),
        ("token", _, _) => Err(CommandError::arguments(
            "`keys token` takes no number",
            "remove --nodes and --node",
        )),
        _ => Err(reader.wrong_verb(&verb, "make, add or token")),
    }
}
