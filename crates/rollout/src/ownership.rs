//! The ownership state machine of the roll-out at one node, without I/O.
//!
//! ```text
//! Rollout<Watching> --claim written--> Rollout<Owning> --lost or released--> Rollout<Watching>
//! ```
//!
//! A watching node claims the record when it has no owner, or when its owner has not written it for
//! longer than the takeover timeout. The timeout grows with the node's rank, so that nodes do not
//! claim at the same time. The claim takes the next fencing number and keeps the loads in progress,
//! whose commands the new owner sends again under its own number.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::EngineCommand;
use crate::EngineReports;
use crate::LoadEntry;
use crate::RolloutRecord;
use crate::command::CommandKind;
use crate::command::CommandOutcome;
use crate::command::LoadCommand;
use crate::command::RoleCommand;
use crate::plan::Backoffs;
use crate::plan::is_complete;
use crate::plan::plan;
use redwingrill_config::DesiredState;
use redwingrill_config::Upstream;
use redwingrill_entity::UpstreamId;
use redwingrill_ports::Revision;

/// An owner that has not written the record for this long is considered dead.
const TAKEOVER_TIMEOUT_MS: u64 = 12_000;

/// The longest time between two writes of an owner.
const HEARTBEAT_INTERVAL_MS: u64 = 4_000;

/// A load that has not ended within this time is dropped and started again.
const LOAD_TIMEOUT_MS: u64 = 60_000;

/// An engine that did not execute a command gets no other command for this long.
const BACKOFF_MS: u64 = 10_000;

/// Commands are sent only if the record was written or read within this time. Otherwise, the owner
/// reads the record first.
const MAX_RECORD_AGE_MS: u64 = 2_000;

/// Nodes of this rank and above never own the roll-out.
const CANDIDATE_RANKS: usize = 3;

/// The roll-out at one node.
#[derive(Debug)]
pub struct Rollout<S> {
    /// The name of the node.
    node: String,
    /// A random number that identifies this process.
    run_id: u64,
    stage: S,
}

/// The node does not own the roll-out.
#[derive(Debug, Default)]
pub struct Watching {
    // Fencing number and sequence of the last record seen, and the time it was first seen.
    last_seen: Option<(u64, u64, u64)>,
}

/// The node believes that it owns the roll-out.
#[derive(Debug)]
pub struct Owning {
    record: RolloutRecord,
    revision: Revision,
    confirmed_at_ms: u64,
    // The time at which this owner sent the command of each load.
    loads_sent: HashMap<LoadEntry, u64>,
    // Loads whose command may have taken effect already: sent by an earlier owner, or by this one
    // to an earlier incarnation of the engine.
    maybe_sent: HashSet<LoadEntry>,
    // Engines that accepted their role since the last write.
    roles_accepted: HashSet<String>,
    failed_engines: Vec<String>,
    backoffs: Backoffs,
}

/// The next action of an owner.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Step {
    /// Do nothing.
    Wait,
    /// Replace the record by compare-and-swap.
    Write(RolloutRecord),
    /// Send commands for entries of the record.
    Send(Vec<EngineCommand>),
    /// Read the record to confirm the ownership, as the node may have been paused.
    Confirm,
}

impl<S> Rollout<S> {
    /// Returns the random number that identifies this process.
    pub fn run_id(&self) -> u64 {
        self.run_id
    }
}

impl Rollout<Watching> {
    /// Creates a roll-out that watches the record.
    pub fn new(node: &str, run_id: u64) -> Self {
        Self { node: node.to_owned(), run_id, stage: Watching::default() }
    }

    /// Returns whether a node of this rank may own the roll-out.
    pub fn is_candidate(rank: usize) -> bool {
        rank < CANDIDATE_RANKS
    }

    /// Observes the record. Returns the record to write if the node should claim the ownership.
    pub fn observe(
        &mut self,
        record: Option<&RolloutRecord>,
        rank: usize,
        now_ms: u64,
    ) -> Option<RolloutRecord> {
        let empty = RolloutRecord::default();
        let record = record.unwrap_or(&empty);
        let since_ms = match self.stage.last_seen {
            Some((fencing, sequence, since_ms))
                if (fencing, sequence) == (record.fencing_number, record.sequence) =>
            {
                since_ms
            }
            _ => now_ms,
        };
        self.stage.last_seen = Some((record.fencing_number, record.sequence, since_ms));
        let is_owned = !record.owner.is_empty() && record.run_id != self.run_id;
        let wait_ms = TAKEOVER_TIMEOUT_MS * (rank as u64 + u64::from(is_owned));
        if !Self::is_candidate(rank) || now_ms - since_ms < wait_ms {
            return None;
        }
        Some(RolloutRecord {
            fencing_number: record.fencing_number + 1,
            owner: self.node.clone(),
            run_id: self.run_id,
            sequence: record.sequence + 1,
            ..record.clone()
        })
    }

    /// Becomes the owner after its claim was written at `revision`.
    pub fn into_owning(
        self,
        record: RolloutRecord,
        revision: Revision,
        now_ms: u64,
    ) -> Rollout<Owning> {
        let stage = Owning {
            maybe_sent: record.loads.iter().cloned().collect(),
            record,
            revision,
            confirmed_at_ms: now_ms,
            loads_sent: HashMap::new(),
            roles_accepted: HashSet::new(),
            failed_engines: Vec::new(),
            backoffs: Backoffs::new(),
        };
        Rollout { node: self.node, run_id: self.run_id, stage }
    }
}

impl Rollout<Owning> {
    /// Returns the record that this owner wrote last.
    pub fn record(&self) -> &RolloutRecord {
        &self.stage.record
    }

    /// Returns the revision that the next compare-and-swap must expect.
    pub fn revision(&self) -> Revision {
        self.stage.revision
    }

    /// Returns the next action.
    pub fn step(&mut self, state: &DesiredState, reports: &EngineReports, now_ms: u64) -> Step {
        let next = self.next_record(state, reports, now_ms);
        let stage = &self.stage;
        let changed = next.loads != stage.record.loads || next.roles != stage.record.roles;
        let idle_ms = now_ms - stage.confirmed_at_ms;
        if changed || next.owner.is_empty() || idle_ms >= HEARTBEAT_INTERVAL_MS {
            return Step::Write(next);
        }
        let mut commands = self.pending_commands(state);
        let backoffs = &self.stage.backoffs;
        commands
            .retain(|command| backoffs.get(command.engine).is_none_or(|until| *until <= now_ms));
        if commands.is_empty() {
            return Step::Wait;
        }
        if idle_ms > MAX_RECORD_AGE_MS { Step::Confirm } else { Step::Send(commands) }
    }

    fn next_record(
        &mut self,
        state: &DesiredState,
        reports: &EngineReports,
        now_ms: u64,
    ) -> RolloutRecord {
        let stage = &mut self.stage;
        let is_overdue = |sent_ms: &u64| now_ms - *sent_ms >= LOAD_TIMEOUT_MS;
        let timed_out = stage.loads_sent.iter().filter(|(_, sent_ms)| is_overdue(sent_ms));
        let mut abandoned: Vec<String> = timed_out.map(|(load, _)| load.engine.clone()).collect();
        abandoned.append(&mut stage.failed_engines);
        // A dropped load may start again in the same step; its command is then sent again.
        stage.loads_sent.retain(|load, _| !abandoned.contains(&load.engine));
        let mut planned = plan(state, reports, &stage.record, &abandoned, &stage.backoffs, now_ms);
        for role in planned.roles.iter_mut() {
            role.accepted |= stage.roles_accepted.contains(&role.engine);
        }
        let complete = is_complete(state, reports, &stage.record);
        let record = &stage.record;
        RolloutRecord {
            fencing_number: record.fencing_number,
            owner: if complete { String::new() } else { self.node.clone() },
            run_id: self.run_id,
            sequence: record.sequence + 1,
            loads: planned.loads,
            roles: planned.roles,
        }
    }

    /// Updates the state after `record` was written at `revision`.
    pub fn record_written(&mut self, record: RolloutRecord, revision: Revision, now_ms: u64) {
        let stage = &mut self.stage;
        stage.loads_sent.retain(|load, _| record.loads.contains(load));
        stage.roles_accepted.clear();
        let previous = &stage.record;
        let retargeted =
            |load: &&LoadEntry| previous.load_of(&load.engine).is_some_and(|b| b != *load);
        stage.maybe_sent.retain(|load| record.loads.contains(load));
        stage.maybe_sent.extend(record.loads.iter().filter(retargeted).cloned());
        stage.record = record;
        stage.revision = revision;
        stage.confirmed_at_ms = now_ms;
    }

    /// Confirms the ownership: a read that started at `now_ms` found the record unchanged.
    pub fn record_confirmed(&mut self, now_ms: u64) {
        self.stage.confirmed_at_ms = now_ms;
    }

    /// Processes the outcome of a command. Returns a record to write if the fencing number must be
    /// raised.
    pub fn command_completed(
        &mut self,
        command: &EngineCommand,
        engine: &str,
        outcome: CommandOutcome,
        now_ms: u64,
    ) -> Option<RolloutRecord> {
        let is_load = matches!(command.kind, CommandKind::Load(_));
        let stage = &mut self.stage;
        match outcome {
            CommandOutcome::Accepted | CommandOutcome::Unknown if is_load => {
                let load = stage.record.load_of(engine)?.clone();
                stage.loads_sent.insert(load, now_ms);
            }
            CommandOutcome::Accepted => {
                stage.roles_accepted.insert(engine.to_owned());
            }
            CommandOutcome::NotExecuted if is_load => {
                let load = stage.record.load_of(engine)?.clone();
                if stage.maybe_sent.contains(&load) {
                    // This command was not executed, but an earlier one may have been. The load
                    // stays in the record until the engine reports the weights or it times out.
                    stage.loads_sent.insert(load, now_ms);
                    return None;
                }
                stage.failed_engines.push(engine.to_owned());
                stage.backoffs.insert(command.engine, now_ms + BACKOFF_MS);
            }
            CommandOutcome::NotExecuted | CommandOutcome::Unknown => {
                stage.backoffs.insert(command.engine, now_ms + BACKOFF_MS);
            }
            CommandOutcome::Refused { highest_seen }
                if highest_seen >= stage.record.fencing_number =>
            {
                // Either another node owns the roll-out, and this write is going to fail, or the
                // store was restored from an old copy with a lower fencing number.
                return Some(RolloutRecord {
                    fencing_number: highest_seen + 1,
                    sequence: stage.record.sequence + 1,
                    ..stage.record.clone()
                });
            }
            CommandOutcome::Refused { .. } => {}
        }
        None
    }

    /// Ends the ownership.
    pub fn into_watching(self) -> Rollout<Watching> {
        Rollout { node: self.node, run_id: self.run_id, stage: Watching::default() }
    }

    fn pending_commands(&self, state: &DesiredState) -> Vec<EngineCommand> {
        let stage = &self.stage;
        let by_name: HashMap<&str, (UpstreamId, &Upstream)> =
            state.upstreams.iter().map(|(id, u)| (u.name.as_str(), (id, u))).collect();
        let command = |engine: &str, kind: CommandKind| {
            let (id, upstream) = by_name.get(engine)?;
            let fencing_number = stage.record.fencing_number;
            Some(EngineCommand { engine: *id, address: upstream.address, kind, fencing_number })
        };
        let loads = stage.record.loads.iter();
        let loads = loads.filter(|load| !stage.loads_sent.contains_key(load));
        let loads = loads.filter_map(|load| {
            let (model, weights_version) = (load.model.clone(), load.weights_version.clone());
            command(&load.engine, CommandKind::Load(LoadCommand { model, weights_version }))
        });
        let roles = stage.record.roles.iter();
        let roles = roles.filter(|r| !r.accepted && !stage.roles_accepted.contains(&r.engine));
        let roles = roles.filter_map(|role| {
            command(&role.engine, CommandKind::Role(RoleCommand { role: role.role.clone() }))
        });
        loads.chain(roles).collect()
    }
}
