//! `/explain` on the metrics address of nodes.

use crate::site::Site;
use redwingrill::operator::ExplainError;
use redwingrill::operator::HttpNodes;
use redwingrill::operator::NodeAdmin;
use redwingrill_codes::ResultCode;
use redwingrill_explain::Answer;
use redwingrill_explain::ExplainQuery;
use redwingrill_explain::Outcome;

fn query(route: &str, prompt_tokens: Option<u32>) -> ExplainQuery {
    ExplainQuery { route: Some(route.to_owned()), prompt_tokens, ..ExplainQuery::default() }
}

/// Guards against nodes that name different coordinators, and against explained requests that are
/// sent.
#[tokio::test]
async fn nodes_agree_on_who_decides_and_send_nothing() {
    let site = Site::start(3, 1).await;
    let nodes = [site.node("n1").await, site.node("n2").await];
    let client = HttpNodes::new(site.pool.clone());
    let ask = async |index: usize, query: ExplainQuery| -> Result<Answer, ExplainError> {
        client.explain(nodes[index].metrics, &query).await
    };
    let coordinators = async || {
        let mut found = Vec::new();
        for index in 0..nodes.len() {
            let answer = ask(index, query("check", Some(300))).await.expect("route is known");
            found.push(answer.services[0].coordinator.clone());
        }
        found
    };
    site.wait("both nodes name one coordinator", async || match coordinators().await.as_slice() {
        [Some(one), Some(other)] => {
            one.address == other.address && one.is_this_node != other.is_this_node
        }
        _ => false,
    })
    .await;
    for (index, coordinator) in coordinators().await.iter().flatten().enumerate() {
        assert_eq!(coordinator.address == nodes[index].gossip, coordinator.is_this_node);
    }
    let answer = ask(0, query("check", Some(300))).await.expect("route is known");
    assert_eq!(answer.services[0].decision.outcome, Outcome::Send, "{answer}");
    assert_eq!(answer.services[0].upstreams.len(), site.engines.len(), "{answer}");
    let answer = ask(0, query("look", None)).await.expect("route is known");
    assert_eq!(answer.services[0].decision.upstream.as_deref(), Some("s0"), "{answer}");
    match ask(0, query("none", None)).await {
        Err(ExplainError::Fault(fault)) => assert_eq!(fault.code(), ResultCode::RouteUnknown),
        answer => panic!("{answer:?}"),
    }
    assert!(site.engines.iter().chain(&site.shops).all(|upstream| upstream.seen().is_empty()));
}
