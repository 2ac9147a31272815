//! The whole path of requests of each kind.

use http::StatusCode;

use crate::site::Call;
use crate::site::KEY;
use crate::site::Site;
use crate::site::free_address;

#[tokio::test]
async fn each_kind_is_answered_whole() {
    let site = Site::start(2, 2).await;
    let node = site.node("n1").await;
    for (route, id) in [("look", "r1"), ("order", "r2"), ("draft", "r3"), ("check", "r4")] {
        let answer = site.ask(&node, &Call::new(route, id)).await;
        assert_eq!(answer.status, StatusCode::OK, "{route}");
        assert!(answer.is_signed(), "{route}");
        match route {
            "draft" | "check" => assert_eq!(answer.events(), [1, 2, 3, 4, 5, 6], "{route}"),
            _ => assert!(answer.body.is_some_and(|body| body.starts_with("answer of s"))),
        }
    }
    site.stop(vec![node]).await;
}

#[tokio::test]
async fn an_upstream_gets_the_request_and_what_the_router_sets() {
    let site = Site::start(1, 1).await;
    let node = site.node("n1").await;
    let mut call = Call::new("check", "r1");
    call.headers = vec![
        ("x-tenant", "another"),
        ("x-cache-salt", "mine"),
        ("x-hold", "7"),
        ("x-pin-ms", "9"),
        ("kv-from", "10.0.0.1:80/h"),
        ("x-kv-backup", "10.0.0.1:80"),
        ("x-length-hint", "12"),
        ("connection", "keep-alive, x-private"),
        ("x-private", "1"),
    ];
    site.ask(&node, &call).await;
    let seen = site.engines[0].seen().pop().expect("a request");
    assert_eq!((seen.method.as_str(), seen.target.as_str()), ("POST", "/check/2f?q=1"));
    assert_eq!(seen.body, "body");
    for (name, value) in [
        ("host", Some("site.example")),
        ("x-request-id", Some("r1")),
        ("x-model", Some("m")),
        ("x-token-count", Some("1460,80")),
        ("x-prompt-prefix", Some("5c1e07a2:800,91bd3f06:410,e4402b7d:250")),
        ("x-length-hint", Some("12")),
        ("x-tenant", Some("cafe")),
        ("x-expect-instance", Some("e0")),
        ("x-expect-version", Some("1")),
        ("x-request-priority", Some("1")),
        ("x-cache-salt", Some("w1/cafe")),
        ("authorization", None),
        ("x-hold", None),
        ("x-pin-ms", None),
        ("kv-from", None),
        ("x-kv-backup", None),
        ("x-private", None),
    ] {
        assert_eq!(seen.header(name), value, "{name}");
    }
    let left_ms: u64 = seen.header("x-deadline-ms").and_then(|ms| ms.parse().ok()).expect("set");
    assert!((1_000..=1_500).contains(&left_ms), "{left_ms}");
    site.stop(vec![node]).await;
}

struct RefusalCase {
    name: &'static str,
    route: &'static str,
    key: Option<&'static str>,
    body_bytes: usize,
    status: StatusCode,
}

#[tokio::test]
async fn what_may_not_pass_is_refused_and_not_run() {
    let cases = [
        RefusalCase {
            name: "unknown route",
            route: "nothing",
            key: Some(KEY),
            body_bytes: 4,
            status: StatusCode::NOT_FOUND,
        },
        RefusalCase {
            name: "no key",
            route: "order",
            key: None,
            body_bytes: 4,
            status: StatusCode::UNAUTHORIZED,
        },
        RefusalCase {
            name: "unknown key",
            route: "order",
            key: Some("nobody's"),
            body_bytes: 4,
            status: StatusCode::UNAUTHORIZED,
        },
        RefusalCase {
            name: "long body",
            route: "order",
            key: Some(KEY),
            body_bytes: 100_001,
            status: StatusCode::PAYLOAD_TOO_LARGE,
        },
    ];
    let site = Site::start(1, 1).await;
    let node = site.node("n1").await;
    for case in cases {
        let call = Call {
            key: case.key,
            body: vec![b'x'; case.body_bytes].into(),
            ..Call::new(case.route, "r1")
        };
        let answer = site.ask(&node, &call).await;
        assert_eq!(answer.status, case.status, "{}", case.name);
        assert!(!answer.is_signed(), "{}", case.name);
    }
    assert_eq!(site.shops[0].seen().len(), 0);
    site.stop(vec![node]).await;
}

#[tokio::test]
async fn a_node_without_configuration_says_when_to_come_back() {
    let site = Site::start(0, 1).await;
    let node = site.start_node("n1", free_address(), Vec::new()).await;
    assert!(!site.is_ready(&node).await);
    let answer = site.ask(&node, &Call::new("order", "r1")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        answer.headers.get("retry-after").map(|value| value.as_bytes()),
        Some(&b"0.500"[..])
    );
    site.stop(vec![node]).await;
}
