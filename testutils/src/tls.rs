//! Keys of a fleet: an authority of its own and a certificate for each entry.

use cornelrail_lib::{name::Node, process::settings::Tls};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use std::{fs, io, path::Path};

/// Why no keys were made.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A certificate could not be made.
    #[error("cannot make a certificate: {0}; check the names of the entries")]
    Make(#[from] rcgen::Error),
    /// A file could not be written.
    #[error("cannot write the keys: {0}; check that the folder can be written")]
    Write(#[from] io::Error),
}

/// Name of an entry in its certificate.
pub fn entry_name(node: Node) -> String {
    format!("entry-{node}")
}

/// Writes `authority.pem`, and `entry-N.pem` and `entry-N.key` for each node, into a folder.
pub fn make(folder: &Path, nodes: &[Node]) -> Result<Vec<Tls>, TlsError> {
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "cornelrail fleet authority");
    let authority = folder.join("authority.pem");
    fs::write(&authority, params.self_signed(&key)?.pem())?;
    let issuer = Issuer::new(params, key);
    nodes
        .iter()
        .map(|node| make_entry(folder, &authority, &issuer, *node))
        .collect()
}

fn make_entry(
    folder: &Path,
    authority: &Path,
    issuer: &Issuer<'_, KeyPair>,
    node: Node,
) -> Result<Tls, TlsError> {
    let name = entry_name(node);
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new(vec![name.clone()])?;
    params
        .distinguished_name
        .push(DnType::CommonName, name.as_str());
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let files = Tls {
        authority: authority.to_owned(),
        certificate: folder.join(format!("{name}.pem")),
        key: folder.join(format!("{name}.key")),
    };
    fs::write(&files.certificate, params.signed_by(&key, issuer)?.pem())?;
    fs::write(&files.key, key.serialize_pem())?;
    Ok(files)
}
