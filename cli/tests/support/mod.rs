//! Runs the command as an operator does.

use std::{
    path::{Path, PathBuf},
    process::{Command, Output},
};

/// What a run printed, and how it ended.
#[derive(Debug)]
pub(crate) struct Run {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl Run {
    /// Everything that an operator sees, for a snapshot.
    pub(crate) fn screen(&self) -> String {
        format!("{}{}exit {}", self.out, self.err, self.code)
    }
}

/// Root of the workspace, where sample files are found.
pub(crate) fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// A command without an entry to ask in its environment.
pub(crate) fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cornelrail"));
    command
        .args(args)
        .current_dir(root())
        .env_remove("CORNELRAIL_TO")
        .env_remove("CORNELRAIL_TOKEN_FILE");
    command
}

/// Runs the command to its end.
pub(crate) fn run(args: &[&str]) -> Run {
    finish(command(args))
}

/// Runs the command to its end in a folder, so that its output holds no path of the machine.
pub(crate) fn run_in(folder: &Path, args: &[&str]) -> Run {
    let mut command = command(args);
    command.current_dir(folder);
    finish(command)
}

/// Runs a prepared command to its end.
pub(crate) fn finish(mut command: Command) -> Run {
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().expect("the command runs");
    Run {
        code: status.code().expect("the command ends by itself"),
        out: String::from_utf8(stdout).expect("text"),
        err: String::from_utf8(stderr).expect("text"),
    }
}
