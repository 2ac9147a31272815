//! The port to the nodes that own shards and write for other nodes.

use std::future::Future;

use snafu::Snafu;

use crate::ShardId;
use crate::layout::OperationError;
use crate::record::Operation;
use crate::record::Verdict;

/// Why a forwarded operation got no response from the owner of its shard.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Snafu)]
pub enum ForwardError {
    /// The operation did not reach the owner.
    #[snafu(display("operation not sent to the shard owner"))]
    NotSent,
    /// The owner may still apply the operation.
    #[snafu(display("response of the shard owner lost"))]
    Lost,
}

/// Resolves the owner node of a shard and forwards operations to it.
pub trait ShardOwners: Clone + Send + Sync + 'static {
    /// Returns the peer that owns a shard; none if this node owns it.
    fn owner_of(&self, shard: &ShardId) -> Option<String>;

    /// Forwards an operation to the owner, which should apply it within `within_ms` milliseconds.
    fn forward(
        &self,
        owner: &str,
        operation: Operation,
        within_ms: u64,
    ) -> impl Future<Output = Result<Result<Verdict, OperationError>, ForwardError>> + Send;
}

/// Makes each node the owner of all shards, so that nothing is forwarded.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct LocalOwner;

impl ShardOwners for LocalOwner {
    fn owner_of(&self, _shard: &ShardId) -> Option<String> {
        None
    }

    async fn forward(
        &self,
        _owner: &str,
        _operation: Operation,
        _within_ms: u64,
    ) -> Result<Result<Verdict, OperationError>, ForwardError> {
        Err(ForwardError::NotSent)
    }
}
