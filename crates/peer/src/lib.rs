//! Calls between nodes: tarpc over QUIC with mutual TLS.
