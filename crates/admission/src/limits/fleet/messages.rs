//! The messages between the nodes that need tokens and the owners of buckets.

use serde::Deserialize;
use serde::Serialize;

use redwingrill_routing::AccountTag;

/// Identifies a message of a node that must take effect once. Numbers increase within a run.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct QuotaMessageId {
    /// Identifies the run of the node.
    pub run: u64,
    /// Counts the messages of the run.
    pub number: u64,
}

/// A message between nodes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// A node asks an owner for tokens.
    Ask(QuotaAsk),
    /// The owner's answer.
    Answer {
        /// The ask.
        id: QuotaMessageId,
        /// The account.
        account: AccountTag,
        /// The answer.
        answer: QuotaAnswer,
    },
    /// A node returns tokens that were granted and not used.
    Return {
        /// Identifies the return.
        id: QuotaMessageId,
        /// The account.
        account: AccountTag,
        /// The tokens.
        tokens: u64,
        /// Whether they paid for a request that did not run; else they were leased and not used.
        is_refund: bool,
    },
}

/// A request for tokens.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// Identifies the ask.
    pub id: QuotaMessageId,
    /// The account.
    pub account: AccountTag,
    /// The tokens of the client's request that are still missing.
    pub missing_tokens: u64,
    /// All tokens of the client's request.
    pub request_tokens: u64,
    /// Tokens for requests that are expected, granted only from a bucket that is well filled.
    pub extra_tokens: u64,
}

/// An owner's answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// The owner grants tokens, possibly fewer than are missing.
    Granted {
        /// The tokens.
        tokens: u64,
        /// In how many milliseconds the owner has the rest of the missing tokens.
        wait_ms: u64,
        /// The tokens per second that the owner granted recently.
        used_per_s: u64,
    },
    /// The node does not grant tokens of this account now.
    NotReady,
    /// The owner's configuration has no quota of this account.
    UnknownAccount,
}
