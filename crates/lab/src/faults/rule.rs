//! One fault at one step of an answer.

use serde::Deserialize;
use serde::Serialize;

/// What goes wrong.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The stand-in crashes and comes back empty after `delay_ms`.
    Die,
    /// The connection stays open and says nothing more.
    Silence,
    /// The connection is closed.
    Cut,
    /// The step takes `delay_ms` longer.
    Slow,
    /// The step sends bytes that cannot be read.
    Garbage,
    /// The step carries the identifier of another request.
    Crossed,
    /// The request is refused with 503 before it runs.
    Refuse,
}

/// The step of an answer at which a fault strikes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// A connection was accepted.
    Connect,
    /// The request was read and the reply headers are due.
    Headers,
    /// The event of a token is due; 1 for the first of the stream.
    Token(u32),
    /// The event of the last token is due; at a service, the reply after the call ran.
    Last,
    /// The end marker is due.
    End,
}

/// A fault that strikes a number of times.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct FaultRule {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Where it goes wrong.
    pub step: Step,
    /// How many connections or requests it strikes.
    #[serde(default = "one")]
    pub count: u32,
    /// The delay of slow steps and the time a crashed stand-in is away.
    #[serde(default)]
    pub delay_ms: u64,
}

fn one() -> u32 {
    1
}
