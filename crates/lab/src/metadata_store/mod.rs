//! A stand-in of the users' platform's metadata store, with the calls that the adapter makes.

mod http;
mod state;

pub use http::MetadataStore;
pub use state::StoreCopy;
pub use state::StoreFault;
pub use state::StoreState;
