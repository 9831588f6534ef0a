//! Settings file of this host: reading it, and checking that the host fits it.

use cornelrail_lib::process::settings::{Settings, SettingsError};
use miette::Diagnostic;
use std::{
    fs::{self, File},
    io::{self, Read},
    net::SocketAddr,
    path::{Path, PathBuf},
};
use thiserror::Error;

/// Longest settings file, in bytes: room for 3,300 peers.
const FILE_BYTES_MAX: u64 = 4 << 20;
/// File that is written and removed to try the data folder.
const TRIAL_FILE: &str = ".cornelrail-trial";

/// Why a daemon cannot start with a settings file.
#[derive(Debug, Error, Diagnostic)]
pub enum LoadError {
    /// The file cannot be read.
    #[error("{}:1: cannot read the settings: {fault}", path.display())]
    #[diagnostic(
        code(cornelrail::settings::read),
        help("check the path and its permissions")
    )]
    Read {
        /// The settings file.
        path: PathBuf,
        /// Why.
        fault: io::Error,
    },
    /// The file is far too long.
    #[error("{}:1: longer than 4MiB", path.display())]
    #[diagnostic(
        code(cornelrail::settings::size),
        help("name a settings file; this is none")
    )]
    Size {
        /// The settings file.
        path: PathBuf,
    },
    /// The file is wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// A file that the settings name cannot be read.
    #[error("{}:{line}: `{key}`: cannot read {}: {fault}", settings.display(), path.display())]
    #[diagnostic(
        code(cornelrail::settings::keys),
        help("make it with `cornelrail keys make`, and let this user read it")
    )]
    Key {
        /// The settings file.
        settings: PathBuf,
        /// Line of the key.
        line: usize,
        /// Key of the value.
        key: &'static str,
        /// The file that it names.
        path: PathBuf,
        /// Why.
        fault: io::Error,
    },
    /// A folder that the settings name cannot be written.
    #[error("{}:{line}: `{key}`: cannot write {}: {fault}", settings.display(), path.display())]
    #[diagnostic(
        code(cornelrail::settings::folder),
        help("make the folder on a disk, and let this user write it")
    )]
    Folder {
        /// The settings file.
        settings: PathBuf,
        /// Line of the key.
        line: usize,
        /// Key of the value.
        key: &'static str,
        /// The folder.
        path: PathBuf,
        /// Why.
        fault: io::Error,
    },
    /// An address cannot be listened on.
    #[error("{}:{line}: `listen.{key}`: cannot listen on {address}: {fault}", settings.display())]
    #[diagnostic(
        code(cornelrail::settings::listen),
        help("end the process that holds the address, or set another one")
    )]
    Listen {
        /// The settings file.
        settings: PathBuf,
        /// Line of the key.
        line: usize,
        /// Key of the value.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        fault: io::Error,
    },
}

impl LoadError {
    /// The error of an address that cannot be listened on; `key` is its key under `listen`.
    pub fn listen(path: &Path, key: &'static str, address: SocketAddr, fault: io::Error) -> Self {
        let text = fs::read_to_string(path).unwrap_or_default();
        LoadError::Listen {
            settings: path.to_owned(),
            line: line_of(&text, "listen", key),
            key,
            address,
            fault,
        }
    }
}

/// Reads a settings file and checks it, without a look at the host. Relative paths in it start at
/// the file's own folder.
pub fn read(path: &Path) -> Result<Settings, LoadError> {
    read_text(path).and_then(|text| parse(&text, path))
}

/// Reads a settings file and checks that this host can run it: its keys can be read, and
/// its data folder and the folder of its log can be made and written.
pub fn load(path: &Path) -> Result<Settings, LoadError> {
    let text = read_text(path)?;
    let settings = parse(&text, path)?;
    check_keys(&settings, &text, path)?;
    check_folders(&settings, &text, path)?;
    Ok(settings)
}

fn read_text(path: &Path) -> Result<String, LoadError> {
    let fail = |fault| LoadError::Read {
        path: path.to_owned(),
        fault,
    };
    let file = File::open(path).map_err(fail)?;
    let mut text = String::new();
    let bytes = file
        .take(FILE_BYTES_MAX + 1)
        .read_to_string(&mut text)
        .map_err(fail)?;
    if bytes as u64 > FILE_BYTES_MAX {
        return Err(LoadError::Size {
            path: path.to_owned(),
        });
    }
    Ok(text)
}

fn parse(text: &str, path: &Path) -> Result<Settings, LoadError> {
    let mut settings = Settings::parse(text, &path.display().to_string())?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let place = |file: &mut PathBuf| *file = folder.join(&file);
    settings.data.iter_mut().for_each(place);
    settings.log.folder.iter_mut().for_each(place);
    let tls = &mut settings.tls;
    [&mut tls.authority, &mut tls.certificate, &mut tls.key]
        .into_iter()
        .for_each(place);
    Ok(settings)
}

fn check_keys(settings: &Settings, text: &str, path: &Path) -> Result<(), LoadError> {
    let tls = &settings.tls;
    let files = [
        ("authority", &tls.authority),
        ("certificate", &tls.certificate),
        ("key", &tls.key),
    ];
    for (key, file) in files {
        File::open(file).map_err(|fault| LoadError::Key {
            settings: path.to_owned(),
            line: line_of(text, "tls", key),
            key,
            path: file.clone(),
            fault,
        })?;
    }
    Ok(())
}

/// Tries the data folder and the folder of the log, where there are such.
fn check_folders(settings: &Settings, text: &str, path: &Path) -> Result<(), LoadError> {
    let folders = [
        ("data", "data", &settings.data),
        ("log", "folder", &settings.log.folder),
    ];
    for (section, key, folder) in folders {
        let Some(folder) = folder else {
            continue;
        };
        try_folder(folder).map_err(|fault| LoadError::Folder {
            settings: path.to_owned(),
            line: line_of(text, section, key),
            key,
            path: folder.clone(),
            fault,
        })?;
    }
    Ok(())
}

/// Makes a folder if it is not there, and writes a file in it that it removes again.
fn try_folder(folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let trial = folder.join(TRIAL_FILE);
    File::create(&trial)?.sync_all()?;
    fs::remove_file(&trial)
}

/// Line of a key, from 1; `section` is the key that it stands under, or is the key itself.
fn line_of(text: &str, section: &str, key: &str) -> usize {
    let is_section = |line: &&str| holds_key(line, section) && !line.starts_with([' ', '#']);
    let lines = || text.lines().enumerate();
    let start = lines()
        .find(|(_, line)| is_section(line))
        .map_or(0, |(i, _)| i);
    lines()
        .skip(start)
        .find(|(_, line)| holds_key(line, key))
        .map_or(start + 1, |(i, _)| i + 1)
}

/// Whether a line holds `key:` as a word of its own.
fn holds_key(line: &str, key: &str) -> bool {
    line.match_indices(key).any(|(at, _)| {
        let before = line[..at].chars().next_back();
        let is_start = !before.is_some_and(|c| c.is_alphanumeric() || matches!(c, '_' | '/' | '#'));
        is_start && line[at + key.len()..].starts_with(':')
    })
}
