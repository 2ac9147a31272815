//! The life of a roll-out at one node, without I/O.
//!
//! ```text
//! Rollout<Watching> --claim written--> Rollout<Owning> --swap lost or released--> Rollout<Watching>
//! ```
//!
//! A watching node claims the record when nobody owns it, or when its owner has not written for a
//! while; the node's rank spreads the tries. The claim takes the next fencing number and keeps the
//! loads in progress, whose orders the new owner sends again under its own number.

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

/// An owner that has not written for this long is taken to be gone.
const TAKEOVER_TIMEOUT_MS: u64 = 12_000;

/// An owner writes at least this often.
const HEARTBEAT_INTERVAL_MS: u64 = 4_000;

/// A load that did not end within this time is given up and tried again.
const LOAD_TIMEOUT_MS: u64 = 60_000;

/// An engine that did not take an order gets no other for this long.
const BACKOFF_MS: u64 = 10_000;

/// Orders follow the write that has them within this time, or the record is read again first.
const MAX_RECORD_AGE_MS: u64 = 2_000;

/// Nodes from this rank on leave the roll-out to others.
const CANDIDATE_RANKS: usize = 3;

/// A roll-out at one node.
#[derive(Debug)]
pub struct Rollout<S> {
    /// The node.
    node: String,
    /// A random number of this run.
    run_id: u64,
    stage: S,
}

/// The node does not own the roll-out.
#[derive(Debug, Default)]
pub struct Watching {
    // The write that was seen last, and since when it is the last.
    last_seen: Option<(u64, u64, u64)>,
}

/// The node believes that it owns the roll-out.
#[derive(Debug)]
pub struct Owning {
    record: RolloutRecord,
    revision: Revision,
    confirmed_at_ms: u64,
    // When this owner sent the order of each load.
    loads_sent: HashMap<LoadEntry, u64>,
    // Loads whose order an earlier owner, or this one for another start of the engine, may have
    // sent with effect.
    maybe_sent: HashSet<LoadEntry>,
    // Engines that took their role since the last write.
    roles_accepted: HashSet<String>,
    failed_engines: Vec<String>,
    backoffs: Backoffs,
}

/// What an owner does next.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Step {
    /// Nothing now.
    Wait,
    /// Swap the record.
    Write(RolloutRecord),
    /// Send orders that the record has.
    Send(Vec<EngineCommand>),
    /// Read the record, since the node may have been paused.
    Confirm,
}

impl<S> Rollout<S> {
    /// Returns the random number of this run.
    pub fn run_id(&self) -> u64 {
        self.run_id
    }
}

impl Rollout<Watching> {
    /// Makes a roll-out that watches.
    pub fn new(node: &str, run_id: u64) -> Self {
        Self { node: node.to_owned(), run_id, stage: Watching::default() }
    }

    /// Returns whether a node of this rank reads the record at all.
    pub fn is_candidate(rank: usize) -> bool {
        rank < CANDIDATE_RANKS
    }

    /// Looks at the record. Returns the claim to write, if it is time for one.
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

    /// Becomes the owner after the claim was written at a revision.
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
    /// Returns the record as this owner wrote it last.
    pub fn record(&self) -> &RolloutRecord {
        &self.stage.record
    }

    /// Returns the revision that the next swap must expect.
    pub fn revision(&self) -> Revision {
        self.stage.revision
    }

    /// Returns what to do next.
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
        // A load that is given up may begin again at once, and is then ordered anew.
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

    /// Notes that a record was written.
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

    /// Notes that the record was read at this time and is still this owner's.
    pub fn record_confirmed(&mut self, now_ms: u64) {
        self.stage.confirmed_at_ms = now_ms;
    }

    /// Notes what became of an order. Returns a record to write if the fencing number must grow.
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
                    // Not by this order, but perhaps by the one before: it keeps its place until
                    // it shows or expires.
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
                // Either another owner is in office, and this write is going to fail, or the store
                // went back to an old copy and the number with it.
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

    /// Gives up the ownership.
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
