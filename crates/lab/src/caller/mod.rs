//! A caller of completions that times its answers and checks them.

mod call;
mod outcome;

pub use call::Call;
pub use call::Caller;
pub use outcome::Ending;
pub use outcome::Outcome;
