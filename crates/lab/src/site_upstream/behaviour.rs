//! How the stand-in answers, and what it has seen.

use http::HeaderMap;
use tokio::time::Instant;

/// How the stand-in answers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Behaviour {
    /// A whole answer.
    #[default]
    Serves,
    /// It says that it did not run the request.
    Sheds,
    /// It says that another upstream was meant.
    IsAnother,
    /// It fails with a signed 500.
    Fails,
    /// It fails with a signed 503 that does not say that nothing was run.
    FailsBusy,
    /// It runs the request and closes the connection without an answer.
    DropsAnswer,
    /// It runs the request and never answers.
    IsMute,
    /// Its answer names another request.
    CrossesAnswers,
    /// It runs the request, and what it writes is its refusal of an earlier request.
    RepeatsRefusal,
    /// The same, with its word that another upstream was meant.
    RepeatsMisdirection,
    /// It says that it did not run the first request of a connection, and writes that once more as
    /// the next one arrives, which it runs.
    CopiesRefusals,
    /// It writes each answer once more as the next request of the connection arrives, which it runs.
    CopiesAnswers,
    /// Its answer has no signature.
    DoesNotSign,
    /// Its answer is in a coding that nobody asked for.
    Recodes,
    /// It breaks off in the middle of the second event, or of the body.
    BreaksOff,
    /// Its streams have neither length nor chunks, and its connection ends in order in the middle of
    /// the second event.
    CutsUnframed,
    /// The same, before the first event.
    EndsUnframed,
    /// It answers a stream that goes on with its text of an error, as if that were the stream.
    WritesError,
    /// Its events pause for long after the first.
    IsSlow,
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// The method.
    pub method: http::Method,
    /// Path and query.
    pub target: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: bytes::Bytes,
    /// Whether the stand-in ran it.
    pub has_run: bool,
    /// When it arrived whole.
    pub arrived: Instant,
}

impl SeenRequest {
    /// Returns the text of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}
