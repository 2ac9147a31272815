//! Requests of a node that stood still for a second are never answered.
//!
//! Requests of node R wait for capacity at the node that coordinates the engines. R stands still.
//! The coordinator drops them from its queue when another node's report arrives, and if nothing
//! else waits there, it never removes its note that they wait. R asks for them again and is told
//! each time that they wait.

use std::thread;
use std::time::Duration;

use crate::site::Prompt;
use crate::site::Site;

const TIMEOUT_MS: u64 = 5_000;
/// How long after a route's timeout a final answer may come.
const SLACK_MS: u64 = 500;
/// `node_freeze`, `for_s = 3.5` in the site file; R stands still for less.
const FREEZE_MS: u64 = 1_000;
const WAITING: usize = 16;
/// "Eight or more of them".
const LEAST: usize = 8;
const ROUNDS: usize = 14;
/// When a request that waits in vain has its refusal: 30 percent of its time, and a little.
const REFUSED_MS: u64 = 2_200;
/// How long clients wait for a first event: four times the objective of 1.5 s; 3.2 s for checks.
const PATIENCE: Duration = Duration::from_secs(6);
const CHECK_PATIENCE: Duration = Duration::from_millis(3_200);

const LONG: Prompt = Prompt { route: "book", shared: 13_300, own: 3_720, out: 360, things: 132 };
const DRAFT: Prompt = Prompt { route: "draft", out: 40, ..LONG };
const SHORT: Prompt = Prompt { route: "check", shared: 92, own: 291, out: 3, things: 40 };

pub fn run(mut site: Site, has_trouble: bool) -> Result<bool, String> {
    // Once the nodes know each other, the first requests show which node coordinates.
    thread::sleep(Duration::from_secs(3));
    for node in 0..site.nodes.len() {
        site.send_stream(node, &SHORT, CHECK_PATIENCE);
    }
    thread::sleep(Duration::from_secs(1));
    let coordinator = coordinator_of(&site).ok_or("no node coordinates")?;
    let others: Vec<usize> = (0..site.nodes.len()).filter(|node| *node != coordinator).collect();
    let (waiter, busy) = (others[0], &others[1..]);
    site.record.show(&format!(
        "{} coordinates, {} has the requests that wait",
        site.nodes[coordinator].name, site.nodes[waiter].name
    ));
    // More long prompts than the engines have room for; short ones beside them. Those that find no
    // room are refused, and then nothing waits any more.
    let filled_ms = site.now_ms() + 4_000;
    load(&mut site, busy, filled_ms, true);
    load(&mut site, busy, filled_ms + 3_000, false);
    let mut is_broken = false;
    for round in 1..=ROUNDS {
        is_broken = play(&mut site, round, waiter, busy, has_trouble);
        if is_broken {
            break;
        }
    }
    site.kill_nodes();
    site.finish();
    Ok(is_broken)
}

/// Returns the node that the last assignment names.
fn coordinator_of(site: &Site) -> Option<usize> {
    site.nodes.iter().find_map(|node| {
        let log = std::fs::read_to_string(node.log_path()).ok()?;
        let line = log.lines().rfind(|line| line.contains("event=assigned"))?;
        let address = line.split("coordinator=").nth(1)?.split(' ').next()?;
        let ip = address.split(':').next()?;
        site.nodes.iter().position(|other| other.front.ip().to_string() == ip)
    })
}

/// Sends short prompts to the busy nodes until a time, and long ones between them if wanted.
fn load(site: &mut Site, busy: &[usize], until_ms: u64, has_long: bool) {
    let mut step = 0;
    while site.now_ms() < until_ms {
        let node = busy[step % busy.len()];
        site.send_stream(node, &SHORT, CHECK_PATIENCE);
        if has_long && step % 4 == 0 {
            site.send_stream(node, &LONG, PATIENCE);
        }
        step += 1;
        thread::sleep(Duration::from_millis(20));
    }
}

fn play(site: &mut Site, round: usize, waiter: usize, busy: &[usize], has_trouble: bool) -> bool {
    // Another node's request waits, too, and is refused a moment after those of R have come.
    site.send_stream(busy[0], &DRAFT, PATIENCE);
    let before_ms = site.now_ms();
    load(site, busy, before_ms + 1_200 + 3 * round as u64, false);
    let sent_ms = site.now_ms();
    let drafts: Vec<String> =
        (0..WAITING).map(|_| site.send_stream(waiter, &DRAFT, PATIENCE)).collect();
    load(site, busy, sent_ms + 80, false);
    if has_trouble {
        site.nodes[waiter].signal("STOP");
    }
    let frozen_ms = site.now_ms();
    load(site, busy, frozen_ms + FREEZE_MS, false);
    if has_trouble {
        site.nodes[waiter].signal("CONT");
    }
    site.record.say(&format!(
        "round {round}: {WAITING} drafts sent at {sent_ms} ms, R stood still from {frozen_ms} ms to \
         {} ms",
        site.now_ms()
    ));
    load(site, busy, sent_ms + REFUSED_MS, false);
    if unanswered(site, &drafts) >= LEAST {
        load(site, busy, sent_ms + TIMEOUT_MS, false);
    }
    let (late, at_ms) = (unanswered(site, &drafts), site.now_ms() - sent_ms);
    if late < LEAST {
        site.record
            .show(&format!("round {round}: {late} of {WAITING} had no answer at {at_ms} ms"));
        return false;
    }
    site.until(sent_ms + TIMEOUT_MS + SLACK_MS + 50);
    let silent = unanswered(site, &drafts);
    site.record.show(&format!(
        "round {round}: {late} of {WAITING} had no answer at {at_ms} ms, {silent} had none {SLACK_MS} \
         ms later",
    ));
    silent >= LEAST && silent * 2 > late
}

/// Returns how many of some requests no engine got and nobody answered.
fn unanswered(site: &Site, ids: &[String]) -> usize {
    let sent = site.sent.lock().unwrap();
    let runs = site.runs.lock().unwrap();
    let open = ids.iter().filter(|id| {
        !sent.iter().any(|s| s.id == **id) && !runs.iter().any(|run| run.request == **id)
    });
    open.count()
}
