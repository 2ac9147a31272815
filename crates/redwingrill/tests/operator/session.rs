//! Text sessions of files, faults and command lines; the output is a transcript.
//!
//! ```text
//! file NAME ... end      writes a file
//! $ COMMAND LINE         runs the operator command
//! store FAULT            none, down, lose-answers or lose-calls
//! node ADDRESS NAME G    adds a node with generation G in force, or `follows`, or `silent`
//! answer ADDRESS FILE    lets a node answer `explain` with a file
//! instance NAME ADDRESS  adds an entry to the platform's instance list
//! concurrent-apply NAME  applies a file just before the next swap
//! save | restore         saves a copy of the store, and restores it
//! ```

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;

use crate::racing::RacingStore;
use redwingrill::operator::Command;
use redwingrill::operator::ExplainError;
use redwingrill::operator::NodeAdmin;
use redwingrill::operator::NodeStatus;
use redwingrill::operator::Operator;
use redwingrill::operator::Output;
use redwingrill::operator::parse;
use redwingrill_config::read_manifest;
use redwingrill_explain::Answer;
use redwingrill_explain::ExplainQuery;
use redwingrill_fakes::Faults;
use redwingrill_fakes::MemoryInstances;
use redwingrill_fakes::MemoryStore;
use redwingrill_fakes::WriteFault;
use redwingrill_ports::Instance;
use redwingrill_ports::InstanceState;

static SESSIONS: AtomicU32 = AtomicU32::new(0);

#[derive(Clone, Debug)]
enum Behaviour {
    Fixed(u64),
    Follows,
    Silent,
}

/// Simulated nodes with the behaviour that the session sets.
#[derive(Clone, Debug, Default)]
struct FakeNodes {
    store: MemoryStore,
    nodes: Arc<Mutex<BTreeMap<SocketAddr, (String, Behaviour)>>>,
    answers: Arc<Mutex<BTreeMap<SocketAddr, String>>>,
}

impl NodeAdmin for FakeNodes {
    async fn status(&self, node: SocketAddr) -> Result<NodeStatus, String> {
        let found =
            self.nodes.lock().expect("no thread panics while holding the lock").get(&node).cloned();
        let (name, behaviour) = found.ok_or("connection refused")?;
        let generation = match behaviour {
            Behaviour::Silent => return Err("no response in time".to_owned()),
            Behaviour::Fixed(generation) => generation,
            Behaviour::Follows => {
                let stored = read_manifest(&self.store).await.map_err(|e| e.to_string())?;
                stored.map_or(0, |stored| stored.manifest.generation.0)
            }
        };
        Ok(NodeStatus { name, phase: "serving".to_owned(), generation })
    }

    async fn dump(&self, node: SocketAddr) -> Result<Value, String> {
        let status = self.status(node).await?;
        Ok(json!({ "status": status }))
    }

    async fn explain(
        &self,
        node: SocketAddr,
        query: &ExplainQuery,
    ) -> Result<Answer, ExplainError> {
        self.status(node).await.map_err(ExplainError::Call)?;
        let decoded = ExplainQuery::decode(&query.encode()).expect("query is encoded validly");
        assert_eq!(decoded, *query);
        let answers = self.answers.lock().expect("no thread panics while holding the lock");
        let answer = answers.get(&node).expect("the session sets the answer");
        serde_json::from_str(answer).map_err(|_| {
            ExplainError::Fault(serde_json::from_str(answer).expect("answer or fault"))
        })
    }

    async fn drain(&self, node: SocketAddr) -> Result<(), String> {
        self.status(node).await.map(|_| ())
    }
}

pub struct Session {
    directory: PathBuf,
    operator: Operator<RacingStore, MemoryInstances, FakeNodes>,
    instances: Vec<Instance>,
    transcript: String,
}

impl Drop for Session {
    fn drop(&mut self) {
        // Files that cannot be removed stay in the temporary directory of the build.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Session {
    pub fn new() -> Self {
        let number = SESSIONS.fetch_add(1, Ordering::Relaxed);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("operator-{}-{number}", std::process::id()));
        fs::create_dir_all(&directory).expect("directory is created");
        let store = RacingStore::default();
        let nodes = FakeNodes { store: store.inner.clone(), ..FakeNodes::default() };
        let operator = Operator { store, instances: MemoryInstances::default(), nodes };
        Self { directory, operator, instances: Vec::new(), transcript: String::new() }
    }

    pub async fn run(mut self, input: &str) -> String {
        let mut lines = input.lines();
        while let Some(line) = lines.next() {
            let words: Vec<&str> = line.split_whitespace().collect();
            match words.as_slice() {
                [] => {}
                ["file", name] => {
                    let body: Vec<&str> = lines.by_ref().take_while(|l| *l != "end").collect();
                    fs::write(self.directory.join(name), body.join("\n")).expect("file is written");
                }
                ["$", args @ ..] => self.command(args).await,
                words => self.set_up(words),
            }
        }
        std::mem::take(&mut self.transcript)
    }

    pub async fn execute(&self, command: &Command) -> Output {
        self.operator.execute(command, false, || Ok(String::new())).await
    }

    fn set_up(&mut self, words: &[&str]) {
        let store = &self.operator.store;
        match words {
            ["store", "none"] => store.inner.set_faults(Faults::default()),
            ["store", "down"] => store.inner.set_faults(Faults { down: true, ..Faults::default() }),
            ["store", "lose-answers"] => self.lose_writes(WriteFault::LoseResponse),
            ["store", "lose-calls"] => self.lose_writes(WriteFault::LoseRequest),
            ["save"] => store.inner.save(),
            ["restore"] => store.inner.restore(),
            ["concurrent-apply", name] => {
                let text = fs::read_to_string(self.directory.join(name)).expect("file is readable");
                *store.concurrent_text.lock().expect("no thread panics while holding the lock") =
                    Some(text);
            }
            ["node", address, name, behaviour] => {
                let behaviour = match *behaviour {
                    "follows" => Behaviour::Follows,
                    "silent" => Behaviour::Silent,
                    generation => Behaviour::Fixed(generation.parse().expect("valid generation")),
                };
                let address = address.parse().expect("valid address");
                let mut nodes = self
                    .operator
                    .nodes
                    .nodes
                    .lock()
                    .expect("no thread panics while holding the lock");
                nodes.insert(address, ((*name).to_owned(), behaviour));
            }
            ["answer", address, name] => {
                let text = fs::read_to_string(self.directory.join(name)).expect("file is readable");
                let mut answers = self
                    .operator
                    .nodes
                    .answers
                    .lock()
                    .expect("no thread panics while holding the lock");
                answers.insert(address.parse().expect("valid address"), text);
            }
            ["instance", name, address] => {
                self.instances.push(Instance {
                    name: (*name).to_owned(),
                    address: address.parse().expect("valid address"),
                    failure_domain: "one".to_owned(),
                    state: InstanceState::Live,
                });
                self.operator.instances.set(self.instances.clone());
            }
            words => panic!("unknown session line: {words:?}"),
        }
    }

    fn lose_writes(&self, write: WriteFault) {
        self.operator.store.inner.set_faults(Faults { write, ..Faults::default() });
    }

    async fn command(&mut self, args: &[&str]) {
        let located = args.iter().map(|arg| match arg.ends_with(".ini") {
            true => self.directory.join(arg).display().to_string(),
            false => (*arg).to_owned(),
        });
        let line = std::iter::once("redwingrill".to_owned()).chain(located);
        let (command, json) = parse(line).unwrap_or_else(|e| panic!("{args:?}: {e}"));
        let input = || Ok("example-key\n".to_owned());
        let output = self.operator.execute(&command, json, input).await;
        let text = format!("{}{}", output.stdout, output.stderr);
        let directory_prefix = format!("{}/", self.directory.display());
        let status = output.code.exit_status();
        self.transcript += &format!(
            "$ {}\n{}exit {status}\n\n",
            args.join(" "),
            text.replace(&directory_prefix, "")
        );
    }
}
