//! `apply`: writes files as the accepted configuration and waits until nodes have it in force.

use std::net::SocketAddr;

use serde_json::json;

use super::Operator;
use super::OperatorError;
use super::admin::NodeAdmin;
use super::command::ApplyArgs;
use super::execute::CommandOutput;
use super::local::load;
use super::nodes::NodeReport;
use super::nodes::await_generation;
use super::nodes::poll;
use super::nodes::select;
use redwingrill_config::Applied;
use redwingrill_config::ApplyId;
use redwingrill_config::ApplyRequest;
use redwingrill_config::Generation;
use redwingrill_config::apply;
use redwingrill_entity::Names;
use redwingrill_ports::InstanceList;
use redwingrill_ports::Store;

impl<S: Store, L: InstanceList, A: NodeAdmin> Operator<S, L, A> {
    pub(super) async fn apply(&self, args: &ApplyArgs) -> Result<CommandOutput, OperatorError> {
        let mut names = Names::default();
        let state = load(&args.files, &mut names)?;
        let nodes = select(&args.nodes, &self.instances, &state).await?;
        if args.wait.is_some() && nodes.is_empty() {
            return Err(OperatorError::NoNodes);
        }
        let request = ApplyRequest {
            state: &state,
            names: &names,
            apply_id: ApplyId(rand::random()),
            expected: args.expected,
            in_force: self.highest_in_force(&nodes).await,
        };
        let applied = apply(&self.store, request).await;
        let applied = applied.map_err(|source| OperatorError::Apply { source })?;
        let reports = self.await_nodes(args, &nodes, applied.generation).await?;
        Ok(print(&applied, &reports))
    }

    /// Returns the highest generation in force on the nodes; unreachable nodes are ignored.
    async fn highest_in_force(&self, nodes: &[SocketAddr]) -> Generation {
        let reports = poll(&self.nodes, nodes).await;
        Generation(reports.iter().map(NodeReport::generation).max().unwrap_or_default())
    }

    async fn await_nodes(
        &self,
        args: &ApplyArgs,
        nodes: &[SocketAddr],
        generation: Generation,
    ) -> Result<Vec<NodeReport>, OperatorError> {
        let Some(wait) = args.wait else { return Ok(Vec::new()) };
        let reports = await_generation(&self.nodes, nodes, generation.0, wait).await;
        if reports.iter().any(|report| report.generation() < generation.0) {
            return Err(OperatorError::NotInForce { generation: generation.0, reports });
        }
        Ok(reports)
    }
}

fn print(applied: &Applied, reports: &[NodeReport]) -> CommandOutput {
    let generation = applied.generation.0;
    let mut text = if applied.differences.is_empty() && applied.chunks_written == 0 {
        format!("unchanged: generation {generation} has this configuration already\n")
    } else {
        format!("accepted: generation {generation}\n")
    };
    for difference in &applied.differences {
        text += &format!("{difference}\n");
    }
    if !reports.is_empty() {
        text += &format!("in force on {} nodes\n", reports.len());
    }
    for report in reports {
        text += &format!("{report}\n");
    }
    let json = json!({
        "generation": generation,
        "changed": applied.differences,
        "nodes": reports,
    });
    CommandOutput { text, json }
}
