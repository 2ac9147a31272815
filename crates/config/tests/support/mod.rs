//! Configuration texts and calls that several tests share.

use std::fmt::Write;

use redwingrill_config::Applied;
use redwingrill_config::ApplyError;
use redwingrill_config::ApplyId;
use redwingrill_config::ApplyRequest;
use redwingrill_config::Generation;
use redwingrill_config::apply;
use redwingrill_config::parse_str;
use redwingrill_entity::Names;
use redwingrill_ports::Store;

/// Returns a configuration with `accounts` accounts. `marker` is the weight of the first account;
/// tests use it to identify the configuration.
pub fn config_text(accounts: usize, marker: u64) -> String {
    let mut text = String::from(
        "[priority checks]\nlevel = 0\nfirst_token_target = 250 ms\nqueue_deadline = 2 s\n\
         [model assistant]\nweights_version = 1\n",
    );
    for account in 0..accounts {
        let hash = blake3::hash(&account.to_le_bytes());
        let weight = if account == 0 { marker } else { 1 };
        let _ = write!(
            text,
            "[account a{account:05}]\nkey_hashes = blake3:{hash}\npriorities = checks\n\
             weight = {weight}\n"
        );
    }
    text
}

/// Applies a configuration text as an operator does.
pub async fn apply_text<S: Store>(
    store: &S,
    text: &str,
    apply_id: u64,
) -> Result<Applied, ApplyError> {
    let mut names = Names::default();
    let state = parse_str("site.ini", text, &mut names).expect("the text is valid");
    let request = ApplyRequest {
        state: &state,
        names: &names,
        apply_id: ApplyId(apply_id),
        expected: None,
        in_force: Generation(0),
    };
    apply(store, request).await
}
