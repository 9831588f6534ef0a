//! Options that name the entry to ask and the operator's token.

use super::reader::Reader;
use crate::error::CommandError;
use std::{env, net::SocketAddr, path::PathBuf};

/// Variable that holds the operators' address.
const ADDRESS_VARIABLE: &str = "CORNELRAIL_TO";
/// Variable that holds the path of the token's file.
const TOKEN_VARIABLE: &str = "CORNELRAIL_TOKEN_FILE";

/// The entries to ask, and with which token.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Operators' addresses; the next is asked where one cannot be reached.
    pub addresses: Vec<SocketAddr>,
    /// File with the operator's token.
    pub token: PathBuf,
}

/// Values of the options so far.
#[derive(Debug, Default)]
pub(super) struct EntryOptions {
    to: Option<String>,
    token: Option<PathBuf>,
}

impl EntryOptions {
    /// Takes an option, or tells that no option has this name.
    pub(super) fn take(&mut self, option: &str, reader: &mut Reader) -> Result<(), CommandError> {
        match option {
            "to" => self.to = Some(reader.value()?),
            "token-file" => self.token = Some(reader.value()?.into()),
            _ => return Err(reader.unknown(option)),
        }
        Ok(())
    }

    /// The entry, from the options or else from the environment.
    pub(super) fn finish(self) -> Result<Entry, CommandError> {
        let to = self.to.or_else(|| env::var(ADDRESS_VARIABLE).ok());
        let Some(to) = to else {
            return Err(CommandError::arguments(
                "no entry to ask",
                "add --to ADDR, or set CORNELRAIL_TO",
            ));
        };
        let addresses = to.split(',').map(address).collect::<Result<_, _>>()?;
        let token = self
            .token
            .or_else(|| env::var_os(TOKEN_VARIABLE).map(PathBuf::from));
        let Some(token) = token else {
            return Err(CommandError::arguments(
                "no token",
                "add --token-file FILE, or set CORNELRAIL_TOKEN_FILE",
            ));
        };
        Ok(Entry { addresses, token })
    }
}

fn address(text: &str) -> Result<SocketAddr, CommandError> {
    text.trim().parse().map_err(|_| {
        CommandError::arguments(
            format!("`{text}` is no address"),
            "write an IP number and a port, such as 10.0.0.1:7103",
        )
    })
}
