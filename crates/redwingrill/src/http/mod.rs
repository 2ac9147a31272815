//! The HTTP server: connections, limits on requests, and responses.

mod body;
mod connections;
mod listener;
mod open_requests;
mod read;
mod request_id;
mod response;
mod routes;

pub use body::Body;
pub use body::full_body;
pub use connections::AccountConnections;
pub use connections::ConnectionOwner;
pub use listener::BoundListener;
pub use listener::Handler;
pub use listener::Listener;
pub use listener::ListenerOptions;
pub use open_requests::OpenRequest;
pub use open_requests::OpenRequests;
pub use read::bearer_key;
pub use read::read_body;
pub use request_id::RequestId;
pub use response::REQUEST_ID_HEADER;
pub use response::error_response;
pub use response::json_response;
pub(crate) use routes::COMPLETIONS;
pub use routes::Routes;
pub(crate) use routes::SERVICES;
