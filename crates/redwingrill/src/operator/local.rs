//! Commands that need no network access.

use std::path::PathBuf;

use clap_complete::Shell;

use super::OperatorError;
use super::args::cli;
use redwingrill_config::DesiredState;
use redwingrill_config::KEY_HASH_PREFIX;
use redwingrill_config::KeyHash;
use redwingrill_config::parse;
use redwingrill_config::read_files;
use redwingrill_entity::Names;

/// Reads and validates configuration files.
pub fn load(files: &[PathBuf], names: &mut Names) -> Result<DesiredState, OperatorError> {
    let sources = read_files(files).map_err(|faults| OperatorError::Invalid { faults })?;
    parse(&sources, names).map_err(|faults| OperatorError::Invalid { faults })
}

/// Returns the hash of an API key in the format of the configuration files.
///
/// # Errors
///
/// Fails if the key is empty or contains whitespace, which callers could not send.
pub fn hash_key(input: &str) -> Result<String, OperatorError> {
    let key = input.trim_end_matches(['\r', '\n']);
    if key.is_empty() || key.contains(char::is_whitespace) {
        return Err(OperatorError::Input { reason: "not one key without blanks".to_owned() });
    }
    let KeyHash(hash) = KeyHash::of(key);
    Ok(format!("{KEY_HASH_PREFIX}{}\n", blake3::Hash::from_bytes(hash).to_hex()))
}

/// Returns the completion script of a shell.
pub fn completion(shell: Shell) -> String {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut cli(), "redwingrill", &mut script);
    String::from_utf8_lossy(&script).into_owned()
}
