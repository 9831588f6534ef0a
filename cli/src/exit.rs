//! Exit codes, the same for every subcommand but `check`, which has two of its own.

/// The command did what it was asked to do.
pub(crate) const DONE: u8 = 0;
/// The thing asked about is not well: a note or a file is refused, a check failed.
pub(crate) const REFUSED: u8 = 1;
/// The arguments are wrong; nothing was done.
pub(crate) const USAGE: u8 = 2;
/// Another note won the version.
pub(crate) const CONFLICT: u8 = 3;
/// No answer: the entry cannot be reached, or the outcome is unknown.
pub(crate) const NO_ANSWER: u8 = 4;
/// The token is missing, wrong, or may not do this.
pub(crate) const NOT_ALLOWED: u8 = 5;
/// `check` found warnings and no error.
pub(crate) const CHECK_WARNINGS: u8 = 2;
/// The arguments of `check` are wrong; its code for warnings must not mean that too.
pub(crate) const CHECK_USAGE: u8 = 64;
