//! Mutual TLS between nodes.

mod configs;
mod files;

pub(crate) use configs::Configs;
pub(crate) use configs::PEER_NAME;
pub use files::TlsError;
pub use files::TlsFiles;
pub(crate) use files::TlsTexts;
