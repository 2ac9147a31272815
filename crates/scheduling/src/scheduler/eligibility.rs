//! Why an upstream may not serve a request.

use crate::fleet::Closure;

/// Why an upstream is not eligible for a request, whatever its load.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Ineligibility {
    /// The request was sent to it before.
    Tried,
    /// It runs another version of the software than the stream that the request continues, or states
    /// none.
    Software,
    /// It accepts no requests.
    Closed(Closure),
    /// This node uses its share of the connections to it.
    Connections,
    /// It has no weights of the model, or weights that expire too soon.
    Weights,
    /// It is ejected, or on probation with a request in flight.
    Health,
}
