//! The messages of the dispatch tasks of nodes.

use redwingrill_admission::limits::fleet::QuotaMessage;
use redwingrill_scheduling::coordination::CoordinationMessage;
use redwingrill_scheduling::stream_origins::OriginMessage;

/// A message to the dispatch task of another node.
#[derive(Clone, PartialEq, Debug)]
pub enum PeerMessage {
    /// Of the coordination.
    Coordination(CoordinationMessage),
    /// Of the quotas of accounts.
    Quota(QuotaMessage),
    /// Of the directory of stream origins.
    Origin(OriginMessage),
}
