//! The HTTP server that all stand-ins share.

mod body;
mod connection;
mod faulty_io;
mod server;

pub use body::Body;
pub use body::Cut;
pub use body::full_body;
pub use body::json_reply;
pub use body::read_json;
pub use body::status_reply;
pub use body::stream_body;
pub use connection::Connection;
pub use connection::Connections;
pub use server::Accept;
pub use server::Handler;
pub use server::Server;
