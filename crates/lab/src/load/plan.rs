//! Who asks what and when.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::site::Site;

const BOOK_SKEW: f64 = 1.0;
const CUSTOMER_SKEW: f64 = 0.8;

/// The accounts that a traffic comes from, each by its weight.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Accounts {
    /// All of them.
    All,
    /// The large ones.
    Large,
    /// The small ones.
    Small,
}

/// The priorities of a traffic.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Priorities {
    /// All, by the shares of the site.
    Mixed,
    /// The most urgent one.
    MostUrgent,
    /// The least urgent one.
    LeastUrgent,
}

/// A steady stream of requests over some time.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Traffic {
    /// When it begins.
    pub from_ms: u64,
    /// When it ends.
    pub to_ms: u64,
    /// How many requests come in a second on average.
    pub requests_per_s: f64,
    /// Who asks.
    pub accounts: Accounts,
    /// How urgent it is.
    pub priorities: Priorities,
    /// How often the popular books and customers change; zero for never.
    pub shift_every_ms: u64,
}

/// One request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PlannedCall {
    /// When it is sent, from the start of the run.
    pub at_us: u64,
    /// The router it reaches.
    pub node: usize,
    /// The account.
    pub account: usize,
    /// The priority.
    pub priority: usize,
    /// The book.
    pub book: usize,
    /// The customer.
    pub customer: usize,
    /// The question, different for each request.
    pub question: u32,
}

/// Plans all requests of some traffics, in the order of their times.
pub fn plan(site: &Site, traffics: &[Traffic], seed: u64) -> Vec<PlannedCall> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for traffic in traffics {
        plan_traffic(site, traffic, &mut rng, &mut calls);
    }
    calls.sort_by_key(|call| call.at_us);
    for (question, call) in (0..).zip(&mut calls) {
        call.question = question;
    }
    calls
}

fn plan_traffic(site: &Site, traffic: &Traffic, rng: &mut SmallRng, calls: &mut Vec<PlannedCall>) {
    let accounts = account_weights(site, traffic.accounts);
    let priorities = priority_weights(site, traffic.priorities);
    let books = popularity(site.prompts.books, BOOK_SKEW);
    let customers = popularity(site.prompts.customers, CUSTOMER_SKEW);
    let mut at_s = traffic.from_ms as f64 / 1_000.0;
    let to_s = traffic.to_ms as f64 / 1_000.0;
    loop {
        // Times between independent requests are exponentially distributed.
        at_s -= (1.0 - rng.random::<f64>()).ln() / traffic.requests_per_s;
        if at_s >= to_s {
            return;
        }
        let shift = shift_of(traffic, at_s);
        calls.push(PlannedCall {
            at_us: (at_s * 1e6) as u64,
            node: rng.random_range(0..site.nodes),
            account: pick(&accounts, rng),
            priority: pick(&priorities, rng),
            book: (pick(&books, rng) + shift) % books.len(),
            customer: (pick(&customers, rng) + shift * (customers.len() / 2)) % customers.len(),
            question: 0,
        });
    }
}

fn shift_of(traffic: &Traffic, at_s: f64) -> usize {
    match traffic.shift_every_ms {
        0 => 0,
        every_ms => (at_s * 1_000.0) as usize / every_ms as usize,
    }
}

fn account_weights(site: &Site, accounts: Accounts) -> Vec<f64> {
    let weight = |is_large: bool, weight: u32| match (accounts, is_large) {
        (Accounts::Large, false) | (Accounts::Small, true) => 0.0,
        _ => f64::from(weight),
    };
    site.accounts.iter().map(|account| weight(account.is_large, account.weight)).collect()
}

fn priority_weights(site: &Site, priorities: Priorities) -> Vec<f64> {
    let last = site.priorities.len() - 1;
    let weight = |n: usize, percent: u32| match priorities {
        Priorities::Mixed => f64::from(percent),
        Priorities::MostUrgent => f64::from(u8::from(n == 0)),
        Priorities::LeastUrgent => f64::from(u8::from(n == last)),
    };
    let sites = site.priorities.iter().enumerate();
    sites.map(|(n, priority)| weight(n, priority.requests_percent)).collect()
}

fn popularity(count: usize, skew: f64) -> Vec<f64> {
    (0..count).map(|rank| 1.0 / ((rank + 1) as f64).powf(skew)).collect()
}

fn pick(weights: &[f64], rng: &mut SmallRng) -> usize {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (n, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return n;
        }
    }
    // Rounding may leave a rest; the last choice with a weight takes it.
    weights.iter().rposition(|weight| *weight > 0.0).unwrap_or(0)
}
