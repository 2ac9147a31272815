//! Placement, limits and fairness: the shipped policy beside baselines, under the same load.
//!
//! A case file declares the load and the events, a site file the sizes. Each policy gets the same
//! plan of calls, on engines that start empty.

mod case;
mod classes;
mod fleet;
mod oracle;
mod plot;
mod report;

use std::path::Path;

use snafu::ResultExt;
use snafu::Snafu;

use crate::load::PromptLibrary;
use crate::load::plan;
use crate::site::IniError;
use crate::site::Site;

pub use case::Case;
pub use case::CaseEvent;
pub use case::EventKind;
pub use classes::Class;
pub use classes::class_of;
pub use fleet::FleetError;
pub use oracle::OracleHits;
pub use oracle::oracle_hits;
pub use report::PolicyReport;

/// The policies that are compared, the shipped one last.
pub const POLICIES: [&str; 4] = ["random", "least_loaded", "affinity", "redwingrill"];

/// What to run.
#[derive(Clone, Debug)]
pub struct ScenarioOptions {
    /// The name or the path of the case file.
    pub case: String,
    /// The name or the path of the site file.
    pub site: String,
    /// The seed of prompts and load.
    pub seed: u64,
    /// The policies.
    pub policies: Vec<String>,
}

/// Why a scenario did not run.
#[derive(Debug, Snafu)]
pub enum ScenarioError {
    /// A file cannot be used.
    #[snafu(display("{source}"))]
    File {
        /// The cause.
        source: IniError,
    },
    /// The site did not start.
    #[snafu(display("{source}"))]
    Fleet {
        /// The cause.
        source: FleetError,
    },
    /// The plot was not written.
    #[snafu(display("plot: {reason}"))]
    Plot {
        /// The cause.
        reason: String,
    },
}

/// The results of a scenario, ready to print or plot.
#[derive(Debug)]
pub struct ScenarioResults {
    site: Site,
    case: Case,
    runs: Vec<PolicyRun>,
}

/// The records of one policy.
#[derive(Debug)]
struct PolicyRun {
    policy: String,
    records: Vec<crate::load::Record>,
    oracle: Vec<u64>,
}

/// Runs a scenario with each policy in turn.
pub async fn run(options: &ScenarioOptions) -> Result<ScenarioResults, ScenarioError> {
    let site = Site::load(&options.site).context(FileSnafu)?;
    let case = Case::load(&options.case, &site).context(FileSnafu)?;
    let library = std::sync::Arc::new(PromptLibrary::new(&site, options.seed));
    let calls = plan(&site, &case.traffics, options.seed);
    let mut runs = Vec::with_capacity(options.policies.len());
    for policy in &options.policies {
        let fleet = fleet::Fleet::start(&site, policy).await.context(FleetSnafu)?;
        let records = fleet.run(&site, &case, &calls, &library).await.context(FleetSnafu)?;
        let oracle = oracle::cached_by_oracle(&site, &library, &records);
        runs.push(PolicyRun { policy: policy.clone(), records, oracle });
    }
    Ok(ScenarioResults { site, case, runs })
}

impl ScenarioResults {
    /// Returns the figures of each policy.
    pub fn reports(&self) -> Vec<PolicyReport> {
        let report = |run| report::report(&self.site, &self.case, run);
        self.runs.iter().map(report).collect()
    }

    /// Returns what went wrong with each call that failed, by policy.
    pub fn failures(&self) -> Vec<String> {
        let of_run = |run: &PolicyRun| -> Vec<String> {
            let records = run.records.iter();
            let failed = records.filter(|record| class_of(&record.outcome) == Class::Failed);
            let line = |record: &crate::load::Record| {
                let at_ms = record.call.at_us / 1_000;
                format!("policy={} at_ms={at_ms} {:?}", run.policy, record.outcome)
            };
            failed.map(line).collect()
        };
        self.runs.iter().flat_map(of_run).collect()
    }

    /// Draws the run into an SVG file.
    pub fn plot(&self, file: &Path) -> Result<(), ScenarioError> {
        plot::draw(&self.site, &self.case, &self.runs, file)
            .map_err(|error| ScenarioError::Plot { reason: error.to_string() })
    }
}
