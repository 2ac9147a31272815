//! Members of the fleet.
//!
//! ```text
//!          failed exchanges            timeout
//!   live ------------------> suspect ----------> dead -> (removed)
//!    |  <------------------     |                 |
//!    |   refuted by a higher    |                 |
//!    v   incarnation            |                 |
//! leaving <---------------------+-----------------+
//! ```
//!
//! Records of one member are totally ordered and a merge keeps the greater one, so merging is
//! commutative, associative and idempotent. Only the member itself raises its incarnation.

mod record;
mod table;

pub use record::MemberInfo;
pub use record::MemberRecord;
pub use record::MemberState;
pub use record::RecordStamp;
pub use table::MemberTable;
