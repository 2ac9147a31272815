//! Executes commands.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use super::OperatorError;
use super::admin::ExplainError;
use super::admin::NodeAdmin;
use super::command::Command;
use super::command::ExplainArgs;
use super::command::NodeSelection;
use super::keys::keys;
use super::local::completion;
use super::local::hash_key;
use super::local::load;
use super::nodes::poll;
use super::nodes::select;
use redwingrill_codes::ResultCode;
use redwingrill_config::DesiredState;
use redwingrill_config::read_state;
use redwingrill_config::render;
use redwingrill_entity::Names;
use redwingrill_ports::InstanceList;
use redwingrill_ports::Store;

/// The output of a command, as text and as JSON.
#[derive(Clone, PartialEq, Debug)]
pub struct CommandOutput {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
}

/// The outcome of a command.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Output {
    /// For standard output.
    pub stdout: String,
    /// For standard error.
    pub stderr: String,
    /// Determines the exit status.
    pub code: ResultCode,
}

/// Executes commands through the ports of the platform and the nodes.
#[derive(Clone, Debug)]
pub struct Operator<S, L, A> {
    /// The platform's store.
    pub store: S,
    /// The platform's instance list.
    pub instances: L,
    /// The nodes' administration.
    pub nodes: A,
}

impl<S: Store, L: InstanceList, A: NodeAdmin> Operator<S, L, A> {
    /// Executes a command. `input` reads standard input and is called only if the command needs it.
    pub async fn execute(
        &self,
        command: &Command,
        json: bool,
        input: impl FnOnce() -> std::io::Result<String>,
    ) -> Output {
        let result = match command {
            Command::HashKey => read_and_hash(input),
            command => self.run(command).await,
        };
        match result {
            Ok(printed) if json => output(format!("{:#}\n", printed.json)),
            Ok(printed) => output(printed.text),
            Err(error) => failure(&error, json),
        }
    }

    async fn run(&self, command: &Command) -> Result<CommandOutput, OperatorError> {
        match command {
            Command::Check { files } => check(files),
            Command::Apply(args) => self.apply(args).await,
            Command::Show { .. } => self.show().await,
            Command::Status { platform, nodes } => {
                self.status(nodes, !platform.endpoints.is_empty()).await
            }
            Command::Dump { node } => self.dump(*node).await,
            Command::Explain(args) => self.explain(args).await,
            Command::Drain { node } => self.drain(*node).await,
            Command::Keys(args) => keys(args),
            Command::HashKey => unreachable!("execute handles HashKey"),
            Command::Completion { shell } => {
                let text = completion(*shell);
                Ok(CommandOutput { json: json!({ "script": text }), text })
            }
        }
    }

    async fn show(&self) -> Result<CommandOutput, OperatorError> {
        let mut names = Names::default();
        let read = read_state(&self.store, &mut names).await;
        let Some((manifest, state)) = read.map_err(|source| OperatorError::Read { source })? else {
            let text = "no configuration is accepted yet\n".to_owned();
            return Ok(CommandOutput { text, json: json!({ "generation": 0 }) });
        };
        let generation = manifest.generation.0;
        let files = render(&state, &names);
        let json = json!({ "generation": generation, "files": files });
        Ok(CommandOutput { text: format!("; generation {generation}\n\n{files}"), json })
    }

    async fn status(
        &self,
        selection: &NodeSelection,
        has_store: bool,
    ) -> Result<CommandOutput, OperatorError> {
        let mut state = DesiredState::default();
        let mut accepted = None;
        if has_store {
            let read = read_state(&self.store, &mut Names::default()).await;
            let read = read.map_err(|source| OperatorError::Read { source })?;
            if let Some((manifest, read)) = read {
                accepted = Some(manifest.generation.0);
                state = read;
            }
        }
        let nodes = select(selection, &self.instances, &state).await?;
        if nodes.is_empty() {
            return Err(OperatorError::NoNodes);
        }
        let reports = poll(&self.nodes, &nodes).await;
        if reports.iter().any(|report| report.status.is_none()) {
            return Err(OperatorError::Unreachable { reports });
        }
        let mut text = accepted.map_or(String::new(), |g| format!("accepted generation {g}\n"));
        for report in &reports {
            text += &format!("{report}\n");
        }
        Ok(CommandOutput {
            text,
            json: json!({ "accepted_generation": accepted, "nodes": reports }),
        })
    }

    async fn dump(&self, node: SocketAddr) -> Result<CommandOutput, OperatorError> {
        let dumped = self.nodes.dump(node).await;
        let json = dumped.map_err(|reason| OperatorError::Node { node, reason })?;
        Ok(CommandOutput { text: format!("{json:#}\n"), json })
    }

    async fn explain(&self, args: &ExplainArgs) -> Result<CommandOutput, OperatorError> {
        let node = args.node;
        let answer = self.nodes.explain(node, &args.query).await.map_err(|error| match error {
            ExplainError::Call(reason) => OperatorError::Node { node, reason },
            ExplainError::Fault(fault) => OperatorError::NotExplained { node, fault },
        })?;
        Ok(CommandOutput { text: answer.to_string(), json: json!(answer) })
    }

    async fn drain(&self, node: SocketAddr) -> Result<CommandOutput, OperatorError> {
        let drained = self.nodes.drain(node).await;
        drained.map_err(|reason| OperatorError::Node { node, reason })?;
        let text = format!("node {node} is draining\n");
        Ok(CommandOutput { text, json: json!({ "node": node.to_string(), "phase": "draining" }) })
    }
}

fn check(files: &[std::path::PathBuf]) -> Result<CommandOutput, OperatorError> {
    let state = load(files, &mut Names::default())?;
    let counts = [
        ("priorities", state.priorities.len()),
        ("models", state.models.len()),
        ("accounts", state.accounts.len()),
        ("upstreams", state.upstreams.len()),
        ("services", state.services.len()),
    ];
    let listed: Vec<String> =
        counts.iter().map(|(what, count)| format!("{count} {what}")).collect();
    let json: serde_json::Map<String, Value> =
        counts.iter().map(|(what, count)| ((*what).to_owned(), json!(count))).collect();
    Ok(CommandOutput {
        text: format!("no faults: {}\n", listed.join(", ")),
        json: Value::Object(json),
    })
}

fn read_and_hash(
    input: impl FnOnce() -> std::io::Result<String>,
) -> Result<CommandOutput, OperatorError> {
    let input = input().map_err(|error| OperatorError::Input { reason: error.to_string() })?;
    let text = hash_key(&input)?;
    Ok(CommandOutput { json: json!({ "key_hash": text.trim_end() }), text })
}

fn output(stdout: String) -> Output {
    Output { stdout, stderr: String::new(), code: ResultCode::Ok }
}

fn failure(error: &OperatorError, json: bool) -> Output {
    let code = error.code();
    if json {
        let stdout = format!("{:#}\n", error.to_json());
        return Output { stdout, stderr: String::new(), code };
    }
    let stderr = format!("redwingrill: {code}: {error}\nhint: {}\n", error.hint());
    Output { stdout: String::new(), stderr, code }
}
