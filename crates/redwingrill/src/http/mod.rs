//! The HTTP server side: connections, limits on what callers send, and replies.

mod body;
mod connections;
mod listener;
mod open_requests;
mod read;
mod reply;
mod request_id;
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
pub use reply::REQUEST_ID_HEADER;
pub use reply::error_reply;
pub use reply::json_reply;
pub use request_id::RequestId;
pub use routes::Routes;
