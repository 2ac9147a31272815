//! Retries of an order that ran and whose outcome is unknown.

use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::node::CallerRequest;
use crate::node::CallerResponse;
use crate::node::LayoutKind;
use crate::node::Node;
use crate::node::Timing;
use crate::store::HookedStore;
use crate::test_driver::Fault;
use crate::test_driver::Step;
use crate::test_driver::TestDriver;
use crate::upstream::Upstream;
use redwingrill_codes::ErrorBody;
use redwingrill_codes::Ran;
use redwingrill_config::Fencing;
use redwingrill_entity::EntityRef;
use redwingrill_entity::UpstreamId;
use redwingrill_fakes::MemoryStore;

/// The time after which an unfinished order is taken over: the service's timeout and two seconds.
const TAKE_OVER_AFTER: Duration = Duration::from_millis(2_600);

/// Statuses with which an answer promises that the request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// What prevents the retry from being sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Obstacle {
    /// Nothing listens at the upstream's address.
    NoListener,
    /// The node stands still from before the take-over is recorded until the send limit has passed.
    LatePermit,
    /// The store refuses all calls.
    StoreDown,
    /// The store answers no call.
    StoreFrozen,
    /// The account has as many orders in flight as it may have.
    WindowFull,
    /// The only upstream takes no new calls.
    UpstreamLeaves,
}

struct Fixture {
    test_driver: TestDriver,
    upstream: Upstream,
    server: JoinHandle<()>,
    node: Node,
}

impl Fixture {
    async fn start(layout: LayoutKind) -> Self {
        let memory = MemoryStore::new();
        let test_driver = TestDriver::new(memory.clone());
        let store = HookedStore::new(memory, test_driver.clone());
        let (upstream, server) =
            Upstream::start(test_driver.clone(), true, store.responded.clone()).await;
        let address = (upstream.address, Fencing::Checked);
        let node = Node::start(store, layout, Timing::MATRIX, address);
        Self { test_driver, upstream, server, node }
    }

    async fn call(&self, key: &str) -> CallerResponse {
        self.node.call(caller_request(key)).await.expect("the node is alive")
    }

    /// Runs an order whose answer is lost.
    async fn run_order_with_lost_answer(&self) {
        self.test_driver.arm(Step::Headers, Fault::UpstreamCuts);
        let first = self.call("order-1").await;
        self.test_driver.clear();
        assert_eq!(first.status, 409, "{first:?}");
        assert_eq!(self.upstream.runs().len(), 1);
    }

    async fn set(&self, obstacle: Obstacle) {
        match obstacle {
            Obstacle::NoListener => self.server.abort(),
            Obstacle::LatePermit => self.test_driver.arm(Step::Record, Fault::NodePause),
            Obstacle::StoreDown => self.trigger(Fault::PlatformDown),
            Obstacle::StoreFrozen => self.trigger(Fault::PlatformFrozen),
            Obstacle::UpstreamLeaves => self.node.leaving.set([UpstreamId::from_index(0)]),
            Obstacle::WindowFull => {
                self.test_driver.arm(Step::Send, Fault::UpstreamSilent);
                for key in ["order-2", "order-3"] {
                    drop(self.node.call(caller_request(key)));
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    fn trigger(&self, fault: Fault) {
        self.test_driver.arm(Step::Parse, fault);
        self.test_driver.step_reached(Step::Parse);
    }
}

fn caller_request(key: &str) -> CallerRequest {
    CallerRequest { account: 0, keys: vec![key.to_owned()], body: "two pens".to_owned() }
}

/// Retries an order that ran behind each obstacle; returns the retries that deny the run.
async fn false_answers(obstacles: &[Obstacle]) -> Vec<String> {
    let mut false_answers = Vec::new();
    for layout in [LayoutKind::Single, LayoutKind::Paged] {
        for &obstacle in obstacles {
            let fixture = Fixture::start(layout).await;
            fixture.run_order_with_lost_answer().await;
            sleep(TAKE_OVER_AFTER).await;
            fixture.set(obstacle).await;
            let retry = fixture.call("order-1").await;
            let body: ErrorBody = serde_json::from_str(&retry.body).expect("an error is returned");
            let (status, error) = (retry.status, body.error);
            if error.ran == Ran::No || NOT_RUN_STATUSES.contains(&status) {
                let (code, ran) = (error.code, error.ran.as_str());
                false_answers.push(format!("{layout:?}, {obstacle:?}: {status} {code} ran={ran}"));
            }
        }
    }
    false_answers
}

// A take-over that is not sent must not deny the run of the call before it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retry_of_an_order_that_ran_says_not_run() {
    let false_answers = false_answers(&[Obstacle::NoListener, Obstacle::LatePermit]).await;
    assert!(false_answers.is_empty(), "{false_answers:#?}");
}

// A node that has not seen the order's record does not know whether an earlier call ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retry_that_is_not_looked_up_says_not_run() {
    let obstacles = [
        Obstacle::StoreDown,
        Obstacle::StoreFrozen,
        Obstacle::WindowFull,
        Obstacle::UpstreamLeaves,
    ];
    let false_answers = false_answers(&obstacles).await;
    assert!(false_answers.is_empty(), "{false_answers:#?}");
}
