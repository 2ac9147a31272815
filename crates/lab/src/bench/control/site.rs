//! The configuration and the settings of the experiment.

use std::fmt::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::path::Path;

use snafu::ResultExt;

use super::ApplySnafu;
use super::ControlError;
use super::ControlOptions;
use super::MachineSnafu;
use crate::platform::RunningPlatform;
use crate::site::tls_section;
use redwingrill_config::ApplyId;
use redwingrill_config::ApplyRequest;
use redwingrill_config::Generation;
use redwingrill_config::KeyHash;
use redwingrill_config::apply;
use redwingrill_config::parse_str;
use redwingrill_entity::Names;

/// Nodes that all others take for seeds.
const SEEDS: usize = 3;

/// Addresses in the last byte of a loopback address.
const HOSTS: usize = 250;

/// Engines and nodes have loopback networks of their own.
const ENGINE_NETWORK: u8 = 1;
const NODE_NETWORK: u8 = 2;

fn address(network: u8, number: usize, port: u16) -> SocketAddr {
    let [third, fourth] = [number / HOSTS, number % HOSTS + 1].map(|part| part as u8);
    SocketAddr::from((Ipv4Addr::new(127, network, third, fourth), port))
}

/// The address of a node for its peers.
pub(super) fn peer_address(number: usize, port: u16) -> SocketAddr {
    address(NODE_NETWORK, number, port)
}

/// Finds a port that no process holds on any loopback address.
pub(super) fn free_udp_port() -> Result<u16, ControlError> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).context(MachineSnafu)?;
    Ok(socket.local_addr().context(MachineSnafu)?.port())
}

/// The desired state as the operator writes it. `change` varies one account.
fn configuration(options: &ControlOptions, load_port: u16, change: u64) -> String {
    let mut text = "[priority checks]\nlevel = 0\nfirst_token_target = 1 s\n\
         queue_deadline = 10 s\n[model assistant]\nweights_version = v1\n"
        .to_owned();
    // Writing to a string cannot fail.
    let _ = write_all(&mut text, options, load_port, change);
    text
}

fn write_all(
    text: &mut String,
    options: &ControlOptions,
    load_port: u16,
    change: u64,
) -> std::fmt::Result {
    let changed = change as usize % options.accounts.max(1);
    for n in 0..options.accounts {
        let hash = KeyHash::of(&format!("key-{n}")).0;
        let hash: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
        let weight = if n == changed { 2 + change % 90 } else { 1 };
        writeln!(text, "[account account-{n}]\nkey_hashes = blake3:{hash}")?;
        writeln!(text, "priorities = checks\nweight = {weight}")?;
    }
    for n in 0..options.engines {
        let address = address(ENGINE_NETWORK, n, load_port);
        writeln!(text, "[upstream engine-{n}]\nkind = engine\naddress = {address}")?;
        writeln!(text, "failure_domain = domain-{}", n % options.domains)?;
        writeln!(text, "model = assistant\nfencing = checked")?;
    }
    Ok(())
}

/// Makes a further configuration the accepted one.
///
/// # Errors
///
/// See [`ControlError`].
pub async fn accept(
    options: &ControlOptions,
    platform: &RunningPlatform,
    load_port: u16,
    change: u64,
) -> Result<Generation, ControlError> {
    let text = configuration(options, load_port, change);
    let mut names = Names::default();
    let state = parse_str("control.ini", &text, &mut names)
        .map_err(|faults| ControlError::Invalid { faults })?;
    let request = ApplyRequest {
        state: &state,
        names: &names,
        apply_id: ApplyId(change),
        expected: None,
        in_force: Generation::default(),
    };
    Ok(apply(&platform.store, request).await.context(ApplySnafu)?.generation)
}

/// The settings of one node.
pub(super) fn settings(
    number: usize,
    domains: usize,
    peer_port: u16,
    platform: SocketAddr,
    directory: &Path,
) -> String {
    let seeds: Vec<String> = (0..SEEDS).map(|n| peer_address(n, peer_port).to_string()).collect();
    let peer_listen = peer_address(number, peer_port);
    let domain = number % domains;
    format!(
        "[node]\nname = node-{number}\nlisten = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\n\
         peer_listen = {peer_listen}\nfailure_domain = domain-{domain}\n\
         [platform]\nendpoints = {platform}\n[peers]\nseeds = {}\n{}[log]\nlevel = error\n",
        seeds.join(", "),
        tls_section(directory),
    )
}
