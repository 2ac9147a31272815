//! How the routers of a site reach each other: keys in files, and addresses known beforehand.

use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;

use snafu::ResultExt;
use snafu::Snafu;

use redwingrill_peer::KeyError;
use redwingrill_peer::make_deployment_keys;

/// The loopback network of routers, apart from those of other experiments.
const NETWORK: u8 = 3;
/// Addresses in the last byte of a loopback address.
const HOSTS: usize = 250;

/// Why routers would not reach each other.
#[derive(Debug, Snafu)]
pub enum PeerSetupError {
    /// A file or a port is not to be had.
    #[snafu(display("keys of routers: {source}"))]
    Machine {
        /// The cause.
        source: io::Error,
    },
    /// The keys were not made.
    #[snafu(display("keys of routers: {source}"))]
    Keys {
        /// The cause.
        source: KeyError,
    },
}

/// Keys and addresses for routers. Dropping it removes the files.
#[derive(Debug)]
pub struct PeerNetwork {
    directory: PathBuf,
    port: u16,
}

impl PeerNetwork {
    /// Makes keys and finds a port that is free on all loopback addresses.
    pub fn new() -> Result<Self, PeerSetupError> {
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).context(MachineSnafu)?;
        let port = socket.local_addr().context(MachineSnafu)?.port();
        let name = format!("redwingrill-site-{}-{port}", std::process::id());
        let network = Self { directory: std::env::temp_dir().join(name), port };
        fs::create_dir_all(&network.directory).context(MachineSnafu)?;
        write_keys(&network.directory)?;
        Ok(network)
    }

    /// Returns the address for peers of the router with this number.
    pub fn address(&self, number: usize) -> SocketAddr {
        let [third, fourth] = [number / HOSTS, number % HOSTS + 1].map(|part| part as u8);
        SocketAddr::from((Ipv4Addr::new(127, NETWORK, third, fourth), self.port))
    }

    /// Returns the sections that let a router reach those with the numbers of `seeds`.
    pub fn sections(&self, seeds: std::ops::Range<usize>) -> String {
        let seeds: Vec<String> = seeds.map(|number| self.address(number).to_string()).collect();
        format!("{}[peers]\nseeds = {}\n\n", tls_section(&self.directory), seeds.join(", "))
    }
}

/// Writes a site's authority, and one key and certificate that all its routers use.
pub fn write_keys(directory: &Path) -> Result<(), PeerSetupError> {
    let keys = make_deployment_keys("site", &["router"]).context(KeysSnafu)?;
    let files = [
        ("ca.pem", &keys.authority_certificate_pem),
        ("router.pem", &keys.nodes[0].certificate_pem),
        ("key.pem", &keys.nodes[0].key_pem),
    ];
    for (name, text) in files {
        fs::write(directory.join(name), text).context(MachineSnafu)?;
    }
    Ok(())
}

/// Returns the section of settings that names the files of [`write_keys`].
pub fn tls_section(directory: &Path) -> String {
    let directory = directory.display();
    format!(
        "[tls]\nca_file = {directory}/ca.pem\ncertificate_file = {directory}/router.pem\n\
         key_file = {directory}/key.pem\n\n"
    )
}

impl Drop for PeerNetwork {
    fn drop(&mut self) {
        // The files lie in the directory for temporary files; left ones harm nothing.
        let _left = fs::remove_dir_all(&self.directory).is_err();
    }
}
