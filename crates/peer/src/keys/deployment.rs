//! A certificate authority and the node certificates that it signs.

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;
use snafu::ResultExt;
use snafu::Snafu;

use crate::tls::PEER_NAME;

/// A key or certificate could not be generated.
#[derive(Debug, Snafu)]
#[snafu(display("cannot generate a key or certificate: {source}"))]
pub struct KeyError {
    source: rcgen::Error,
}

/// The key and certificate of one node, as PEM text.
#[derive(Clone, Debug)]
pub struct NodeKeys {
    /// The name of the node.
    pub name: String,
    /// The certificate.
    pub certificate_pem: String,
    /// The private key.
    pub key_pem: String,
}

/// The keys and certificates of a deployment, as PEM text.
#[derive(Clone, Debug)]
pub struct DeploymentKeys {
    /// The certificate of the authority, needed by every node.
    pub authority_certificate_pem: String,
    /// The private key of the authority, for adding further nodes. Nodes do not need it.
    pub authority_key_pem: String,
    /// The keys of the nodes.
    pub nodes: Vec<NodeKeys>,
}

/// Generates a certificate authority for a deployment, and a key and certificate for each node.
///
/// # Errors
///
/// See [`KeyError`].
pub fn make_deployment_keys(deployment: &str, nodes: &[&str]) -> Result<DeploymentKeys, KeyError> {
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, format!("{deployment} authority"));
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let key = KeyPair::generate().context(KeySnafu)?;
    let authority = CertifiedIssuer::self_signed(params, key).context(KeySnafu)?;
    let nodes = nodes.iter().map(|name| node_keys(name, &authority));
    Ok(DeploymentKeys {
        authority_certificate_pem: authority.pem(),
        authority_key_pem: authority.key().serialize_pem(),
        nodes: nodes.collect::<Result<_, _>>()?,
    })
}

fn node_keys(name: &str, authority: &CertifiedIssuer<'_, KeyPair>) -> Result<NodeKeys, KeyError> {
    // Nodes connect to each other by address, so all certificates have the same DNS name.
    let mut params = CertificateParams::new(vec![PEER_NAME.to_owned()]).context(KeySnafu)?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let key = KeyPair::generate().context(KeySnafu)?;
    let certificate = params.signed_by(&key, authority).context(KeySnafu)?;
    Ok(NodeKeys {
        name: name.to_owned(),
        certificate_pem: certificate.pem(),
        key_pem: key.serialize_pem(),
    })
}
