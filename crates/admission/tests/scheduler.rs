//! Golden tests of scheduler sessions, and property tests of the fair queue against a simple model.

use std::collections::BTreeMap;
use std::fmt::Write;

use quickcheck::Gen;
use quickcheck::QuickCheck;

use redwingrill_admission::queue::FairQueue;
use redwingrill_admission::queue::PrioritySpec;
use redwingrill_admission::queue::QueuedRequest;
use redwingrill_admission::queue::QueuedRequestId;
use redwingrill_admission::queue::Scheduler;
use redwingrill_entity::AccountId;
use redwingrill_entity::EntityRef;
use redwingrill_entity::Interner;
use redwingrill_entity::PriorityId;

const SEED: u64 = 7;

const NEVER_MS: u64 = u64::MAX;

#[test]
fn scheduler_sessions_match_golden_files() {
    redwingrill_golden::run_dir("tests/cases/scheduler", |input| {
        let mut session = Session::default();
        input.lines().for_each(|line| session.step(line));
        session.output
    });
}

#[derive(Default)]
struct Session {
    scheduler: Scheduler,
    accounts: Interner<AccountId>,
    priorities: Interner<PriorityId>,
    specs: Vec<PrioritySpec>,
    weights: BTreeMap<AccountId, f64>,
    slots: u32,
    now_ms: u64,
    next: u64,
    output: String,
}

impl Session {
    fn step(&mut self, line: &str) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        match fields.as_slice() {
            [] | ["#", ..] => {}
            ["priority", name, floor] => {
                let spec = PrioritySpec {
                    priority: self.priorities.intern(name),
                    level: self.specs.len() as u8,
                    floor_percent: number(floor) as u8,
                };
                self.specs.push(spec);
                self.scheduler.configure(self.specs.iter().copied());
            }
            ["weight", account, weight] => {
                self.weights.insert(self.accounts.intern(account), number(weight) as f64);
            }
            ["slots", slots] => self.slots = number(slots) as u32,
            ["at", now_ms] => self.now_ms = number(now_ms),
            ["push", priority, account, cost, count] => {
                (0..number(count)).for_each(|_| self.push(priority, account, number(cost)));
            }
            ["pop", count] => self.pop(number(count)),
            ["end", priority, count] => {
                let priority = self.priorities.intern(priority);
                (0..number(count)).for_each(|_| self.scheduler.finish(priority, None));
            }
            ["first", priority, count, lateness] => {
                let priority = self.priorities.intern(priority);
                let is_late = *lateness == "late";
                for _ in 0..number(count) {
                    self.scheduler.record_first_token(priority, is_late, self.now_ms);
                }
            }
            ["expire"] => {
                while let Some(expired) = self.scheduler.pop_expired(self.now_ms) {
                    self.write_line(&format!("expired {}", self.name(expired)));
                }
            }
            _ => panic!("unknown step: {line}"),
        }
        self.scheduler.verify().expect("invariants hold after each step");
    }

    fn push(&mut self, priority: &str, account: &str, cost_tokens: u64) {
        let account = self.accounts.intern(account);
        let weight = self.weights.get(&account).copied().unwrap_or(1.0);
        let id = QueuedRequestId(self.next);
        self.next += 1;
        let deadline_ms = self.now_ms + 2_000;
        let overload_deadline_ms = self.now_ms + 1_000;
        let request = QueuedRequest { id, account, cost_tokens, deadline_ms, overload_deadline_ms };
        let priority = self.priorities.intern(priority);
        match self.scheduler.push(priority, request, weight, self.now_ms) {
            Ok(None) => {}
            Ok(Some(dropped)) => self.write_line(&format!("dropped {}", self.name(dropped))),
            Err(refusal) => self.write_line(&format!("refused {} {refusal:?}", self.name(request))),
        }
    }

    /// Starts requests and writes one line, in which consecutive requests of the same account are
    /// grouped.
    fn pop(&mut self, count: u64) {
        let mut groups: Vec<(String, u32)> = Vec::new();
        for _ in 0..count {
            let popped = self.scheduler.pop(self.slots, self.now_ms);
            let name = match popped {
                None => "none".to_owned(),
                Some((priority, request)) => {
                    format!("{}/{}", self.priorities.name(priority), self.name(request))
                }
            };
            match groups.last_mut() {
                Some((last, count)) if *last == name => *count += 1,
                _ => groups.push((name, 1)),
            }
        }
        let groups: Vec<String> =
            groups.iter().map(|(name, count)| format!("{name}*{count}")).collect();
        self.write_line(&groups.join(" "));
    }

    fn name(&self, request: QueuedRequest) -> String {
        self.accounts.name(request.account).to_owned()
    }

    fn write_line(&mut self, text: &str) {
        writeln!(self.output, "{}: {text}", self.now_ms).expect("writing to a string cannot fail");
    }
}

fn number(text: &str) -> u64 {
    text.parse().unwrap_or_else(|_| panic!("{text} is not a number"))
}

fn request(id: u64, account: usize, cost_tokens: u64) -> QueuedRequest {
    let account = AccountId::from_index(account);
    QueuedRequest {
        id: QueuedRequestId(id),
        account,
        cost_tokens,
        deadline_ms: NEVER_MS,
        overload_deadline_ms: NEVER_MS,
    }
}

#[test]
fn fair_queue_preserves_account_order_and_length() {
    fn keeps_order(steps: Vec<(u8, u16)>) -> bool {
        let mut queue = FairQueue::default();
        let mut model: BTreeMap<AccountId, Vec<QueuedRequestId>> = BTreeMap::new();
        for (id, (kind, cost)) in steps.into_iter().enumerate() {
            let entry = request(id as u64, usize::from(kind % 5), cost.into());
            match kind % 7 {
                0..=3 => {
                    queue.push(entry, f64::from(kind % 3 + 1));
                    model.entry(entry.account).or_default().push(entry.id);
                }
                4 => {
                    let ids = model.entry(entry.account).or_default();
                    let removed_id = ids.pop();
                    let removed = removed_id.and_then(|id| queue.remove(entry.account, id));
                    assert_eq!(removed.map(|removed| removed.id), removed_id);
                }
                _ => {
                    if let Some(popped) = queue.pop(|_| true) {
                        assert_eq!(model.get_mut(&popped.account).unwrap().remove(0), popped.id);
                    }
                }
            }
            queue.verify().expect("invariants hold after each step");
        }
        queue.len() == model.values().map(Vec::len).sum::<usize>()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, SEED))
        .tests(300)
        .quickcheck(keeps_order as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn fair_queue_shares_follow_weights_for_any_request_size() {
    struct Case {
        weights: [f64; 2],
        costs: [u64; 2],
    }
    let cases = [
        Case { weights: [1.0, 1.0], costs: [100, 100] },
        Case { weights: [1.0, 1.0], costs: [100, 4_000] },
        Case { weights: [3.0, 1.0], costs: [700, 900] },
        Case { weights: [0.1, 0.4], costs: [5_000, 300] },
    ];
    const STARTED_TOKENS: u64 = 400_000;
    for case in cases {
        let mut queue = FairQueue::default();
        for id in 0..20_000 {
            let account = id % 2;
            let entry = request(id as u64, account, case.costs[account]);
            queue.push(entry, case.weights[account]);
        }
        let mut started = [0; 2];
        while started.iter().sum::<u64>() < STARTED_TOKENS {
            let popped = queue.pop(|_| true).expect("both accounts have waiting requests");
            started[popped.account.index()] += popped.cost_tokens;
        }
        let share = started[0] as f64 / started.iter().sum::<u64>() as f64;
        let fair = case.weights[0] / case.weights.iter().sum::<f64>();
        assert!((share - fair).abs() < 0.1 * fair, "share {share}, fair {fair}");
    }
}
