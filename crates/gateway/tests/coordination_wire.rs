//! The messages of the coordination on the wire, between nodes of this build and the one before.

mod support;

use std::net::SocketAddr;

use serde::Deserialize;

use redwingrill_gateway::cluster_view::ClusterView;
use redwingrill_routing::SoftwareVersion;
use redwingrill_scheduling::coordination::AssignmentRequest;
use redwingrill_scheduling::coordination::AssignmentResponse;
use redwingrill_scheduling::coordination::Coordination;
use redwingrill_scheduling::coordination::CoordinationMessage;
use redwingrill_scheduling::coordination::GroupKey;
use redwingrill_scheduling::coordination::GroupNode;
use redwingrill_scheduling::coordination::InquiryId;
use redwingrill_scheduling::coordination::LoadReport;
use redwingrill_scheduling::coordination::RequestOptions;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::Scheduler;

/// The request for an assignment as the build before sends it.
const ORDINARY_REQUEST: &str = "00010189d1d5add5dfdabd0e0101036c6c6dd8cbccb40d016dc8010a020764096400000100\
    8827f403882700016100010100000000";

/// The messages as the build before knows them.
#[derive(Debug, Deserialize)]
#[expect(dead_code, reason = "it is only decoded")]
enum EarlierMessage {
    Request(Box<AssignmentRequest>),
    Response(AssignmentResponse),
    Report { group: GroupKey, report: LoadReport },
    Withdrawal { group: GroupKey, inquiry: InquiryId },
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, last], 1))
}

/// Returns what a node sends to the coordinator of the only group.
fn message_for(request: ScheduleRequest) -> CoordinationMessage {
    let ClusterView { upstreams, .. } = support::view(2);
    let mut scheduler = Scheduler::new(support::options());
    scheduler.set_upstreams(upstreams, 0);
    let mut coordination = Coordination::new(1, "a".to_owned(), 1);
    let coordinator = GroupNode {
        name: "node-0".to_owned(),
        failure_domain: "a".to_owned(),
        link_mbps: 1_000,
        address: address(0),
    };
    coordination.set_nodes(vec![coordinator], Some(address(1)));
    coordination.follow(&scheduler, 0);
    let options = RequestOptions { may_wait: true, is_first: true };
    coordination.begin(&mut scheduler, request, (), options, 0);
    let mut sent = coordination.take_outgoing();
    assert_eq!(sent.len(), 1, "{sent:?}");
    sent.remove(0).1
}

fn request() -> ScheduleRequest {
    ScheduleRequest {
        arrived_ms: 0,
        deadline_ms: 5_000,
        leaves_ms: 5_000,
        ..support::request(9, Vec::new())
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn ordinary_request_changes_on_the_wire() {
    let message = message_for(request());
    let bytes = postcard::to_allocvec(&message).expect("a message always serializes");
    assert_eq!(hex(&bytes), ORDINARY_REQUEST);
    let decoded: CoordinationMessage = postcard::from_bytes(&bytes).expect("it is a message");
    assert_eq!(decoded, message);
}

/// It would assign an engine of any version.
#[test]
fn coordinator_of_the_build_before_understands_a_continuation() {
    let software = Some(SoftwareVersion("v1".to_owned()));
    let message = message_for(ScheduleRequest { software, ..request() });
    let bytes = postcard::to_allocvec(&message).expect("a message always serializes");
    let earlier: Result<EarlierMessage, _> = postcard::from_bytes(&bytes);
    assert!(earlier.is_err(), "{earlier:?}");
    let decoded: CoordinationMessage = postcard::from_bytes(&bytes).expect("it is a message");
    assert_eq!(decoded, message);
    let ordinary = postcard::to_allocvec(&message_for(request())).expect("it serializes");
    postcard::from_bytes::<EarlierMessage>(&ordinary).expect("the build before knows it");
}
