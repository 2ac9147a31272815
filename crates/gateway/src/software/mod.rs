//! Keeps and reads the records of the software versions at which open streams can have begun.
//!
//! The decisions are made in [`redwingrill_scheduling::software_versions`].

use std::time::Duration;

use redwingrill_routing::Configuration;

mod reader;
mod recorder;

pub use reader::SoftwareReader;
pub use reader::SoftwareReaderTask;
pub use recorder::SoftwareRecorder;

/// How long an upstream that has left may go on with a stream that it has begun.
const LEAVING_TIME: Duration = Duration::from_secs(10);

/// The longest that a stream lasts without a configuration.
const DEFAULT_STREAM_TIME: Duration = Duration::from_secs(30);

/// Returns how long after its beginning a stream can still be continued, in milliseconds: its caller
/// may take it up until its own deadline, and each answer lasts up to the timeout of the route.
pub(crate) fn stream_retention_ms(configuration: Option<&Configuration>) -> u64 {
    let longest = configuration.and_then(Configuration::longest_stream);
    (longest.unwrap_or(DEFAULT_STREAM_TIME) * 2 + LEAVING_TIME).as_millis() as u64
}

/// A node without contact with the store for longer than this does not ask it.
const CONTACT_LIMIT_MS: u64 = 3_000;

/// Returns whether a node that last had contact with the store at `contact_ms` can expect an answer.
pub(crate) fn has_store_contact(contact_ms: Option<u64>, now_ms: u64) -> bool {
    contact_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < CONTACT_LIMIT_MS)
}
