//! QUIC endpoint of this entry, with mutual TLS.
//!
//! Each entry holds a certificate for the name `entry-N` from the fleet's own authority. A process
//! without one gets nothing past the handshake, and the protocol name carries the fleet's name, so
//! entries of two fleets never speak to each other.

use cornelrail_lib::{
    name::Node,
    process::settings::{Peer, Settings, Tls},
};
use quinn::{
    ClientConfig, ConnectError, Connection, ConnectionError, Endpoint, IdleTimeout, ServerConfig,
    TransportConfig, VarInt,
    crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig},
};
use rustls::{
    RootCertStore,
    client::verify_server_name,
    pki_types::{CertificateDer, PrivateKeyDer, ServerName},
    server::{ParsedCertificate, VerifierBuilderError, WebPkiClientVerifier},
};
use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};
use thiserror::Error;

const IDLE_TIMEOUT_MS: u32 = 1_500;
const KEEP_ALIVE: Duration = Duration::from_millis(150);
const STREAMS_HELD: u32 = 20_000;
const INITIAL_RTT: Duration = Duration::from_millis(5);

/// Why the endpoint could not be made or a peer not be reached.
#[derive(Debug, Error)]
pub enum TransportError {
    /// A key file cannot be read.
    #[error("cannot read {}: {source}; make keys with `cornelrail keys make`", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A key file holds no usable certificate or key.
    #[error("{} holds no usable PEM item; make keys with `cornelrail keys make`", .0.display())]
    Empty(PathBuf),
    /// The keys do not fit together.
    #[error("the TLS keys do not fit together: {0}; make keys with `cornelrail keys make`")]
    Tls(#[from] rustls::Error),
    /// The authority's certificate is not usable.
    #[error("the authority's certificate is not usable: {0}")]
    Verifier(#[from] VerifierBuilderError),
    /// The cipher suites lack the one that QUIC starts with.
    #[error("the TLS library lacks the cipher suite that QUIC starts with: {0}")]
    Suite(#[from] NoInitialCipherSuite),
    /// The address cannot be bound.
    #[error("cannot listen for peers on {address}: {source}; free it or set `listen.peers`")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The peer cannot be dialled.
    #[error("cannot dial the peer: {0}")]
    Dial(#[from] ConnectError),
    /// The peer turned the connection away or did not answer.
    #[error("the peer did not take the connection: {0}")]
    Refused(#[from] ConnectionError),
}

/// The endpoint with what it needs to dial and to know its peers.
#[derive(Debug, Clone)]
pub struct Transport {
    endpoint: Endpoint,
    client: ClientConfig,
    peers: Arc<[Peer]>,
}

impl Transport {
    /// Binds the endpoint at the settings' address for peers.
    pub fn bind(settings: &Settings) -> Result<Transport, TransportError> {
        let protocol = format!("cornelrail/1/{}", settings.fleet).into_bytes();
        let keys = Keys::load(&settings.tls)?;
        let server = keys.server_config(&protocol)?;
        let client = keys.client_config(&protocol)?;
        let address = settings.listen.peers;
        let endpoint = Endpoint::server(server, address)
            .map_err(|source| TransportError::Bind { address, source })?;
        Ok(Transport {
            endpoint,
            client,
            peers: settings.peers.clone().into(),
        })
    }

    /// Address that the endpoint is bound to.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Dials a peer and checks that it is the one that was meant.
    pub async fn dial(&self, peer: &Peer) -> Result<Connection, TransportError> {
        let name = host_name(peer.node);
        let connecting = self
            .endpoint
            .connect_with(self.client.clone(), peer.address, &name)?;
        Ok(connecting.await?)
    }

    /// Waits for the next connection that passes the handshake; `None` once the endpoint is closed.
    pub async fn accept(&self) -> Option<quinn::Incoming> {
        self.endpoint.accept().await
    }

    /// The listed peer that a connection comes from, by its certificate.
    pub fn identify(&self, connection: &Connection) -> Option<Node> {
        let identity = connection.peer_identity()?;
        let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
        let certificate = ParsedCertificate::try_from(chain.first()?).ok()?;
        let is_named = |peer: &&Peer| {
            ServerName::try_from(host_name(peer.node))
                .is_ok_and(|name| verify_server_name(&certificate, &name).is_ok())
        };
        self.peers.iter().find(is_named).map(|peer| peer.node)
    }

    /// Closes all connections at once.
    pub fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
    }
}

/// Name of an entry in certificates.
pub fn host_name(node: Node) -> String {
    format!("entry-{node}")
}

struct Keys {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Keys {
    fn load(tls: &Tls) -> Result<Keys, TransportError> {
        let mut roots = RootCertStore::empty();
        for certificate in certificates(&tls.authority)? {
            roots.add(certificate)?;
        }
        Ok(Keys {
            roots: Arc::new(roots),
            chain: certificates(&tls.certificate)?,
            key: private_key(&tls.key)?,
        })
    }

    fn server_config(&self, protocol: &[u8]) -> Result<ServerConfig, TransportError> {
        let verifier = WebPkiClientVerifier::builder(self.roots.clone()).build()?;
        let mut tls = rustls::ServerConfig::builder()
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        tls.alpn_protocols = vec![protocol.to_vec()];
        let mut config = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls)?));
        config.transport_config(transport_config());
        Ok(config)
    }

    fn client_config(&self, protocol: &[u8]) -> Result<ClientConfig, TransportError> {
        let mut tls = rustls::ClientConfig::builder()
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        tls.alpn_protocols = vec![protocol.to_vec()];
        let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
        config.transport_config(transport_config());
        Ok(config)
    }
}

fn transport_config() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .keep_alive_interval(Some(KEEP_ALIVE))
        .initial_rtt(INITIAL_RTT)
        .max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_HELD))
        .max_concurrent_uni_streams(VarInt::from_u32(STREAMS_HELD));
    Arc::new(config)
}

fn read_file(path: &Path) -> Result<Vec<u8>, TransportError> {
    fs::read(path).map_err(|source| TransportError::File {
        path: path.to_owned(),
        source,
    })
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TransportError> {
    let bytes = read_file(path)?;
    let found: Vec<_> = rustls_pemfile::certs(&mut bytes.as_slice())
        .filter_map(Result::ok)
        .collect();
    if found.is_empty() {
        return Err(TransportError::Empty(path.to_owned()));
    }
    Ok(found)
}

fn private_key(path: &Path) -> Result<PrivateKeyDer<'static>, TransportError> {
    let bytes = read_file(path)?;
    rustls_pemfile::private_key(&mut bytes.as_slice())
        .ok()
        .flatten()
        .ok_or_else(|| TransportError::Empty(path.to_owned()))
}
