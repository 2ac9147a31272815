//! One request end to end over separate processes: platform, two daemons, three engines and one
//! service, with a configuration applied by the operator's command.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use serde_json::Value;

use redwingrill_config::KeyHash;
use redwingrill_lab::caller::Call;
use redwingrill_lab::caller::Caller;
use redwingrill_lab::caller::Ending;
use redwingrill_lab::process::ChildProcess;
use redwingrill_lab::site::settings_text;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

const WAIT: Duration = Duration::from_secs(10);
const TIMEOUTS: Timeouts = Timeouts { connect: WAIT, head: WAIT };
const POLL: Duration = Duration::from_millis(20);
const POLLS: usize = 500;

fn lab() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_redwingrill-lab"))
}

/// A program of the workspace, which `cargo test --workspace` builds beside the lab's.
fn program(name: &str) -> PathBuf {
    let path = lab().with_file_name(name);
    assert!(path.exists(), "{} is missing: build the whole workspace", path.display());
    path
}

struct Processes {
    platform: ChildProcess,
    engines: Vec<ChildProcess>,
    service: ChildProcess,
    routers: Vec<ChildProcess>,
    pool: Pool,
}

impl Processes {
    async fn start(dir: &Path) -> Self {
        fs::create_dir_all(dir).expect("a writable directory");
        let lab = lab();
        let start = async |arguments: &[&str]| {
            ChildProcess::start(&lab, arguments).await.expect("a stand-in that starts")
        };
        let platform = start(&["platform"]).await;
        let mut engines = Vec::new();
        for name in ["engine-1", "engine-2", "engine-3"] {
            engines.push(start(&["engine", "--name", name, "--decode-us", "2000"]).await);
        }
        let service = start(&["service", "--name", "shop-1"]).await;
        let mut routers = Vec::new();
        for name in ["router-1", "router-2"] {
            let settings = dir.join(format!("{name}.ini"));
            let text = settings_text(name, "a", platform.address, "");
            fs::write(&settings, text).expect("a writable file");
            let settings = settings.to_string_lossy();
            let daemon = program("redwingrilld");
            let router = ChildProcess::start(&daemon, &["--settings", &settings]).await;
            routers.push(router.expect("a daemon that starts"));
        }
        Self { platform, engines, service, routers, pool: Pool::new() }
    }

    /// Writes the operator's file and applies it by the operator's command.
    async fn apply(&self, dir: &Path) {
        let file = dir.join("site.ini");
        fs::write(&file, self.configuration()).expect("a writable file");
        let platform = self.platform.address.to_string();
        let output = tokio::process::Command::new(program("redwingrill"))
            .args(["apply", &file.to_string_lossy(), "--platform", &platform])
            .output();
        let output = output.await.expect("a command that runs");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        for router in &self.routers {
            self.ready(router.admin_address).await;
        }
    }

    fn configuration(&self) -> String {
        let mut text = "[priority checks]\nlevel = 0\nfirst_token_target = 1 s\n\
             queue_deadline = 10 s\n[model assistant]\nweights_version = v1\n"
            .to_owned();
        for account in ["cafe", "bistro"] {
            let hash = KeyHash::of(&format!("key-{account}")).0;
            let hash: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
            text += &format!("[account {account}]\nkey_hashes = blake3:{hash}\n");
            text += "priorities = checks\n";
        }
        for (n, engine) in (1..).zip(&self.engines) {
            text +=
                &format!("[upstream engine-{n}]\nkind = engine\naddress = {}\n", engine.address);
            text += "failure_domain = a\nmodel = assistant\nfencing = checked\n";
        }
        text += &format!("[upstream shop-1]\nkind = service\naddress = {}\n", self.service.address);
        text += "failure_domain = a\nfencing = checked\n";
        text + "[service shop]\nupstreams = shop-1\nunrepeatable = POST /orders\n"
    }

    async fn ready(&self, admin: SocketAddr) {
        for _ in 0..POLLS {
            let request = Request::get("/ready").header("host", "router").body(Bytes::new());
            if self.send(admin, request.expect("a plain request")).await.0 == 200 {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the router is not ready");
    }

    async fn send(&self, address: SocketAddr, request: Request<Bytes>) -> (u16, Bytes) {
        let reply = self.pool.send(address, request, Freshness::New, &TIMEOUTS).await;
        let reply = reply.expect("a reply");
        let status = reply.status().as_u16();
        (status, reply.into_body().read_all(1 << 20, WAIT).await.expect("a whole body"))
    }

    async fn order(&self, router: usize, account: &str, key: &str) -> (u16, Bytes) {
        let request = Request::post("/services/shop/orders")
            .header("host", "router")
            .header("authorization", format!("Bearer key-{account}"))
            .header("idempotency-key", key)
            .body(Bytes::from_static(b"{\"pens\":3}"));
        let address = self.routers[router].address;
        self.send(address, request.expect("a plain request")).await
    }

    async fn runs(&self) -> Vec<u64> {
        let request = Request::get("/runs").header("host", "service").body(Bytes::new());
        let request = request.expect("a plain request");
        let (_, body) = self.send(self.service.admin_address, request).await;
        let runs: Value = serde_json::from_slice(&body).expect("a JSON body");
        let keys = runs.as_array().expect("a list of keys").iter();
        keys.map(|key| key["runs"].as_u64().expect("a number of runs")).collect()
    }

    async fn stop(self) {
        for router in self.routers {
            let request = Request::post("/drain").header("host", "router").body(Bytes::new());
            let request = request.expect("a plain request");
            let sent = self.pool.send(router.admin_address, request, Freshness::New, &TIMEOUTS);
            assert_eq!(sent.await.expect("a reply").status(), 202);
            assert!(router.ended().await.expect("an end in time"), "the daemon ended well");
        }
        self.pool.close().await;
        for process in self.engines.into_iter().chain([self.service, self.platform]) {
            process.kill().await.expect("a process to kill");
        }
    }
}

fn call(account: &str, question: &str) -> Call {
    Call { api_key: format!("key-{account}"), ..Call::new("assistant", question, 9) }
}

#[tokio::test]
async fn a_request_passes_through_all_processes() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("whole-path");
    let processes = Processes::start(&dir).await;
    processes.apply(&dir).await;
    let caller = Caller::new();
    let question = "a long style book ".repeat(100);

    // Whole answers, and a cache that accounts do not share.
    for router in &processes.routers {
        let outcome = caller.complete(router.address, &call("cafe", &question)).await;
        assert_eq!(outcome.ending, Ending::Complete);
    }
    let mut cached = Vec::new();
    for account in ["cafe", "bistro"] {
        let address = processes.routers[0].address;
        let outcome = caller.complete(address, &call(account, &question)).await;
        assert_eq!(outcome.ending, Ending::Complete);
        cached.push(outcome.cached_tokens);
    }
    assert!(cached[0] > 0, "the account's own prefix was cached");
    assert_eq!(cached[1], 0, "another account's prefix is of no use");

    // A key names its account, and an unknown one names none.
    let stranger = caller.complete(processes.routers[0].address, &call("nobody", "q")).await;
    assert!(matches!(stranger.ending, Ending::Refused { status: 401, .. }), "{stranger:?}");

    // An order runs once, whichever router it is sent to, and once for each account.
    let (status, body) = processes.order(0, "cafe", "k1").await;
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    processes.order(1, "cafe", "k1").await;
    processes.order(0, "cafe", "k1").await;
    assert_eq!(processes.runs().await, [1]);
    assert_eq!(processes.order(1, "bistro", "k1").await.0, 200);
    assert_eq!(processes.runs().await.iter().sum::<u64>(), 2);

    caller.close().await;
    processes.stop().await;
}
