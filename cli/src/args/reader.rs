//! Reader of words and options, whose errors name the remedy.

use crate::{error::CommandError, help::Topic};
use lexopt::{Arg, Parser, ValueExt};
use std::{ffi::OsString, str::FromStr};

/// One word of the command line.
#[derive(Debug)]
pub(super) enum Word {
    /// An option without its dashes.
    Option(String),
    /// Anything else.
    Value(String),
}

/// Reads the command line word by word.
#[derive(Debug)]
pub(super) struct Reader {
    parser: Parser,
    topic: Topic,
}

impl Reader {
    pub(super) fn new(words: Vec<OsString>, topic: Topic) -> Self {
        Reader {
            parser: Parser::from_args(words),
            topic,
        }
    }

    /// Names the subcommand that errors refer to.
    pub(super) fn set_topic(&mut self, topic: Topic) {
        self.topic = topic;
    }

    /// The next word. `--json` is passed over: it holds for every subcommand.
    pub(super) fn next(&mut self) -> Result<Option<Word>, CommandError> {
        let topic = self.topic;
        loop {
            let word = match self.parser.next().map_err(|e| fault(topic, &e))? {
                None => return Ok(None),
                Some(Arg::Long("json")) => continue,
                Some(Arg::Long(name)) => Word::Option(name.to_owned()),
                Some(Arg::Short('h')) => Word::Option("help".to_owned()),
                Some(Arg::Short(name)) => Word::Option(name.to_string()),
                Some(Arg::Value(value)) => Word::Value(value.to_string_lossy().into_owned()),
            };
            return Ok(Some(word));
        }
    }

    /// The next option without its dashes; what comes before it is added to `values`.
    pub(super) fn option(
        &mut self,
        values: &mut Vec<String>,
    ) -> Result<Option<String>, CommandError> {
        while let Some(word) = self.next()? {
            match word {
                Word::Value(value) => values.push(value),
                Word::Option(option) => return Ok(Some(option)),
            }
        }
        Ok(None)
    }

    /// The value of an option.
    pub(super) fn value(&mut self) -> Result<String, CommandError> {
        let value = self.parser.value().and_then(|value| value.string());
        value.map_err(|e| fault(self.topic, &e))
    }

    /// The value of an option, read as its type.
    pub(super) fn parse<T: FromStr>(
        &mut self,
        option: &str,
        form: &str,
    ) -> Result<T, CommandError> {
        let value = self.value()?;
        value.parse().map_err(|_| {
            CommandError::arguments(
                format!("`{value}` is no value for --{option}"),
                format!("write {form}"),
            )
        })
    }

    /// The value of an option, a number from 1 to `max`.
    pub(super) fn number(&mut self, option: &str, max: u64) -> Result<u64, CommandError> {
        let form = format!("a whole number from 1 to {max}");
        let number = self.parse(option, &form)?;
        match (1..=max).contains(&number) {
            true => Ok(number),
            false => Err(CommandError::arguments(
                format!("`{number}` is no value for --{option}"),
                format!("write {form}"),
            )),
        }
    }

    /// The value of an option, one of a few names.
    pub(super) fn one_of<T: Copy>(
        &mut self,
        option: &str,
        choices: &[(&str, T)],
    ) -> Result<T, CommandError> {
        let value = self.value()?;
        let found = choices.iter().find(|(name, _)| *name == value);
        found.map(|(_, choice)| *choice).ok_or_else(|| {
            let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
            CommandError::arguments(
                format!("`{value}` is no value for --{option}"),
                format!("write one of: {}", names.join(", ")),
            )
        })
    }

    /// The words of a subcommand, if there are as many as it takes.
    pub(super) fn exact<const N: usize>(
        &self,
        values: Vec<String>,
        form: &str,
    ) -> Result<[String; N], CommandError> {
        let count = values.len();
        values.try_into().map_err(|_| {
            let problem = match count < N {
                true => format!("`{}` needs more words", self.topic.name()),
                false => format!("`{}` got too many words", self.topic.name()),
            };
            CommandError::arguments(problem, format!("write {form}"))
        })
    }

    /// The error of an option that the subcommand does not know.
    pub(super) fn unknown(&self, option: &str) -> CommandError {
        let dashes = if option.chars().count() == 1 {
            "-"
        } else {
            "--"
        };
        CommandError::arguments(
            format!("unknown option {dashes}{option}"),
            format!("see {}", self.topic.help_command()),
        )
    }

    /// The error of a word that should be one of a few.
    pub(super) fn wrong_verb(&self, verb: &str, verbs: &str) -> CommandError {
        CommandError::arguments(
            format!("`{}` does not know `{verb}`", self.topic.name()),
            format!("write {verbs}"),
        )
    }
}

/// The error of a command line that cannot be split into words and options.
fn fault(topic: Topic, error: &lexopt::Error) -> CommandError {
    CommandError::arguments(error.to_string(), format!("see {}", topic.help_command()))
}
