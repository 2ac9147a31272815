//! A stream whose client has left is still moved to another engine.
//!
//! An engine crashes while it answers streams that may be resumed. Their clients leave a moment
//! later. The node sends the streams to other engines all the same, and lets these work until they
//! begin to answer.

use std::io::Read;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::net::read_head;
use crate::net::send;
use crate::net::wait_for;
use crate::site::MODEL;
use crate::site::Sent;
use crate::site::Site;
use crate::site::headers;

/// How long after a client's close an engine may still get its request or work on it.
const LEFT_MS: u64 = 500;
/// "More than a few" requests.
const FEW: usize = 5;
/// Fewer clients that left show nothing.
const LEAST: usize = 4;
const STREAMS: usize = 16;
/// `srv_crash`, `share = 0.3` in the site file: 2 of 6 engines at most.
const CRASHES: usize = 2;

struct Client {
    id: String,
    /// Tells the client to close its connection.
    leaves: Arc<AtomicBool>,
    left_ms: Arc<Mutex<Option<u64>>>,
}

pub fn run(mut site: Site, has_trouble: bool) -> Result<bool, String> {
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        clients.push(begin(&mut site, number));
        thread::sleep(Duration::from_millis(300));
    }
    let active = |site: &Site, engine: &str| -> Vec<String> {
        let runs = site.runs.lock().unwrap();
        let of_engine = runs.iter().filter(|r| r.engine == engine && r.ended_ms.is_none());
        of_engine.map(|run| run.request.clone()).collect()
    };
    thread::sleep(Duration::from_millis(500));
    let mut engines: Vec<String> = site.engines.iter().map(|e| e.spec.id.clone()).collect();
    engines.sort_by_key(|engine| std::cmp::Reverse(active(&site, engine).len()));
    let crashing = &engines[..CRASHES];
    let hit: Vec<String> = crashing.iter().flat_map(|engine| active(&site, engine)).collect();
    if hit.len() < LEAST {
        return Err(format!("only {} streams at {crashing:?}", hit.len()));
    }
    if has_trouble {
        crashing.iter().for_each(|engine| site.engine(engine).server.end());
        site.record.show(&format!("{crashing:?} crash with {} streams", hit.len()));
    }
    let crashed_ms = site.now_ms();
    thread::sleep(Duration::from_millis(100));
    for client in clients.iter().filter(|client| hit.contains(&client.id)) {
        client.leaves.store(true, Ordering::SeqCst);
    }
    let all_left = wait_for(Duration::from_secs(2), || {
        let hit = clients.iter().filter(|client| hit.contains(&client.id));
        hit.into_iter().all(|client| client.left_ms.lock().unwrap().is_some())
    });
    if !all_left {
        return Err("a client did not leave".to_owned());
    }
    site.record.show(&format!("their clients have left at {} ms", site.now_ms()));
    site.until(crashed_ms + 3_600);
    if has_trouble {
        // Three silent heartbeats.
        for engine in crashing {
            let key = site.engine(engine).key();
            site.store.remove(&key);
        }
    }
    site.until(crashed_ms + 9_000);
    clients.iter().for_each(|client| client.leaves.store(true, Ordering::SeqCst));
    thread::sleep(Duration::from_millis(500));
    site.finish();
    let runs = site.runs.lock().unwrap().clone();
    let sent = site.sent.lock().unwrap().clone();
    // Streams that the node broke off before their clients left do not count.
    let left: Vec<&Client> = clients
        .iter()
        .filter(|client| hit.contains(&client.id))
        .filter(|client| sent.iter().any(|s| s.id == client.id && s.answer.contains("left")))
        .collect();
    if left.len() < LEAST {
        return Err(format!("only {} clients left by themselves", left.len()));
    }
    let (mut late, mut working) = (0, 0);
    for client in &left {
        let left_ms = client.left_ms.lock().unwrap().unwrap_or(u64::MAX);
        let of_client: Vec<_> = runs.iter().filter(|run| run.request == client.id).collect();
        late += of_client.iter().filter(|run| run.arrived_ms > left_ms + LEFT_MS).count();
        let longest_ms = of_client.iter().filter_map(|run| run.ended_ms).max().unwrap_or(0);
        let is_at_work = longest_ms > left_ms + LEFT_MS;
        working += usize::from(is_at_work);
        site.record.say(&format!(
            "{} left at {left_ms} ms, engines worked on it until {longest_ms} ms",
            client.id
        ));
    }
    site.record.show(&format!(
        "of {} clients that left: {late} requests reached an engine over {LEFT_MS} ms later, and \
         engines were at work over {LEFT_MS} ms later on {working}",
        left.len(),
    ));
    Ok(late > FEW || working * 4 > left.len())
}

/// Begins a stream with a long prompt of its own, and reads it until told to leave.
fn begin(site: &mut Site, number: usize) -> Client {
    let id = site.next_id();
    let mut headers = headers(&id, 12_000);
    headers.push(("X-Model".to_owned(), MODEL.to_owned()));
    headers.push(("X-Token-Count".to_owned(), "17020,60".to_owned()));
    let prefix = format!("5c1e{number:04x}:13300,91bd{number:04x}:3720");
    headers.push(("X-Prompt-Prefix".to_owned(), prefix));
    let leaves = Arc::new(AtomicBool::new(false));
    let left_ms: Arc<Mutex<Option<u64>>> = Arc::default();
    let (own_leaves, own_left) = (leaves.clone(), left_ms.clone());
    let (record, sent) = (site.record.clone(), site.sent.clone());
    let node = &site.nodes[number % site.nodes.len()];
    let (front, name, own_id) = (node.front, node.name.clone(), id.clone());
    site.background(thread::spawn(move || {
        let at_ms = record.now_ms();
        let wait = Duration::from_millis(20);
        let opened = send(front, "POST", "/board/2f", &headers, &[b'x'; 17_000], wait);
        let mut answer = "no connection".to_owned();
        if let Ok(mut reader) = opened {
            let _ = reader.get_ref().set_read_timeout(Some(Duration::from_secs(12)));
            let head = read_head(&mut reader).ok().flatten();
            answer = head.map_or_else(|| "closed".to_owned(), |head| head.status().to_string());
            let _ = reader.get_ref().set_read_timeout(Some(wait));
            let mut piece = [0; 4096];
            let mut bytes = 0;
            loop {
                if own_leaves.load(Ordering::SeqCst) {
                    answer.push_str(", left");
                    break;
                }
                match reader.read(&mut piece) {
                    Ok(0) => break,
                    Ok(size) => bytes += size,
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(e) if e.kind() == std::io::ErrorKind::TimedOut => {}
                    Err(_) => break,
                }
            }
            let _ = reader.get_ref().shutdown(Shutdown::Both);
            answer.push_str(&format!(" after {bytes} bytes"));
        }
        let ended_ms = record.now_ms();
        *own_left.lock().unwrap() = Some(ended_ms);
        let done = Sent { id: own_id, node: name, kind: "stream", at_ms, ended_ms, answer };
        sent.lock().unwrap().push(done);
    }));
    Client { id, leaves, left_ms }
}
