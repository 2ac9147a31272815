//! The share of an upstream's rate limit that a node may use.
//!
//! All nodes derive the same shares from the list of nodes, without messages. The nodes that send
//! to a limited upstream also keep its cached prefixes in use.

use crate::fleet::UpstreamTag;
use crate::rendezvous;
use redwingrill_routing::RateLimit;

/// The minimum rate at which all nodes together send to a limited upstream. Without any answer, they
/// would not learn that the limit has ended.
const PROBES_PER_S: f64 = 0.25;

/// Returns the requests per second that a node may send to an upstream with a limit; zero for nodes
/// that are not selected. At most as many nodes are selected as requests are allowed per second, so
/// that one request of each is within the limit. A node that is not in the list ranks as if it were.
pub fn limit_share_per_s(
    limit: RateLimit,
    upstream: UpstreamTag,
    node: &str,
    nodes: &[String],
) -> f64 {
    let per_s = limit.per_s().max(PROBES_PER_S);
    let selected = (per_s as usize).clamp(1, nodes.len().max(1));
    let score = |name: &str| rendezvous::score(u64::from(upstream.0), name);
    let own = (score(node), node);
    let ahead = nodes.iter().filter(|name| (score(name), name.as_str()) > own).count();
    if ahead < selected { per_s / selected as f64 } else { 0.0 }
}
