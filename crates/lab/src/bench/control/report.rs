//! The figures, as printed.

use serde::Serialize;

/// The figures of one size of the fleet.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct ControlReport {
    /// The name of the scenario.
    pub scenario: &'static str,
    /// Routers.
    pub nodes: usize,
    /// Engines in the configuration.
    pub engines: usize,
    /// Client accounts in the configuration.
    pub accounts: usize,
    /// From the start of the first router until all know all others and have the configuration.
    pub formed_ms: u64,
    /// A window without changes.
    pub quiet: WindowFigures,
    /// A window with changes.
    pub changing: WindowFigures,
    /// The changes of that window.
    pub changes: u64,
    /// The time from the acceptance of each change until all nodes had it in force.
    pub in_force_ms: Vec<u64>,
    /// All nodes of one domain killed and started again.
    pub domain_restart: Option<RestartFigures>,
    /// All nodes killed and started again.
    pub whole_restart: Option<RestartFigures>,
}

/// What nodes spent in a window.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct WindowFigures {
    /// The length of the window.
    pub window_s: f64,
    /// Bytes between nodes, IP headers included, sent by a node on average.
    pub sent_bytes_per_s: f64,
    /// Received by a node on average.
    pub received_bytes_per_s: f64,
    /// Sent and received by the busiest node.
    pub busiest_bytes_per_s: f64,
    /// Datagrams sent by a node on average.
    pub sent_datagrams_per_s: f64,
    /// Connections made between nodes, over all of them.
    pub connections_made: u64,
    /// Bytes of load polls, sent and received by a node on average, TCP and IP headers by arithmetic.
    pub poll_bytes_per_s: f64,
    /// Load polls over all nodes.
    pub polls_per_s: f64,
    /// Processor time of a node on average, in percent of a core.
    pub processor_percent: f64,
    /// Processor time of the busiest node.
    pub busiest_processor_percent: f64,
    /// Resident memory of a node on average, at the end.
    pub resident_mib: f64,
    /// Resident memory of the largest node.
    pub largest_resident_mib: f64,
    /// Calls at the store, over all nodes.
    pub store_calls_per_s: f64,
    /// Reads of the list of instances, over all nodes.
    pub list_reads_per_s: f64,
}

/// What a restart cost.
#[derive(Clone, Copy, PartialEq, Debug, Serialize)]
pub struct RestartFigures {
    /// The nodes.
    pub nodes: usize,
    /// From the start of the first until all are ready.
    pub ready_ms: u64,
    /// Calls at the store by all nodes, until the fleet agreed again and a while longer.
    pub store_calls: u64,
    /// The most in any second.
    pub store_calls_peak_per_s: u64,
    /// Reads of the list of instances.
    pub list_reads: u64,
    /// The time counted.
    pub counted_s: f64,
}
