//! `keys`: keys and certificates for the connections between nodes.

use std::fs;
use std::io;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::path::PathBuf;

use serde_json::json;

use super::OperatorError;
use super::command::KeysArgs;
use super::execute::Printed;
use redwingrill_peer::DeploymentKeys;
use redwingrill_peer::make_deployment_keys;

/// Readable by its owner only.
const KEY_MODE: u32 = 0o600;

const CERTIFICATE_MODE: u32 = 0o644;

/// One file to write.
struct Output<'a> {
    name: String,
    text: &'a str,
    mode: u32,
}

/// Makes a set of keys and writes it as files, none of which may be there already.
pub fn keys(args: &KeysArgs) -> Result<Printed, OperatorError> {
    if let Some(name) = args.nodes.iter().find(|name| !is_file_name(name)) {
        let reason = "a node's name has letters, digits, and . _ - only".to_owned();
        return Err(OperatorError::Keys { path: PathBuf::from(name), reason });
    }
    let names: Vec<&str> = args.nodes.iter().map(String::as_str).collect();
    let site = make_deployment_keys(&args.site, &names).map_err(|error| OperatorError::Keys {
        path: args.directory.clone(),
        reason: error.to_string(),
    })?;
    let written = write_all(&args.directory, &outputs(&site))?;
    let lines: Vec<String> = written.iter().map(|path| format!("{}\n", path.display())).collect();
    Ok(Printed { text: lines.concat(), json: json!({ "files": written }) })
}

fn outputs(site: &DeploymentKeys) -> Vec<Output<'_>> {
    let certificate =
        |name: &str, text| Output { name: format!("{name}.pem"), text, mode: CERTIFICATE_MODE };
    let key = |name: &str, text| Output { name: format!("{name}-key.pem"), text, mode: KEY_MODE };
    let mut outputs = vec![
        certificate("ca", site.authority_certificate_pem.as_str()),
        key("ca", &site.authority_key_pem),
    ];
    for node in &site.nodes {
        outputs.push(certificate(&node.name, &node.certificate_pem));
        outputs.push(key(&node.name, &node.key_pem));
    }
    outputs
}

fn write_all(directory: &Path, outputs: &[Output<'_>]) -> Result<Vec<PathBuf>, OperatorError> {
    let failed = |path: &Path, error: io::Error| OperatorError::Keys {
        path: path.to_owned(),
        reason: error.to_string(),
    };
    fs::create_dir_all(directory).map_err(|error| failed(directory, error))?;
    let paths: Vec<PathBuf> = outputs.iter().map(|output| directory.join(&output.name)).collect();
    if let Some(path) = paths.iter().find(|path| path.exists()) {
        return Err(failed(path, io::ErrorKind::AlreadyExists.into()));
    }
    for (path, output) in paths.iter().zip(outputs) {
        write_new(path, output).map_err(|error| failed(path, error))?;
    }
    Ok(paths)
}

fn write_new(path: &Path, output: &Output<'_>) -> io::Result<()> {
    let mut file =
        fs::OpenOptions::new().write(true).create_new(true).mode(output.mode).open(path)?;
    file.write_all(output.text.as_bytes())
}

fn is_file_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    // The authority's files have this name.
    name != "ca" && !name.starts_with('.') && !name.is_empty() && name.chars().all(allowed)
}
