//! The port through which engines are given orders and asked what they hold.

use std::future::Future;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::PartId;
use crate::Upstream;
use crate::WeightsVersion;

/// An order to take new weights.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct WeightsCommand {
    /// The model.
    pub model: String,
    /// The version to take.
    pub version: WeightsVersion,
    /// Who gives the order.
    pub leader: String,
    /// The fencing number of the holder's tenure.
    pub fencing_number: u64,
    /// The number of orders that the engine has accepted, as the holder knows it.
    pub expected_commands: Option<u64>,
}

/// What an engine said to an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WeightsOutcome {
    /// The engine carries the order out.
    Accepted,
    /// The engine holds the version already.
    Holds,
    /// The engine is busy with another order, or has accepted others meanwhile.
    Busy,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine does not take the order, now or later.
    Refused,
}

/// Why a call to an engine's control interface failed.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ControlError {
    /// The call did not reach the engine.
    #[snafu(display("engine not reached: {reason}"))]
    NotSent {
        /// The cause, for logs.
        reason: String,
    },
    /// The engine may have accepted the call.
    #[snafu(display("answer of the engine lost: {reason}"))]
    AnswerLost {
        /// The cause, for logs.
        reason: String,
    },
}

/// What changed in a cache of prompt parts.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct CacheChanges {
    /// Changes when the cache starts anew, empty.
    pub epoch: u64,
    /// Where the next question goes on.
    pub next: u64,
    /// Whether changes before these were lost.
    pub has_gap: bool,
    /// The changes in their order.
    pub changes: Vec<CacheChange>,
}

/// One change in a cache.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CacheChange {
    /// The scope under which the part is found.
    pub scope: String,
    /// The part.
    pub part: PartId,
    /// The tokens of it that are held now; zero if it was dropped.
    pub tokens: u32,
}

/// The control interface of engines.
pub trait UpstreamControl: Clone + Send + Sync + 'static {
    /// Returns how many orders an engine has accepted since its start.
    fn accepted_commands(
        &self,
        upstream: &Upstream,
    ) -> impl Future<Output = Result<u64, ControlError>> + Send;

    /// Waits for changes in the cache at an address, up to about a second.
    fn cache_changes(
        &self,
        address: SocketAddr,
        since: u64,
    ) -> impl Future<Output = Result<CacheChanges, ControlError>> + Send;

    /// Gives an order to an engine.
    fn send_weights_command(
        &self,
        upstream: &Upstream,
        command: &WeightsCommand,
    ) -> impl Future<Output = Result<WeightsOutcome, ControlError>> + Send;
}
