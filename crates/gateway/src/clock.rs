//! The node's clock.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the milliseconds since the instance booted. Time spent suspended is included, so that
/// leases and deadlines expire while the instance is suspended.
pub fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}
