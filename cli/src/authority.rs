//! Keys of a fleet: its own authority, and a certificate for each entry.
//!
//! The authority's key stays in the folder, so that entries can be added later; it belongs on no
//! entry host. Files of keys can be read by their owner only, and nothing is overwritten.

use crate::error::CommandError;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use std::{
    fs::{self, DirBuilder, OpenOptions},
    io::Write,
    os::unix::fs::{DirBuilderExt, OpenOptionsExt},
    path::{Path, PathBuf},
};

/// Name of the authority in its certificate.
const AUTHORITY_NAME: &str = "cornelrail fleet authority";
/// File of the authority's certificate.
const AUTHORITY_FILE: &str = "authority.pem";
/// File of the authority's private key.
const AUTHORITY_KEY: &str = "authority.key";
/// Permissions of a file with a key.
const PRIVATE: u32 = 0o600;
/// Permissions of a folder with keys.
const PRIVATE_FOLDER: u32 = 0o700;

/// Makes a folder with the authority and the keys of entries 1 to `nodes`; names its files.
pub(crate) fn make(folder: &Path, nodes: u64) -> Result<Vec<PathBuf>, CommandError> {
    let made = DirBuilder::new().mode(PRIVATE_FOLDER).create(folder);
    made.map_err(|fault| CommandError::Write {
        path: folder.to_owned(),
        fault,
    })?;
    let key = KeyPair::generate()?;
    let params = authority_params();
    let certificate = params.self_signed(&key)?.pem();
    let mut files = vec![
        write_new(&folder.join(AUTHORITY_FILE), &certificate)?,
        write_new(&folder.join(AUTHORITY_KEY), &key.serialize_pem())?,
    ];
    let issuer = Issuer::new(params, key);
    for node in 1..=nodes {
        files.extend(make_entry(folder, &issuer, node)?);
    }
    Ok(files)
}

/// Adds the keys of one entry to a folder with its authority; names the new files.
pub(crate) fn add(folder: &Path, node: u64) -> Result<Vec<PathBuf>, CommandError> {
    let path = folder.join(AUTHORITY_KEY);
    let text = fs::read_to_string(&path).map_err(|fault| CommandError::Read { path, fault })?;
    let key = KeyPair::from_pem(&text)?;
    make_entry(folder, &Issuer::new(authority_params(), key), node)
}

/// Writes a new file that only its owner can read.
pub(crate) fn write_new(path: &Path, text: &str) -> Result<PathBuf, CommandError> {
    let opened = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(PRIVATE)
        .open(path);
    opened
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|fault| CommandError::Write {
            path: path.to_owned(),
            fault,
        })?;
    Ok(path.to_owned())
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
        .distinguished_name
        .push(DnType::CommonName, AUTHORITY_NAME);
    params
}

fn make_entry(
    folder: &Path,
    issuer: &Issuer<'_, KeyPair>,
    node: u64,
) -> Result<Vec<PathBuf>, CommandError> {
    let name = format!("entry-{node}");
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new(vec![name.clone()])?;
    params
        .distinguished_name
        .push(DnType::CommonName, name.as_str());
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let certificate = params.signed_by(&key, issuer)?.pem();
    Ok(vec![
        write_new(&folder.join(format!("{name}.pem")), &certificate)?,
        write_new(&folder.join(format!("{name}.key")), &key.serialize_pem())?,
    ])
}
