//! A simulated service that records its runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use redwingrill_ledger::FencingNumber;
use redwingrill_ledger::KeyHash;
use redwingrill_ledger::Outcome;

/// A call that reached the service.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Arrival {
    /// The key hash of the order.
    pub key: KeyHash,
    /// The identifier of the caller's request.
    pub call: u64,
    /// The fencing number of the call.
    pub fencing: FencingNumber,
    /// Whether the service ran the order.
    pub ran: bool,
}

/// The result of a call as seen by the sender.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ServiceResponse {
    /// The outcome of the first run.
    Outcome(Outcome),
    /// The fencing number is too low.
    Fenced,
    /// The connection failed; nothing was sent.
    Unreachable,
    /// No response was received.
    Lost,
}

#[derive(Debug)]
struct State {
    rng: SmallRng,
    checks_fencing: bool,
    chaos: bool,
    highest: BTreeMap<KeyHash, FencingNumber>,
    outcomes: BTreeMap<KeyHash, Outcome>,
    arrivals: Vec<Arrival>,
}

/// A service that records its runs. Clones share the state.
#[derive(Clone, Debug)]
pub struct Service(Arc<Mutex<State>>);

impl Service {
    /// Creates a service that checks or ignores fencing numbers. With `chaos`, its connections are
    /// randomly slow, refused or cut.
    pub fn new(seed: u64, checks_fencing: bool, chaos: bool) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let (highest, outcomes) = (BTreeMap::new(), BTreeMap::new());
        let arrivals = Vec::new();
        Self(Arc::new(Mutex::new(State {
            rng,
            checks_fencing,
            chaos,
            highest,
            outcomes,
            arrivals,
        })))
    }

    /// Sends a call. It arrives even if the sender stops waiting.
    pub async fn call(&self, key: KeyHash, call: u64, fencing: FencingNumber) -> ServiceResponse {
        let (before, after, unreachable, lost) = self.draw_faults();
        if unreachable {
            return ServiceResponse::Unreachable;
        }
        let service = self.clone();
        let sent = tokio::spawn(async move {
            tokio::time::sleep(before).await;
            let reply = service.handle_call(key, call, fencing);
            tokio::time::sleep(after).await;
            if lost { ServiceResponse::Lost } else { reply }
        });
        let response = tokio::time::timeout(Duration::from_secs(3), sent).await;
        response.map_or(ServiceResponse::Lost, |joined| joined.expect("the service does not panic"))
    }

    /// Returns all calls that arrived.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.lock().expect("the mutex is not poisoned").arrivals.clone()
    }

    /// Returns how often an order ran.
    pub fn runs(&self, key: KeyHash) -> usize {
        self.arrivals().iter().filter(|arrival| arrival.key == key && arrival.ran).count()
    }

    fn draw_faults(&self) -> (Duration, Duration, bool, bool) {
        let mut state = self.0.lock().expect("the mutex is not poisoned");
        if !state.chaos {
            return (Duration::from_millis(1), Duration::from_millis(1), false, false);
        }
        let before = Duration::from_millis(state.rng.random_range(0..2_000));
        let after = Duration::from_millis(state.rng.random_range(0..2_000));
        (before, after, state.rng.random_bool(0.1), state.rng.random_bool(0.2))
    }

    fn handle_call(&self, key: KeyHash, call: u64, fencing: FencingNumber) -> ServiceResponse {
        let mut state = self.0.lock().expect("the mutex is not poisoned");
        let mut ran = true;
        if state.checks_fencing {
            let highest = state.highest.entry(key).or_insert(fencing);
            if *highest > fencing {
                state.arrivals.push(Arrival { key, call, fencing, ran: false });
                return ServiceResponse::Fenced;
            }
            *highest = fencing;
            ran = !state.outcomes.contains_key(&key);
        }
        state.arrivals.push(Arrival { key, call, fencing, ran });
        let outcome = state.outcomes.entry(key).or_insert_with(|| {
            Outcome::from_response(
                201,
                std::iter::empty(),
                Bytes::from(format!("ran by call {call}")),
            )
        });
        ServiceResponse::Outcome(outcome.clone())
    }
}
