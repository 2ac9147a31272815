//! An oracle that computes each prefix once while the memory of all engines together holds it.

use crate::engine::PrefixCache;
use crate::engine::cut_prompt;
use crate::load::PromptLibrary;
use crate::load::Record;
use crate::site::Site;
use redwingrill_placement::blocks::BLOCK_TOKENS;

/// What the oracle finds cached of one prompt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct OracleHits {
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// The tokens that the oracle finds cached.
    pub cached_tokens: u64,
}

/// Looks a prompt up in the oracle's cache and stores it.
pub fn oracle_hits(
    site: &Site,
    library: &PromptLibrary,
    record: &Record,
    cache: &mut PrefixCache,
) -> OracleHits {
    let account = &site.accounts[record.call.account].name;
    let messages = library.messages(&record.call);
    let prompt = cut_prompt(account, &site.model, &site.weights_version, &messages);
    let held = cache.lookup(&prompt.blocks) as u64 * u64::from(BLOCK_TOKENS);
    cache.store(&prompt.blocks);
    // What changed is of no interest and would only pile up.
    cache.take_changes();
    let prompt_tokens = u64::from(prompt.tokens);
    OracleHits { prompt_tokens, cached_tokens: held.min(prompt_tokens.saturating_sub(1)) }
}

/// Returns what the oracle finds cached for each call that was answered, in the order of calls.
/// Calls that were not answered count as zero and leave nothing behind.
pub(super) fn cached_by_oracle(
    site: &Site,
    library: &PromptLibrary,
    records: &[Record],
) -> Vec<u64> {
    let mut cache = PrefixCache::new(site.cache_blocks * site.engines);
    let hits = records.iter().map(|record| {
        if !record.outcome.is_complete() {
            return 0;
        }
        oracle_hits(site, library, record, &mut cache).cached_tokens
    });
    hits.collect()
}
