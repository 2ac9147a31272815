//! Which versions of its upstreams' software a service has in use.
//!
//! Several versions may serve side by side, and a stream may only go on at the version that began it.
//! A node that is asked to continue a stream of which it knows nothing may conclude the version only
//! if just one can have begun it. What the node sees of the upstreams does not tell that: its list
//! may be old, the last upstream of another version may have left a moment ago, and all nodes may have
//! started since. So the versions are recorded in the store. The load pattern: a release of hundreds
//! of upstreams within seconds, beside the loss of any nodes, all of them, or the store.
//!
//! Invariants, for nodes of this build:
//! - A stream begins at a version only while the record that its node knows lists the version, or is
//!   not certain.
//! - A version leaves the record only once no upstream has listed it for longer than a stream can last.
//! - So a certain record with one version, read after a request to continue a stream arrived, names
//!   the version that began the stream.
//!
//! A record is not certain if it is missing, was written in an earlier era of the store, or follows
//! one of these by less than the time that a stream can last: streams may have begun at versions
//! that it does not list.

mod keeper;
mod record;

pub use keeper::RecordKeeper;
pub use keeper::ServiceSoftware;
pub use record::RecordChange;
pub use record::SoftwareRecord;
