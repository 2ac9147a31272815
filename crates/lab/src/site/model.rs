//! The sizes of a site.

use super::reader::IniError;
use super::reader::load_text;
use super::reader::section;
use super::reader::sections;
use crate::engine::FencingMode;
use crate::engine::Pace;

const BUILT_IN: &[(&str, &str)] = &[
    ("example", include_str!("../../scenarios/sites/example.ini")),
    ("kritartafla", include_str!("../../scenarios/sites/kritartafla.ini")),
    ("napln", include_str!("../../scenarios/sites/napln.ini")),
];

/// The sizes of a site.
#[derive(Clone, Debug)]
pub struct Site {
    /// The name.
    pub name: String,
    /// The failure domains.
    pub failure_domains: Vec<String>,
    /// How many routers.
    pub nodes: usize,
    /// How many engines.
    pub engines: usize,
    /// The service's name.
    pub service: String,
    /// How many instances of the service.
    pub service_instances: usize,
    /// Whether the service checks fencing numbers.
    pub service_fencing: FencingMode,
    /// The model.
    pub model: String,
    /// The weights version.
    pub weights_version: String,
    /// How many engines load weights at full speed.
    pub parallel_loads_limit: u32,
    /// The speed of an engine.
    pub pace: Pace,
    /// The prefix cache of an engine.
    pub cache_blocks: usize,
    /// The blocks that the KV cache store holds; zero for no store.
    pub cache_store_blocks: usize,
    /// The priorities, the most urgent first.
    pub priorities: Vec<PrioritySite>,
    /// The accounts, the large ones first.
    pub accounts: Vec<AccountKind>,
    /// The sizes of prompts.
    pub prompts: PromptSizes,
}

/// A priority and the work that comes with it.
#[derive(Clone, Debug)]
pub struct PrioritySite {
    /// The name.
    pub name: String,
    /// The target for the time to the first token.
    pub first_token_target_ms: u32,
    /// The longest wait in a queue.
    pub queue_deadline_ms: u32,
    /// The share of capacity kept, in percent.
    pub floor_percent: u8,
    /// The share of requests, in percent.
    pub requests_percent: u32,
    /// The tokens of an answer.
    pub answer_tokens: u32,
}

/// An account.
#[derive(Clone, Debug)]
pub struct AccountKind {
    /// The name.
    pub name: String,
    /// The API key.
    pub api_key: String,
    /// The weight.
    pub weight: u32,
    /// Whether it counts as large.
    pub is_large: bool,
}

/// The sizes of prompts.
#[derive(Clone, Copy, Debug)]
pub struct PromptSizes {
    /// Books of each account.
    pub books: usize,
    /// The tokens of a book.
    pub book_tokens: usize,
    /// Customers of each book.
    pub customers: usize,
    /// The tokens about a customer.
    pub customer_tokens: usize,
    /// The tokens of a question.
    pub question_tokens: usize,
}

impl Site {
    /// Reads a built-in site by its name, or a site file by its path.
    pub fn load(name: &str) -> Result<Self, IniError> {
        Self::parse(name, &load_text(name, BUILT_IN)?)
    }

    /// Reads the text of a site file.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniError> {
        let sections = sections(file, text)?;
        let site = section(file, &sections, "site")?;
        let engine = section(file, &sections, "engine")?;
        let accounts = section(file, &sections, "accounts")?;
        let prompts = section(file, &sections, "prompts")?;
        let mut priorities = Vec::new();
        for priority in &sections {
            let Some(name) = priority.name_after("priority") else { continue };
            priorities.push(PrioritySite {
                name: name.to_owned(),
                first_token_target_ms: priority.value("first_token_target_ms")?,
                queue_deadline_ms: priority.value("queue_deadline_ms")?,
                floor_percent: priority.value("floor_percent")?,
                requests_percent: priority.value("requests_percent")?,
                answer_tokens: priority.value("answer_tokens")?,
            });
        }
        if priorities.is_empty() {
            let section = "priority NAME".to_owned();
            return Err(IniError::NoSection { file: file.to_owned(), section });
        }
        let service_fencing = match site.text("service_fencing")? {
            "ignored" => FencingMode::Ignored,
            _ => FencingMode::Checked,
        };
        let (large, count) = (accounts.value("large")?, accounts.at_least_one("count")?);
        let large_weight = accounts.value("large_weight")?;
        Ok(Self {
            name: site.text("name")?.to_owned(),
            failure_domains: site.list("failure_domains")?,
            nodes: site.at_least_one("nodes")?,
            engines: site.at_least_one("engines")?,
            service: site.text("service")?.to_owned(),
            service_instances: site.value("service_instances")?,
            service_fencing,
            model: site.text("model")?.to_owned(),
            weights_version: site.text("weights_version")?.to_owned(),
            parallel_loads_limit: site.value("parallel_loads_limit")?,
            pace: Pace {
                slots: engine.at_least_one("slots")?,
                prefill_tokens_per_s: engine.value("prefill_tokens_per_s")?,
                prefill_step_tokens: engine.value("prefill_step_tokens")?,
                import_tokens_per_s: engine.value("import_tokens_per_s")?,
                decode_us: engine.value("decode_us")?,
                full_batch_slowdown_percent: engine.value("full_batch_slowdown_percent")?,
            },
            cache_blocks: engine.value("cache_blocks")?,
            cache_store_blocks: site.value("cache_store_blocks")?,
            priorities,
            accounts: (0..count).map(|n| account(n, n < large, large_weight)).collect(),
            prompts: PromptSizes {
                books: prompts.at_least_one("books")?,
                book_tokens: prompts.value("book_tokens")?,
                customers: prompts.at_least_one("customers")?,
                customer_tokens: prompts.value("customer_tokens")?,
                question_tokens: prompts.value("question_tokens")?,
            },
        })
    }

    /// Returns the failure domain of the n-th of some instances.
    pub fn domain_of(&self, n: usize) -> &str {
        &self.failure_domains[n % self.failure_domains.len()]
    }

    /// Returns how many requests a second all engines serve together with every prefix cached.
    pub fn capacity_requests_per_s(&self) -> f64 {
        let slots = self.pace.slots as f64;
        let slowdown = 1.0 + f64::from(self.pace.full_batch_slowdown_percent) / 100.0;
        let step_s = f64::from(self.pace.decode_us) / 1e6 * slowdown;
        let question_s =
            self.prompts.question_tokens as f64 / f64::from(self.pace.prefill_tokens_per_s);
        let percent: u32 = self.priorities.iter().map(|p| p.requests_percent).sum();
        let tokens = |p: &PrioritySite| f64::from(p.answer_tokens * p.requests_percent);
        let answer_tokens =
            self.priorities.iter().map(tokens).sum::<f64>() / f64::from(percent.max(1));
        let request_s = answer_tokens * step_s / slots + question_s;
        self.engines as f64 / request_s
    }
}

fn account(n: usize, is_large: bool, large_weight: u32) -> AccountKind {
    let name = if is_large { format!("large-{}", n + 1) } else { format!("small-{}", n + 1) };
    let weight = if is_large { large_weight } else { 1 };
    AccountKind { api_key: format!("key-{name}"), name, weight, is_large }
}
