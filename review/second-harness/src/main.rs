//! Scripts of the second independent review. Each plays one case against the daemon of the deploy
//! file and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//!
//! `second-harness CASE FOLDER` is run in the root of the repository; FOLDER gets `record.txt`. With
//! `TROUBLE=0` the case is played without its disruption.

mod cases;
mod children;
mod client;
mod engine;
mod http;
mod record;
mod router;
mod store;

use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::Duration;

use cases::Stage;

/// A case ends by itself within this time.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let words: Vec<String> = std::env::args().collect();
    if words.get(1).is_some_and(|word| word == "worker") {
        cases::crash::worker(&words[2..]);
        return;
    }
    let (Some(case), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: second-harness CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        children::kill_all();
        exit(2);
    });
    let verdict = Stage::new(Path::new(folder), has_trouble).and_then(|stage| {
        let verdict = match case.as_str() {
            "wall" => cases::wall::play(&stage),
            "turns" => cases::turns::play(&stage),
            "crash" => cases::crash::play(&stage),
            "foreign" => cases::foreign::play(&stage),
            "early" => cases::early::play(&stage),
            "beats" => cases::beats::play(&stage),
            _ => Err(format!("no case {case}")),
        };
        match &verdict {
            Ok(None) => stage.record.line("verdict: the rule held"),
            Ok(Some(breach)) => stage.record.line(format!("verdict: broken: {breach}")),
            Err(reason) => stage.record.line(format!("verdict: could not run: {reason}")),
        }
        verdict
    });
    exit(match verdict {
        Ok(None) => {
            println!("held");
            0
        }
        Ok(Some(breach)) => {
            println!("broken: {breach}");
            1
        }
        Err(reason) => {
            eprintln!("could not run: {reason}");
            2
        }
    });
}
