//! The subcommand that sends load to any address that speaks the completions interface.

use std::error::Error;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use serde::Serialize;
use tokio::time::Instant;

use super::arguments::number;
use super::arguments::number_of;
use super::arguments::small_number_of;
use super::arguments::text;
use super::arguments::text_of;
use crate::bench::scenario::Class;
use crate::bench::scenario::class_of;
use crate::load::Accounts;
use crate::load::Balancer;
use crate::load::Latencies;
use crate::load::Priorities;
use crate::load::PromptLibrary;
use crate::load::Record;
use crate::load::RunWindow;
use crate::load::Traffic;
use crate::load::plan;
use crate::load::run as run_plan;
use crate::site::AccountKind;
use crate::site::PrioritySite;
use crate::site::Site;

const SITE: &str = "example";

/// The figures of a load, as printed.
#[derive(Clone, PartialEq, Debug, Serialize)]
struct LoadReport {
    calls: usize,
    served: usize,
    shed: usize,
    failed: usize,
    first_token_p50_ms: Option<f64>,
    first_token_p99_ms: Option<f64>,
    longest_gap_p99_ms: Option<f64>,
    tokens_per_s: f64,
    prefix_hit_ratio: f64,
}

pub(super) fn command() -> Command {
    Command::new("load")
        .about("Send streamed completions and check and time their answers")
        .arg(
            Arg::new("target")
                .long("target")
                .value_name("ADDRESSES")
                .value_delimiter(',')
                .value_parser(SocketAddr::from_str)
                .required(true)
                .help("Addresses of routers, each as likely"),
        )
        .arg(text("api-key", "", "API key"))
        .arg(text("model", "assistant", "Model"))
        .arg(text("priority", "", "Priority; without it, the account's first"))
        .arg(number("requests-per-s", "10", "Requests sent in a second"))
        .arg(number("duration-s", "10", "How long requests are sent"))
        .arg(number("wait-s", "30", "How long the last answers are awaited"))
        .arg(number("max-tokens", "32", "Tokens of an answer"))
        .arg(number("books", "2", "Shared prompts"))
        .arg(number("book-tokens", "2048", "Tokens of a shared prompt"))
        .arg(number("customers", "8", "Customers of each shared prompt"))
        .arg(number("customer-tokens", "512", "Tokens about a customer"))
        .arg(number("question-tokens", "64", "Tokens of a question"))
        .arg(number("seed", "1", "Seed of prompts and load"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print one JSON line"))
}

pub(super) async fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let addresses: Vec<SocketAddr> =
        matches.get_many("target").expect("the argument is required").copied().collect();
    let site = site(matches, addresses.len())?;
    let seed = number_of(matches, "seed");
    let duration_ms = number_of(matches, "duration-s") * 1_000;
    let traffic = Traffic {
        from_ms: 0,
        to_ms: duration_ms,
        requests_per_s: number_of(matches, "requests-per-s") as f64,
        accounts: Accounts::All,
        priorities: Priorities::Mixed,
        shift_every_ms: 0,
    };
    let calls = plan(&site, &[traffic], seed);
    let library = Arc::new(PromptLibrary::new(&site, seed));
    let balancer = Balancer::new(addresses);
    let started = Instant::now();
    let wait = Duration::from_secs(number_of(matches, "wait-s"));
    let window = RunWindow { started, ends: started + Duration::from_millis(duration_ms) + wait };
    let records = run_plan(&calls, &library, &balancer, window).await;
    let report = report(&records, started.elapsed().as_secs_f64());
    let text = match matches.get_flag("json") {
        true => serde_json::to_string(&report)?,
        false => serde_json::to_string_pretty(&report)?,
    };
    println!("{text}");
    Ok(())
}

/// Returns a site with one account and one priority, as the arguments say.
fn site(matches: &ArgMatches, nodes: usize) -> Result<Site, Box<dyn Error>> {
    let mut site = Site::load(SITE)?;
    let size = |name| small_number_of(matches, name) as usize;
    site.nodes = nodes;
    site.model = text_of(matches, "model");
    site.accounts = vec![AccountKind {
        name: String::new(),
        api_key: text_of(matches, "api-key"),
        weight: 1,
        is_large: false,
    }];
    site.priorities = vec![PrioritySite {
        name: text_of(matches, "priority"),
        first_token_target_ms: 0,
        queue_deadline_ms: 0,
        floor_percent: 0,
        requests_percent: 100,
        answer_tokens: small_number_of(matches, "max-tokens"),
    }];
    site.prompts.books = size("books").max(1);
    site.prompts.book_tokens = size("book-tokens");
    site.prompts.customers = size("customers").max(1);
    site.prompts.customer_tokens = size("customer-tokens");
    site.prompts.question_tokens = size("question-tokens");
    Ok(site)
}

fn report(records: &[Record], elapsed_s: f64) -> LoadReport {
    let count = |class| records.iter().filter(|r| class_of(&r.outcome) == class).count();
    let outcomes = || records.iter().map(|record| &record.outcome);
    let first_tokens: Latencies = outcomes().filter_map(|o| o.first_token_us).collect();
    let gaps: Latencies = outcomes().filter(|o| o.tokens > 1).map(|o| o.longest_gap_us).collect();
    let sum = |of: fn(&crate::caller::Outcome) -> u64| outcomes().map(of).sum::<u64>() as f64;
    let prompt_tokens = sum(|outcome| outcome.prompt_tokens);
    LoadReport {
        calls: records.len(),
        served: count(Class::Served),
        shed: count(Class::Shed),
        failed: count(Class::Failed) + count(Class::Waiting),
        first_token_p50_ms: first_tokens.quantile_ms(0.50),
        first_token_p99_ms: first_tokens.quantile_ms(0.99),
        longest_gap_p99_ms: gaps.quantile_ms(0.99),
        tokens_per_s: sum(|outcome| u64::from(outcome.tokens)) / elapsed_s,
        prefix_hit_ratio: sum(|outcome| outcome.cached_tokens) / prompt_tokens.max(1.0),
    }
}
