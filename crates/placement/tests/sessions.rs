//! Golden tests of placement sessions: events in, decisions out.

mod support;

use std::collections::HashMap;
use std::fmt::Write;

use rand::rngs::SmallRng;

use redwingrill_entity::EntityMap;
use redwingrill_entity::Interner;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::blocks::PromptSummary;
use redwingrill_placement::fleet::EngineSpec;
use redwingrill_placement::fleet::EngineStart;
use redwingrill_placement::fleet::LoadReport;
use redwingrill_placement::fleet::WeightsTag;
use redwingrill_placement::placer::Availability;
use redwingrill_placement::placer::CacheEvent;
use redwingrill_placement::placer::Finished;
use redwingrill_placement::placer::FirstToken;
use redwingrill_placement::placer::Placement;
use redwingrill_placement::placer::Placer;
use redwingrill_placement::placer::Policy;

#[test]
fn placement_sessions_match_golden_files() {
    redwingrill_golden::run_dir("tests/cases/sessions", |input| {
        let mut session = Session::new();
        input.lines().for_each(|line| session.step(line));
        session.output
    });
}

#[derive(Default)]
struct UnavailableEngines(EntityMap<UpstreamId, ()>);

impl Availability for UnavailableEngines {
    fn overload(&self, upstream: UpstreamId) -> Option<f64> {
        (!self.0.contains(upstream)).then_some(0.0)
    }
}

struct Prompt {
    summary: PromptSummary,
    weights: String,
    placement: Option<Placement>,
    first_token_ms: Option<f64>,
}

struct Session {
    placer: Placer,
    names: Interner<UpstreamId>,
    domains: Vec<usize>,
    prompts: HashMap<String, Prompt>,
    unavailable: UnavailableEngines,
    now_ms: u64,
    rng: SmallRng,
    output: String,
}

impl Session {
    fn new() -> Self {
        Self {
            placer: Placer::new(Policy::Redwingrill),
            names: Interner::new(),
            domains: Vec::new(),
            prompts: HashMap::new(),
            unavailable: UnavailableEngines::default(),
            now_ms: 0,
            rng: support::rng(),
            output: String::new(),
        }
    }

    fn step(&mut self, line: &str) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        match fields.as_slice() {
            [] | ["#", ..] => {}
            ["policy", name] => {
                self.placer = Placer::new(name.parse().expect("the policy name is known"))
            }
            ["engine", name, domain] => self.add_engine(name, number(domain) as usize),
            ["store"] => self.placer.set_cache_store(true),
            ["prompt", name, account, weights, parts @ ..] => {
                self.add_prompt(name, account, weights, parts);
            }
            ["at", now_ms] => self.now_ms = number(now_ms),
            ["load", name, start, weights, waiting_tokens] => {
                self.report_load(name, start_of(start, weights), number(waiting_tokens));
            }
            ["close", name] => drop(self.unavailable.0.insert(self.names.intern(name), ())),
            ["open", name] => drop(self.unavailable.0.remove(self.names.intern(name))),
            ["place", name] => self.place(name),
            ["first", name, ms, start, weights] => {
                self.record_first_token(name, number(ms), start_of(start, weights));
            }
            ["finish", name, cached, start, weights] => {
                self.finish(name, number(cached), start_of(start, weights));
            }
            ["evicted", name, prompt, start, weights] => {
                self.evicted(name, prompt, start_of(start, weights));
            }
            _ => panic!("unknown step: {line}"),
        }
        self.placer.verify().expect("invariants hold after each step");
    }

    fn add_engine(&mut self, name: &str, domain: usize) {
        self.names.intern(name);
        self.domains.push(domain);
        let specs = self.domains.iter().enumerate().map(|(index, &domain)| {
            let upstream = redwingrill_entity::EntityRef::from_index(index);
            EngineSpec {
                upstream,
                name: self.names.name(upstream),
                model: support::model(),
                domain: redwingrill_entity::EntityRef::from_index(domain),
            }
        });
        self.placer.set_engines(specs);
    }

    fn add_prompt(&mut self, name: &str, account: &str, weights: &str, parts: &[&str]) {
        let parts: Vec<(&str, usize)> = parts
            .iter()
            .map(|part| part.split_once(':').expect("a part has the form NAME:BLOCKS"))
            .map(|(part, length)| (part, number(length) as usize))
            .collect();
        let summary = support::prompt(account, weights, &parts);
        let prompt =
            Prompt { summary, weights: weights.to_owned(), placement: None, first_token_ms: None };
        self.prompts.insert(name.to_owned(), prompt);
    }

    fn report_load(&mut self, name: &str, start: EngineStart, waiting_tokens: u64) {
        let report = LoadReport { start, running: 0, waiting: 0, waiting_tokens };
        let upstream = self.names.intern(name);
        if self.placer.observe_load(upstream, report, self.now_ms) {
            writeln!(self.output, "{}: {name} restarted", self.now_ms)
                .expect("writing to a string cannot fail");
        }
    }

    fn place(&mut self, name: &str) {
        let prompt = self.prompts.get_mut(name).expect("the prompt was declared");
        let request = support::request(&prompt.summary, &prompt.weights);
        let placement = self.placer.place(&request, &self.unavailable, self.now_ms, &mut self.rng);
        prompt.placement = placement;
        let Some(placement) = placement else {
            writeln!(self.output, "{}: {name} -> none", self.now_ms)
                .expect("writing to a string cannot fail");
            return;
        };
        writeln!(
            self.output,
            "{}: {name} ({} tokens) -> {} expected={} known={} import={}",
            self.now_ms,
            prompt.summary.tokens,
            self.names.name(placement.upstream),
            placement.expected_cached_tokens,
            placement.known_tokens,
            placement.import_tokens,
        )
        .expect("writing to a string cannot fail");
    }

    fn record_first_token(&mut self, name: &str, ms: u64, start: EngineStart) {
        let prompt = self.prompts.get_mut(name).expect("the prompt was declared");
        prompt.first_token_ms = Some(ms as f64);
        let event = FirstToken {
            model: support::model(),
            placement: prompt.placement.as_ref().expect("the prompt was placed"),
            prompt: &prompt.summary,
            weights: WeightsTag::of(&prompt.weights),
            start: Some(start),
            first_token_ms: ms as f64,
        };
        self.placer.first_token(&event, self.now_ms);
    }

    fn finish(&mut self, name: &str, cached_tokens: u64, start: EngineStart) {
        let prompt = &self.prompts[name];
        let event = Finished {
            model: support::model(),
            placement: prompt.placement.as_ref().expect("the prompt was placed"),
            prompt: &prompt.summary,
            weights: WeightsTag::of(&prompt.weights),
            start: Some(start),
            first_token_ms: prompt.first_token_ms,
            cached_tokens: Some(cached_tokens),
        };
        self.placer.finish(&event, self.now_ms);
    }

    fn evicted(&mut self, name: &str, prompt: &str, start: EngineStart) {
        let upstream = self.names.intern(name);
        for level in self.prompts[prompt].summary.levels() {
            let event = CacheEvent::Removed(level.hash);
            self.placer.observe_cache_event(support::model(), upstream, start, event, self.now_ms);
        }
    }
}

fn number(text: &str) -> u64 {
    text.parse().unwrap_or_else(|_| panic!("{text} is not a number"))
}

fn start_of(incarnation: &str, weights: &str) -> EngineStart {
    support::start(number(incarnation), weights)
}
