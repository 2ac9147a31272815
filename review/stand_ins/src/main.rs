//! The cases of the review that are scripts. Each starts the project's daemons as processes, with
//! stand-ins of the platform's store, of engines and of clients in this process, all on loopback.
//!
//! `review-case NAME FOLDER`: writes FOLDER/record.txt. Exit code 0: the rule held; 1: it was
//! broken; 2: the case couldn't run. With TROUBLE=0 in the environment, without the disruption.

mod case_abandoned;
mod case_endless_answer;
mod case_left_engine;
mod case_misrouted;
mod case_stuck_rollout;
mod case_truncated;
mod case_unanswered;
mod client;
mod engine;
mod http;
mod record;
mod router;
mod site;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::site::Verdict;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = words.as_slice() else {
        eprintln!("review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let verdict = match name.as_str() {
        "misrouted" => case_misrouted::run(&folder, has_trouble),
        "abandoned" => case_abandoned::run(&folder, has_trouble),
        "left_engine" => case_left_engine::run(&folder, has_trouble),
        "unanswered" => case_unanswered::run(&folder, has_trouble),
        "endless_answer" => case_endless_answer::run(&folder, has_trouble),
        "stuck_rollout" => case_stuck_rollout::run(&folder, has_trouble),
        "truncated" => case_truncated::run(&folder, has_trouble),
        _ => Err(format!("no case {name}")),
    };
    match verdict {
        Ok(Verdict::Held(reason)) => {
            println!("held: {reason}");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(reason)) => {
            println!("broken: {reason}");
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("couldn't run: {reason}");
            ExitCode::from(2)
        }
    }
}
