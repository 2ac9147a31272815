//! The memory of a daemon while an upstream sends without end.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use redwingrill_lab::metadata_store::MetadataStore;
use redwingrill_lab::metadata_store::StoreState;
use redwingrill_lab::on_platform::KEY;
use redwingrill_lab::on_platform::RouteEntry;
use redwingrill_lab::on_platform::configuration;
use redwingrill_lab::on_platform::is_ready;
use redwingrill_lab::on_platform::request;
use redwingrill_lab::site_upstream::SiteUpstream;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

/// The memory of the smallest instances that the router is deployed on.
const MEMORY_MB: u64 = 88;

const CALLERS: usize = 240;
const DEADLINE: Duration = Duration::from_secs(4);
const CONNECTIONS_LIMIT: u32 = 1_000;

/// What an upstream sends without end.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Endless {
    /// The head of its answer.
    Head,
    /// The first event of its stream.
    Event,
    /// The body of a failure.
    Failure,
}

impl Endless {
    fn beginning(self, request_id: &str) -> String {
        let status = match self {
            Self::Failure => "500 Internal Server Error",
            Self::Head | Self::Event => "200 OK",
        };
        let head =
            format!("HTTP/1.1 {status}\r\nx-request-id: {request_id}\r\nx-server-stamp: s\r\n");
        match self {
            Self::Head => head + "x-filler: ",
            Self::Event => head + "\r\nid: 1\ndata: ",
            Self::Failure => head + "\r\n",
        }
    }
}

async fn answer(mut socket: TcpStream, endless: Endless) {
    let mut request = vec![0; 8_192];
    let Ok(len) = socket.read(&mut request).await else { return };
    let request = String::from_utf8_lossy(&request[..len]).into_owned();
    let id = request.lines().find_map(|line| line.strip_prefix("x-request-id: "));
    let beginning = endless.beginning(id.unwrap_or_default());
    let filler = vec![b'.'; 16 << 10];
    let mut sent = socket.write_all(beginning.as_bytes()).await;
    while sent.is_ok() {
        sent = socket.write_all(&filler).await;
    }
}

/// Returns the largest memory that a process has had, in bytes.
fn peak_memory_bytes(process_id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().expect("a number");
    kilobytes << 10
}

fn routes() -> Vec<serde_json::Value> {
    let route = |name, kind| RouteEntry {
        name,
        kind,
        timeout_ms: DEADLINE.as_millis() as u64,
        target_latency_ms: 1_000,
        attempts_limit: 1,
        is_resumable: false,
    };
    [route("look", "safe"), route("draft", "stream")].map(Into::into).to_vec()
}

struct Addresses {
    callers: SocketAddr,
    readiness: SocketAddr,
}

fn settings(ip: Ipv4Addr, store: SocketAddr) -> (String, Addresses) {
    let text = format!(
        "node_name = \"n1\"\nip = \"{ip}\"\nzone = \"a\"\nport_range = [7340, 7355]\nseeds = []\n\
         [listen]\nfront = \"{ip}:8782\"\nready = \"{ip}:8789\"\ncontrol = \"{ip}:8783\"\n\
         [limits]\nmemory_mb = {MEMORY_MB}\n\
         [bounds]\nbudget_ratio = 0.2\nbudget_extra = 54\nbudget_window_s = 10\n\
         version_ms = 20000\nlease_ms = 1000\ngrace_s = 8\n\
         [platform]\naddress = \"{store}\"\n"
    );
    (text, Addresses { callers: (ip, 8782).into(), readiness: (ip, 8789).into() })
}

async fn ask(pool: &Pool, callers: SocketAddr, route: &str, id: &str) -> Option<u16> {
    let is_stream = route == "draft";
    let call = request(route, id, DEADLINE, Some(KEY), is_stream).body(Bytes::from("body"));
    let timeouts = Timeouts { connect: DEADLINE, head: DEADLINE * 2 };
    let call = call.expect("a request");
    let reply = pool.send(callers, call, Freshness::New, &timeouts).await.ok()?;
    let status = reply.status().as_u16();
    reply.into_body().read_all(1 << 20, DEADLINE * 2).await.ok()?;
    Some(status)
}

/// What an upstream sends is kept until it ends, on each connection to it.
#[tokio::test]
async fn answers_without_end_take_all_memory() {
    for (n, endless) in [Endless::Head, Endless::Event, Endless::Failure].into_iter().enumerate() {
        let state = StoreState::default();
        let store = MetadataStore::start(state.clone()).await.expect("a free port");
        state.put("op/config", configuration(1, &routes(), &[KEY], CONNECTIONS_LIMIT));
        let sound = SiteUpstream::start("s0", "shop", &state).await.expect("a free port");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let entry = json!({
            "service": "llm", "address": listener.local_addr().expect("bound").to_string(),
            "zone": "a", "version": "v1", "slots": CALLERS, "state": "ready", "cold_left_ms": 0,
            "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": 1,
        });
        state.put("servers/e0", entry.to_string());
        let upstream = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(answer(socket, endless));
            }
        });

        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("endless-{n}"));
        fs::create_dir_all(&folder).expect("a folder");
        // An address of its own in the loopback network, as in the soak.
        let process = std::process::id();
        let ip =
            Ipv4Addr::new(127, 77, (process >> 8) as u8, (process as u8 & 0x3f) << 2 | n as u8);
        let (text, addresses) = settings(ip, store.address());
        let path = folder.join("settings.toml");
        fs::write(&path, text).expect("a file");
        let program = PathBuf::from(env!("CARGO_BIN_EXE_redwingrill-lab"));
        let mut daemon = Command::new(program.with_file_name("redwingrilld"))
            .arg("--platform")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(fs::File::create(folder.join("log")).expect("a file"))
            .kill_on_drop(true)
            .spawn()
            .expect("the daemon starts");
        let process_id = daemon.id().expect("it runs");
        let pool = Pool::new();
        let ready = async {
            while !is_ready(&pool, addresses.readiness, Duration::from_secs(1)).await {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(Duration::from_secs(10), ready).await.expect("the node is ready");

        let callers = (0..CALLERS).map(|n| {
            let (pool, callers) = (pool.clone(), addresses.callers);
            tokio::spawn(async move { ask(&pool, callers, "draft", &format!("d{n}")).await })
        });
        let callers: Vec<_> = callers.collect();
        let begun = Instant::now();
        let mut served = 0;
        while begun.elapsed() < Duration::from_secs(2) {
            let status = ask(&pool, addresses.callers, "look", &format!("l{served}")).await;
            assert_eq!(status, Some(200), "{endless:?}");
            served += 1;
            sleep(Duration::from_millis(20)).await;
        }
        for caller in callers {
            let status = caller.await.expect("no panic");
            assert_ne!(status, Some(200), "{endless:?}");
        }
        let ended = daemon.try_wait().expect("a status");
        assert_eq!(ended, None, "{endless:?}: the daemon ended");
        let peak_mb = peak_memory_bytes(process_id) >> 20;
        println!("{endless:?}: peak {peak_mb} MB, {served} others served");
        assert!(peak_mb < MEMORY_MB / 2, "{endless:?}: {peak_mb} MB");
        daemon.kill().await.expect("it runs");
        upstream.abort();
        sound.stop().await;
        store.stop().await;
    }
}
