//! Requests that wait at the node for room at an upstream.
//!
//! Answers this load: far more requests than the engines can read, for seconds. Queues at the
//! engines would make every request late and none would be served in time. Here the engines get
//! what they can read soon, requests that can still meet their target go first, later ones take
//! what room is left, and what has waited in vain is told when to come back.
//!
//! Invariant: requests of one class (service, long or short) leave in the order of their turn.

use std::collections::HashSet;

use super::Choice;
use super::RefusalCause;
use super::ScheduleRequest;
use super::Scheduler;
use crate::placement::is_long;

/// The part of its time that a request waits, in percent.
const PATIENCE_PERCENT: u64 = 30;

/// What a long prompt takes from its sending to its first event with the reading before it, and
/// what a short one takes, from the engines' data sheet.
const LONG_SERVING_MS: u64 = 700;
const SHORT_SERVING_MS: u64 = 250;

/// The most requests of a class that wait at a node.
const WAITING_LIMIT: usize = 96;

/// The longest pause that a caller is told.
const PAUSE_LIMIT_MS: u64 = 2_500;

/// The longest pause that a caller is told by a node that stops: others have room already.
const STOP_PAUSE_MS: u64 = 200;

/// One request that waits, with what is needed to answer it.
#[derive(Debug)]
struct Waiting<T> {
    ask: ScheduleRequest,
    since_ms: u64,
    answer: T,
}

impl<T> Waiting<T> {
    fn class(&self) -> (String, bool) {
        class_of(&self.ask)
    }

    /// Returns whether the request can no longer meet its target, even if it is sent now.
    fn is_late(&self, now_ms: u64) -> bool {
        let is_long = self.class().1;
        let serving_ms = if is_long { LONG_SERVING_MS } else { SHORT_SERVING_MS };
        // Whoever has a tighter target than that is on time while half of it is left.
        let needed_ms = serving_ms.min(self.ask.target_ms / 2);
        now_ms + needed_ms >= self.ask.arrived_ms + self.ask.target_ms
    }

    fn patience_ends_ms(&self) -> u64 {
        let span_ms = self.ask.deadline_ms.saturating_sub(self.ask.arrived_ms);
        self.ask.arrived_ms + span_ms * PATIENCE_PERCENT / 100
    }
}

fn class_of(ask: &ScheduleRequest) -> (String, bool) {
    let is_long = ask.prompt.as_ref().is_some_and(|prompt| is_long(prompt.prompt_tokens));
    (ask.service.clone(), is_long)
}

/// The requests that wait.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: Vec<Waiting<T>>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiting: Vec::new() }
    }
}

impl<T> WaitQueue<T> {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes in a request. Returns the answers that can be given now, among them perhaps its own.
    pub fn enqueue(
        &mut self,
        scheduler: &mut Scheduler,
        ask: ScheduleRequest,
        answer: T,
        now_ms: u64,
    ) -> Vec<(T, Choice)> {
        let class = class_of(&ask);
        let before_it = self.waiting.iter().filter(|waiting| waiting.class() == class).count();
        if before_it >= WAITING_LIMIT {
            return vec![(answer, scheduler.refuse_waiting(&ask, now_ms))];
        }
        let is_alone = before_it == 0;
        self.waiting.push(Waiting { ask, since_ms: now_ms, answer });
        match is_alone {
            true => {
                let entry = self.waiting.pop().expect("it was just pushed");
                self.turn(scheduler, entry, now_ms).into_iter().collect()
            }
            false => self.dispatch(scheduler, now_ms, |_| false),
        }
    }

    /// Gives out what room there is. Requests for which `is_gone` holds are dropped.
    pub fn dispatch(
        &mut self,
        scheduler: &mut Scheduler,
        now_ms: u64,
        is_gone: impl Fn(&T) -> bool,
    ) -> Vec<(T, Choice)> {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|waiting| !is_gone(&waiting.answer));
        // A stable sort: those of equal turn stay in the order of their arrival here.
        waiting.sort_by_key(|waiting| (waiting.is_late(now_ms), waiting.ask.urgency));
        let mut full: HashSet<(String, bool)> = HashSet::new();
        let mut answers = Vec::new();
        for entry in waiting {
            let class = entry.class();
            if full.contains(&class) && now_ms < entry.patience_ends_ms() {
                self.waiting.push(entry);
                continue;
            }
            match self.turn(scheduler, entry, now_ms) {
                Some(answer) => answers.push(answer),
                None => {
                    full.insert(class);
                }
            }
        }
        answers
    }

    /// Refuses all that wait, as when the node stops.
    pub fn refuse_all(&mut self, scheduler: &mut Scheduler) -> Vec<(T, Choice)> {
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        let refused = waiting.map(|entry| {
            let retry_after_ms = scheduler.draw(0, STOP_PAUSE_MS);
            let choice = Choice::Refuse { cause: RefusalCause::Stopping, retry_after_ms };
            (entry.answer, choice)
        });
        refused.collect()
    }

    fn turn(
        &mut self,
        scheduler: &mut Scheduler,
        entry: Waiting<T>,
        now_ms: u64,
    ) -> Option<(T, Choice)> {
        let is_late = entry.is_late(now_ms);
        match scheduler.choose_when(&entry.ask, is_late, now_ms) {
            Choice::Wait if now_ms < entry.patience_ends_ms() => {
                self.waiting.push(entry);
                None
            }
            Choice::Wait => {
                let refusal = scheduler.refuse_waiting(&entry.ask, now_ms);
                Some((entry.answer, refusal))
            }
            choice => Some((entry.answer, choice)),
        }
    }

    /// Returns the longest wait so far.
    pub fn longest_wait_ms(&self, now_ms: u64) -> u64 {
        let waits = self.waiting.iter().map(|waiting| now_ms.saturating_sub(waiting.since_ms));
        waits.max().unwrap_or(0)
    }
}

impl Scheduler {
    /// Refuses a request that would wait or has waited in vain. The pauses of those that are
    /// refused together differ, so that they do not come back together.
    fn refuse_waiting(&mut self, ask: &ScheduleRequest, now_ms: u64) -> Choice {
        let left_ms = ask.deadline_ms.saturating_sub(now_ms);
        let longest_ms = (left_ms / 3).min(PAUSE_LIMIT_MS);
        let retry_after_ms = self.draw(longest_ms / 2, longest_ms);
        Choice::Refuse { cause: RefusalCause::Overloaded, retry_after_ms }
    }
}
