//! The port to the control interface of engines.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use snafu::Snafu;

use crate::PartId;
use crate::Upstream;
use crate::WeightsVersion;

/// A command to load a version of a model's weights.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct WeightsCommand {
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: WeightsVersion,
    /// The name of the roll-out leader that sends the command.
    pub leader: String,
    /// The fencing number of the leadership.
    pub fencing_number: u64,
    /// The number of commands that the engine has accepted, as far as the leader knows.
    pub expected_commands: Option<u64>,
}

/// What an engine reports about its commands and weights.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EngineReport {
    /// The number of commands that it has accepted since its start.
    pub accepted: u64,
    /// Whether it is carrying out a command.
    pub is_busy: bool,
    /// The models that it holds, with the versions of their weights.
    pub versions: Vec<(String, WeightsVersion)>,
}

/// The response of an engine to a command.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WeightsOutcome {
    /// The engine carries out the command.
    Accepted,
    /// The engine already holds the version.
    Holds,
    /// The engine is busy with another command, or has accepted other commands since.
    Busy,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine refuses the command permanently.
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
    /// The response was lost; the engine may have accepted the call.
    #[snafu(display("response of the engine lost: {reason}"))]
    AnswerLost {
        /// The cause, for logs.
        reason: String,
    },
}

/// Changes in a cache of prompt parts.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct CacheChanges {
    /// Changes when the cache restarts empty.
    pub epoch: u64,
    /// The position to continue from in the next call.
    pub next: u64,
    /// Whether changes before these were missed.
    pub has_gap: bool,
    /// The changes in order.
    pub changes: Vec<CacheChange>,
}

/// One change in a cache.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CacheChange {
    /// The cache scope of the part.
    pub scope: String,
    /// The part.
    pub part: PartId,
    /// The number of its tokens that are now cached; zero if it was evicted.
    pub tokens: u32,
}

/// The control interface of engines.
pub trait UpstreamControl: Clone + Send + Sync + 'static {
    /// Returns what an engine reports about itself.
    ///
    /// # Errors
    ///
    /// [`ControlError`] if the call fails.
    fn report(
        &self,
        upstream: &Upstream,
    ) -> impl Future<Output = Result<EngineReport, ControlError>> + Send;

    /// Waits up to about one second for changes in the cache at an address.
    ///
    /// # Errors
    ///
    /// [`ControlError`] if the call fails.
    fn cache_changes(
        &self,
        address: SocketAddr,
        since: u64,
    ) -> impl Future<Output = Result<CacheChanges, ControlError>> + Send;

    /// Sends a command to an engine.
    ///
    /// # Errors
    ///
    /// [`ControlError`] if the call fails; after [`ControlError::AnswerLost`] the engine may have
    /// accepted the command.
    fn send_weights_command(
        &self,
        upstream: &Upstream,
        command: &WeightsCommand,
    ) -> impl Future<Output = Result<WeightsOutcome, ControlError>> + Send;
}

/// The future of a [`LivenessCheck`].
pub type LivenessFuture<'a> = Pin<Box<dyn Future<Output = Result<(), ControlError>> + Send + 'a>>;

/// Asks upstreams whether they still run.
pub trait LivenessCheck: Send + Sync + 'static {
    /// Waits for an upstream's answer to a call that begins now. An upstream without a model is
    /// called at `health_path`. The answer may state any health: only an upstream that runs gives
    /// one.
    ///
    /// The future ends with [`ControlError`] if there is no answer, or if another upstream gives it.
    fn confirm_running<'a>(
        &'a self,
        upstream: &'a Upstream,
        health_path: &'a str,
    ) -> LivenessFuture<'a>;
}
