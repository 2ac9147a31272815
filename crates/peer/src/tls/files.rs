//! Certificate and key files.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem;
use rustls_pki_types::pem::PemObject;
use snafu::ResultExt;
use snafu::Snafu;

/// The reason why the certificates cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TlsError {
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file does not contain valid PEM text.
    #[snafu(display("malformed PEM: {source}"))]
    Pem {
        /// The cause.
        source: pem::Error,
    },
    /// A certificate is invalid or does not match its key.
    #[snafu(display("unusable certificate: {source}"))]
    Certificate {
        /// The cause.
        source: rustls::Error,
    },
    /// The authority's certificates cannot be used to check peers.
    #[snafu(display("unusable authority: {reason}"))]
    Authority {
        /// The cause.
        reason: String,
    },
}

/// The files that the settings name.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct TlsFiles {
    /// The certificates of the authorities that peers may have, one or more while keys change.
    pub ca_file: PathBuf,
    /// This node's certificate.
    pub certificate_file: PathBuf,
    /// This node's private key.
    pub key_file: PathBuf,
}

/// The content of the files when they were read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct TlsPem {
    ca: Vec<u8>,
    certificate: Vec<u8>,
    key: Vec<u8>,
}

impl TlsFiles {
    /// Reads the files. Blocking reads are acceptable, since the files are small and read rarely.
    pub(crate) fn read(&self) -> Result<TlsPem, TlsError> {
        Ok(TlsPem {
            ca: read(&self.ca_file)?,
            certificate: read(&self.certificate_file)?,
            key: read(&self.key_file)?,
        })
    }
}

fn read(path: &Path) -> Result<Vec<u8>, TlsError> {
    fs::read(path).context(ReadSnafu { path })
}

impl TlsPem {
    pub(crate) fn authorities(&self) -> Result<Vec<CertificateDer<'static>>, TlsError> {
        certificates(&self.ca)
    }

    pub(crate) fn chain(&self) -> Result<Vec<CertificateDer<'static>>, TlsError> {
        certificates(&self.certificate)
    }

    pub(crate) fn key(&self) -> Result<PrivateKeyDer<'static>, TlsError> {
        PrivateKeyDer::from_pem_slice(&self.key).context(PemSnafu)
    }
}

fn certificates(text: &[u8]) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    CertificateDer::pem_slice_iter(text).collect::<Result<_, _>>().context(PemSnafu)
}
