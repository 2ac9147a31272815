//! The port to the nodes that write for others.

use std::future::Future;

use snafu::Snafu;

use crate::ShardId;
use crate::layout::OperationError;
use crate::record::Operation;
use crate::record::Verdict;

/// Why a home gave no answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Snafu)]
pub enum ForwardError {
    /// The operation did not reach the home.
    #[snafu(display("operation not sent to its home"))]
    NotSent,
    /// The home may still apply the operation.
    #[snafu(display("answer of the home lost"))]
    Lost,
}

/// Which node writes a shard, and the way to it.
pub trait ShardOwners: Clone + Send + Sync + 'static {
    /// Returns the peer that is the home of a shard; none if it is this node.
    fn owner_of(&self, shard: &ShardId) -> Option<String>;

    /// Asks a home to apply an operation within a time.
    fn forward(
        &self,
        owner: &str,
        operation: Operation,
        within_ms: u64,
    ) -> impl Future<Output = Result<Result<Verdict, OperationError>, ForwardError>> + Send;
}

/// Makes every node write for itself.
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
