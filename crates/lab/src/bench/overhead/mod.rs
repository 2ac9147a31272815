//! What a router adds to a stream, and what it spends on it.
//!
//! The router runs as a process of its own; engines and callers run in this one. In the first part
//! engines answer at once, and calls straight to the engine alternate with calls through the
//! router, so that whatever else the machine does meets both alike. In the second part many streams
//! stay open at the pace of the target size.

mod first_token;
mod open_streams;
mod router;

use std::io;

use serde::Serialize;
use snafu::Snafu;

use crate::process::ProcessError;
use crate::site::ApplyFailure;
use crate::site::IniError;
use crate::site::RoutersError;

pub use first_token::FirstTokenFigures;
pub use open_streams::OpenStreamFigures;

/// What to measure.
#[derive(Clone, Copy, Debug)]
pub struct OverheadOptions {
    /// The seed of prompts and load.
    pub seed: u64,
    /// Requests a second through the router, and as many straight to the engine.
    pub requests_per_s: u32,
    /// How long the first part runs.
    pub duration_s: u32,
    /// The streams that are open in the second part.
    pub open_streams: u32,
    /// The tokens of each of them.
    pub stream_tokens: u32,
}

impl Default for OverheadOptions {
    fn default() -> Self {
        Self { seed: 1, requests_per_s: 500, duration_s: 10, open_streams: 841, stream_tokens: 150 }
    }
}

/// The figures, as printed.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct OverheadReport {
    /// The name of the scenario.
    pub scenario: &'static str,
    /// The first part.
    pub first_token: FirstTokenFigures,
    /// The second part.
    pub open_streams: OpenStreamFigures,
}

/// Why there are no figures.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum OverheadError {
    /// A stand-in did not start, or a process could not be read.
    #[snafu(display("{source}"))]
    Machine {
        /// The cause.
        source: io::Error,
    },
    /// A file cannot be used.
    #[snafu(display("{source}"))]
    File {
        /// The cause.
        source: IniError,
    },
    /// The configuration was not accepted.
    #[snafu(display("{source}"))]
    Apply {
        /// The cause.
        source: ApplyFailure,
    },
    /// The router's process is of no use.
    #[snafu(display("{source}"))]
    Process {
        /// The cause.
        source: ProcessError,
    },
    /// The router is not ready.
    #[snafu(display("{source}"))]
    Router {
        /// The cause.
        source: RoutersError,
    },
}

/// Measures both parts.
pub async fn run(options: &OverheadOptions) -> Result<OverheadReport, OverheadError> {
    let first_token = first_token::measure(options).await?;
    let open_streams = open_streams::measure(options).await?;
    Ok(OverheadReport { scenario: "overhead", first_token, open_streams })
}
