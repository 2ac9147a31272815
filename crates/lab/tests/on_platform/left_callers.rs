//! Callers that leave while their request waits.

use std::time::Duration;

use crate::site::Call;
use crate::site::Site;
use redwingrill_lab::site_upstream::Behaviour;
use redwingrill_lab::site_upstream::SiteUpstream;

/// The engine that takes a stream over is silent when the caller leaves.
#[tokio::test]
async fn engine_that_takes_over_works_for_a_caller_that_left() {
    let site = Site::start(2, 0).await;
    let node = site.node("n1").await;
    site.engines.iter().for_each(|engine| engine.set(Behaviour::BreaksOff));
    let answer = site.send(&node, &Call::new("check", "r1")).await;
    let mut body = answer.into_body();
    let event = body.next(Duration::from_millis(500)).await.expect("the stream is open");
    assert!(event.is_some());
    site.engines.iter().for_each(|engine| engine.set(Behaviour::IsMute));
    let resumed = async {
        while site.engines.iter().map(|engine| engine.seen().len()).sum::<usize>() < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(1), resumed).await.expect("the stream is resumed");
    drop(body);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(site.engines.iter().map(SiteUpstream::open_requests).sum::<usize>(), 0);
    site.stop(vec![node]).await;
}
