//! Cases of the review: `rig CASE FOLDER` in the repository's root. Writes FOLDER/record.txt.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the case runs without its disruption.

mod cases;
mod engine;
mod net;
mod node;
mod record;
mod site;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// How long a case may take.
const LIMIT: Duration = Duration::from_secs(100);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&format!("{folder}/record.txt")) else {
        eprintln!("cannot write {folder}/record.txt");
        exit(2);
    };
    let repository = std::env::current_dir().expect("a working folder");
    let temporary = std::env::temp_dir().join(format!("redwingrill-rig-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        eprintln!("no temporary folder");
        exit(2);
    }
    let (sender, receiver) = std::sync::mpsc::channel();
    let (own, kept) = (record.clone(), temporary.clone());
    thread::spawn(move || {
        let run = move || cases::run(&case, has_trouble, own, repository, kept);
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
        let _ = sender.send(result.unwrap_or_else(|_| Err("the case panicked".to_owned())));
    });
    let code = match receiver.recv_timeout(LIMIT) {
        Ok(Ok(true)) => 1,
        Ok(Ok(false)) => 0,
        Ok(Err(reason)) => {
            record.show(&format!("could not run: {reason}"));
            2
        }
        Err(_) => {
            record.show("could not run: it took too long");
            node::kill_all();
            2
        }
    };
    clean(&temporary);
    exit(code);
}

fn clean(temporary: &PathBuf) {
    let _ = std::fs::remove_dir_all(temporary);
}
