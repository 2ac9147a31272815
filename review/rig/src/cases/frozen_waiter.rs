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
const ROUNDS: usize = 6;
/// How long clients wait for a first event: four times the objective of 1.5 s; 3.2 s for checks.
const PATIENCE: Duration = Duration::from_secs(6);
const CHECK_PATIENCE: Duration = Duration::from_millis(3_200);

const LONG: Prompt = Prompt { route: "board", shared: 13_300, own: 3_720, out: 80, things: 132 };
const DRAFT: Prompt = Prompt { route: "draft", ..LONG };
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
    let mut is_broken = false;
    for round in 1..=ROUNDS {
        is_broken = play(&mut site, round, waiter, busy, has_trouble);
        if is_broken {
            break;
        }
    }
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

fn play(site: &mut Site, round: usize, waiter: usize, busy: &[usize], has_trouble: bool) -> bool {
    let began_ms = site.now_ms();
    // More long prompts than the engines have room for, and short ones beside them.
    let mut step = 0;
    let mut load = |site: &mut Site, until_ms: u64, has_long: bool| {
        while site.now_ms() < until_ms {
            let node = busy[step % busy.len()];
            site.send_stream(node, &SHORT, CHECK_PATIENCE);
            if has_long && step % 4 == 0 {
                site.send_stream(node, &LONG, PATIENCE);
            }
            step += 1;
            thread::sleep(Duration::from_millis(20));
        }
    };
    load(site, began_ms + 4_000, true);
    // The long prompts that found no room are refused meanwhile; nothing waits any more.
    load(site, began_ms + 6_800, false);
    // Another node's request waits, too, and is refused a moment after those of R have come.
    site.send_stream(busy[0], &DRAFT, PATIENCE);
    load(site, began_ms + 8_000 + 3 * round as u64, false);
    let sent_ms = site.now_ms();
    let drafts: Vec<String> =
        (0..WAITING).map(|_| site.send_stream(waiter, &DRAFT, PATIENCE)).collect();
    load(site, sent_ms + 80, false);
    if has_trouble {
        site.nodes[waiter].signal("STOP");
    }
    let frozen_ms = site.now_ms();
    load(site, frozen_ms + FREEZE_MS, false);
    if has_trouble {
        site.nodes[waiter].signal("CONT");
    }
    site.record.say(&format!(
        "round {round}: {WAITING} drafts sent at {sent_ms} ms, R stood still from {frozen_ms} ms to \
         {} ms",
        site.now_ms()
    ));
    site.until(sent_ms + TIMEOUT_MS + SLACK_MS + 50);
    let sent = site.sent.lock().unwrap().clone();
    let answered = |until_ms: u64| {
        let ended = sent.iter().filter(|s| drafts.contains(&s.id) && s.ended_ms <= until_ms);
        ended.count()
    };
    let runs = site.runs.lock().unwrap().clone();
    let begun = drafts.iter().filter(|id| runs.iter().any(|run| run.request == **id)).count();
    // Those that an engine got have begun to be answered.
    let unanswered = drafts.len() - answered(sent_ms + TIMEOUT_MS).max(begun);
    let silent = drafts.iter().filter(|id| {
        !runs.iter().any(|run| run.request == **id) && !sent.iter().any(|s| s.id == **id)
    });
    let silent = silent.count();
    site.record.show(&format!(
        "round {round}: of {} drafts, {begun} reached an engine, {unanswered} had no answer at \
         {TIMEOUT_MS} ms, {silent} had none {SLACK_MS} ms later",
        drafts.len(),
    ));
    silent >= 8 && silent * 2 > unanswered
}
