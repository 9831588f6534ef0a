//! `cornelrail keys`: keys of entries and tokens of operators.

use crate::{
    authority,
    error::CommandError,
    output::{Lines, Output},
};
use serde_json::json;
use std::{
    fs,
    path::{Path, PathBuf},
};

/// Random bytes of a token.
const TOKEN_BYTES: usize = 32;

/// Makes the keys of a fleet.
pub(crate) fn make(folder: &Path, nodes: u64) -> Result<Output, CommandError> {
    let files = authority::make(folder, nodes)?;
    let mut lines = Lines::default();
    lines
        .add(&format!(
            "made {} files in {}",
            files.len(),
            folder.display()
        ))
        .add("copy to each entry N: authority.pem, entry-N.pem and entry-N.key")
        .add("keep authority.key off the entries");
    Ok(Output::new(lines.finish(), json!({ "files": files })))
}

/// Makes the keys of one more entry.
pub(crate) fn add(folder: &Path, node: u64) -> Result<Output, CommandError> {
    let files = authority::add(folder, node)?;
    let mut lines = Lines::default();
    lines.add(&format!(
        "made the keys of entry {node} in {}",
        folder.display()
    ));
    Ok(Output::new(lines.finish(), json!({ "files": files })))
}

/// Makes an operator's token, or reads the one that is there, and prints its digest.
pub(crate) fn token(file: &Path) -> Result<Output, CommandError> {
    let token = match file.exists() {
        true => read(file)?,
        false => make_token(file)?,
    };
    let digest = blake3::hash(token.as_bytes()).to_hex().to_string();
    let mut lines = Lines::default();
    lines.add("put into the settings of every entry:").gap();
    let settings = format!("  - name: NAME\n    digest: {digest}\n    approve: true\n");
    let text = lines.finish() + &settings;
    Ok(Output::new(text, json!({ "digest": digest })))
}

fn read(file: &Path) -> Result<String, CommandError> {
    let text = fs::read_to_string(file).map_err(|fault| CommandError::Read {
        path: PathBuf::from(file),
        fault,
    })?;
    Ok(text.trim().to_owned())
}

fn make_token(file: &Path) -> Result<String, CommandError> {
    let token: String = rand::random::<[u8; TOKEN_BYTES]>()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    authority::write_new(file, &format!("{token}\n"))?;
    Ok(token)
}
