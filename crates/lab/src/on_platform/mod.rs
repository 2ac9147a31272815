//! What operators and callers of a site on the platform write, for tests and the soak.

mod configuration;
mod requests;
mod streams;

pub use configuration::HOST;
pub use configuration::KEY;
pub use configuration::RouteEntry;
pub use configuration::configuration;
pub use requests::is_ready;
pub use requests::request;
pub use streams::Resumption;
pub use streams::StreamPart;
pub use streams::StreamText;
pub use streams::read_stream;
