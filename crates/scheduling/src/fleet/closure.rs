//! Why an upstream accepts no requests.

/// Why an upstream may not receive new requests, regardless of its health.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Closure {
    /// It starts or leaves.
    NotReady,
    /// It loads new weights.
    LoadsWeights,
    /// It asked for a pause or announced that it leaves.
    Paused,
    /// It refused a request a moment ago.
    Skipped,
    /// Its process has ended.
    Ended,
    /// A later start is listed at its address.
    Superseded,
}
