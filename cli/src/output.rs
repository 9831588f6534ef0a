//! Output for people, 48 columns wide, and for machines, as JSON.

use crate::{error::CommandError, exit};
use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use serde::Serialize;
use serde_json::json;
use std::{
    io::{self, Write},
    process::ExitCode,
};

/// Columns of the output for people.
pub(crate) const COLUMNS: usize = 48;

/// Who reads the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// People.
    Text,
    /// Machines.
    Json,
}

/// What a subcommand found.
#[derive(Debug)]
pub(crate) struct Output {
    text: String,
    json: String,
    code: u8,
}

impl Output {
    /// Output of lines alone.
    pub(crate) fn text(text: impl Into<String>) -> Self {
        let text = text.into();
        let value = json!({ "text": text });
        Output::new(text, value)
    }

    /// No output at all.
    pub(crate) fn empty() -> Self {
        Output::with_json(String::new(), String::new())
    }

    /// Output of lines for people and a value for machines.
    pub(crate) fn new(text: String, value: impl Serialize) -> Self {
        let json = serde_json::to_string(&value).unwrap_or_default();
        Output::with_json(text, json)
    }

    /// Output of lines for people and a JSON object for machines.
    pub(crate) fn with_json(text: String, json: String) -> Self {
        Output {
            text,
            json,
            code: exit::DONE,
        }
    }

    /// The same output with another exit code.
    pub(crate) fn with_code(self, code: u8) -> Self {
        Output { code, ..self }
    }

    /// Exit code of the command.
    pub(crate) fn code(&self) -> ExitCode {
        ExitCode::from(self.code)
    }

    /// Prints the output; a reader that has gone is no error.
    pub(crate) fn print(&self, format: Format) {
        let text = match format {
            Format::Text => self.text.trim_end(),
            Format::Json => &self.json,
        };
        if !text.is_empty() {
            let _ = writeln!(io::stdout().lock(), "{text}");
        }
    }
}

/// Prints one error with its remedy: to standard error, or as JSON to standard output.
pub(crate) fn print_error(error: &CommandError, format: Format) {
    match format {
        Format::Text => {
            let _ = write!(io::stderr().lock(), "{}", report(error));
        }
        Format::Json => {
            let part = |part: Option<Box<dyn std::fmt::Display + '_>>| part.map(|p| p.to_string());
            let object = json!({
                "error": error.to_string(),
                "code": part(error.code_text()),
                "remedy": part(error.help()),
            });
            let _ = writeln!(io::stdout().lock(), "{object}");
        }
    }
}

/// Lays an error out for people.
fn report(error: &CommandError) -> String {
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::none())
        .with_width(COLUMNS)
        .with_links(false)
        .without_cause_chain();
    if handler.render_report(&mut text, error).is_err() {
        text = format!("{error}\n");
    }
    text
}

impl CommandError {
    /// Code of the diagnostic.
    fn code_text(&self) -> Option<Box<dyn std::fmt::Display + '_>> {
        Diagnostic::code(self)
    }
}

/// Lines of at most [`COLUMNS`] columns; long words are cut.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    text: String,
}

impl Lines {
    /// Adds a line, broken between words where it is too long; its rest is indented.
    pub(crate) fn add(&mut self, line: &str) -> &mut Self {
        let words = line.trim_start_matches(' ');
        let mut width = line.len() - words.len();
        self.text.push_str(&line[..width]);
        for (i, word) in words.split(' ').enumerate() {
            self.add_word(word, i > 0, &mut width);
        }
        self.text.push('\n');
        self
    }

    /// Adds a word to the current line, or to a new one.
    fn add_word(&mut self, word: &str, follows: bool, width: &mut usize) {
        const INDENT: usize = 2;
        let length = word.chars().count();
        if follows && *width + 1 + length > COLUMNS {
            self.text.push_str("\n  ");
            *width = INDENT;
        } else if follows {
            self.text.push(' ');
            *width += 1;
        }
        for c in word.chars() {
            if *width == COLUMNS {
                self.text.push_str("\n  ");
                *width = INDENT;
            }
            self.text.push(c);
            *width += 1;
        }
    }

    /// Adds an empty line.
    pub(crate) fn gap(&mut self) -> &mut Self {
        self.text.push('\n');
        self
    }

    /// The text of all lines.
    pub(crate) fn finish(self) -> String {
        self.text
    }
}
