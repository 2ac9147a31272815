//! A stand-in of the users' engines and plain services, as they answer on the platform.

mod behaviour;
mod copies;
mod http;

pub use behaviour::Behaviour;
pub use behaviour::SeenRequest;
pub use http::EVENTS;
pub use http::SiteUpstream;
