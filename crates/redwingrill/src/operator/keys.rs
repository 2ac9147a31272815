//! `keys`: creates keys and certificates for the connections between nodes.

use std::fs;
use std::io;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::path::PathBuf;

use serde_json::json;

use super::OperatorError;
use super::command::KeysArgs;
use super::execute::CommandOutput;
use redwingrill_peer::DeploymentKeys;
use redwingrill_peer::make_deployment_keys;

/// Only the owner may read a private key.
const KEY_MODE: u32 = 0o600;

const CERTIFICATE_MODE: u32 = 0o644;

/// One file to write.
struct KeyFile<'a> {
    name: String,
    text: &'a str,
    mode: u32,
}

/// Creates the keys of a deployment and writes them to files. Existing files are an error.
pub fn keys(args: &KeysArgs) -> Result<CommandOutput, OperatorError> {
    if let Some(name) = args.nodes.iter().find(|name| !is_file_name(name)) {
        let reason = "a node's name has letters, digits, and . _ - only".to_owned();
        return Err(OperatorError::Keys { path: PathBuf::from(name), reason });
    }
    let names: Vec<&str> = args.nodes.iter().map(String::as_str).collect();
    let deployment_keys = make_deployment_keys(&args.site, &names).map_err(|error| {
        OperatorError::Keys { path: args.directory.clone(), reason: error.to_string() }
    })?;
    let written = write_all(&args.directory, &files(&deployment_keys))?;
    let lines: Vec<String> = written.iter().map(|path| format!("{}\n", path.display())).collect();
    Ok(CommandOutput { text: lines.concat(), json: json!({ "files": written }) })
}

fn files(deployment_keys: &DeploymentKeys) -> Vec<KeyFile<'_>> {
    let certificate =
        |name: &str, text| KeyFile { name: format!("{name}.pem"), text, mode: CERTIFICATE_MODE };
    let key = |name: &str, text| KeyFile { name: format!("{name}-key.pem"), text, mode: KEY_MODE };
    let mut files = vec![
        certificate("ca", deployment_keys.authority_certificate_pem.as_str()),
        key("ca", &deployment_keys.authority_key_pem),
    ];
    for node in &deployment_keys.nodes {
        files.push(certificate(&node.name, &node.certificate_pem));
        files.push(key(&node.name, &node.key_pem));
    }
    files
}

fn write_all(directory: &Path, files: &[KeyFile<'_>]) -> Result<Vec<PathBuf>, OperatorError> {
    let failed = |path: &Path, error: io::Error| OperatorError::Keys {
        path: path.to_owned(),
        reason: error.to_string(),
    };
    fs::create_dir_all(directory).map_err(|error| failed(directory, error))?;
    let paths: Vec<PathBuf> = files.iter().map(|file| directory.join(&file.name)).collect();
    if let Some(path) = paths.iter().find(|path| path.exists()) {
        return Err(failed(path, io::ErrorKind::AlreadyExists.into()));
    }
    for (path, file) in paths.iter().zip(files) {
        write_new(path, file).map_err(|error| failed(path, error))?;
    }
    Ok(paths)
}

fn write_new(path: &Path, file: &KeyFile<'_>) -> io::Result<()> {
    let mut handle =
        fs::OpenOptions::new().write(true).create_new(true).mode(file.mode).open(path)?;
    handle.write_all(file.text.as_bytes())
}

fn is_file_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    // `ca` is the name of the authority's files.
    name != "ca" && !name.starts_with('.') && !name.is_empty() && name.chars().all(allowed)
}
