//! Mutual TLS between nodes.

mod configs;
mod files;

pub(crate) use configs::PEER_NAME;
pub(crate) use configs::QuicConfigs;
pub use files::TlsError;
pub use files::TlsFiles;
pub(crate) use files::TlsPem;
