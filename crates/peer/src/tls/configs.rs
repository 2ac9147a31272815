//! QUIC client and server configurations with mutual TLS.

use std::sync::Arc;
use std::time::Duration;

use quinn::ClientConfig;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::crypto::ring;
use rustls::server::WebPkiClientVerifier;
use rustls::version::TLS13;
use snafu::ResultExt;

use super::files::CertificateSnafu;
use super::files::TlsError;
use super::files::TlsPem;

/// The DNS name in every node's certificate.
pub(crate) const PEER_NAME: &str = "peer.redwingrill";

/// The protocol and its version, negotiated by ALPN.
const PROTOCOL: &[u8] = b"redwingrill-peer/1";

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT_MS: u32 = 10_000;

/// Concurrent streams per peer. A peer uses one for its calls; the others allow replacements.
const STREAMS_LIMIT: u32 = 4;

/// The client and server configurations.
pub(crate) struct QuicConfigs {
    pub client: ClientConfig,
    pub server: ServerConfig,
}

impl QuicConfigs {
    pub(crate) fn new(pem: &TlsPem) -> Result<Self, TlsError> {
        let roots = Arc::new(roots(pem)?);
        let transport = Arc::new(transport());
        let mut server = ServerConfig::with_crypto(Arc::new(server_crypto(pem, roots.clone())?));
        server.transport_config(transport.clone());
        let mut client = ClientConfig::new(Arc::new(client_crypto(pem, roots)?));
        client.transport_config(transport);
        Ok(Self { client, server })
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_LIMIT))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .initial_rtt(Duration::from_millis(10))
        // Messages are short: MTU probing would cost more than larger packets save.
        .mtu_discovery_config(None);
    transport
}

fn roots(pem: &TlsPem) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in pem.authorities()? {
        roots.add(certificate).context(CertificateSnafu)?;
    }
    Ok(roots)
}

fn server_crypto(pem: &TlsPem, roots: Arc<RootCertStore>) -> Result<QuicServerConfig, TlsError> {
    let provider = Arc::new(ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(authority_error)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .context(CertificateSnafu)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(pem.chain()?, pem.key()?)
        .context(CertificateSnafu)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    QuicServerConfig::try_from(config).map_err(authority_error)
}

fn client_crypto(pem: &TlsPem, roots: Arc<RootCertStore>) -> Result<QuicClientConfig, TlsError> {
    let provider = Arc::new(ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .context(CertificateSnafu)?
        .with_root_certificates(roots)
        .with_client_auth_cert(pem.chain()?, pem.key()?)
        .context(CertificateSnafu)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    QuicClientConfig::try_from(config).map_err(authority_error)
}

fn authority_error(error: impl std::fmt::Display) -> TlsError {
    TlsError::Authority { reason: error.to_string() }
}
