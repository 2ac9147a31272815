//! The record of a run: what was sent, answered and run, and when.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { began: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Returns the milliseconds since the run began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn say(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>6} ms  {text}", self.now_ms());
    }

    /// Writes a line that is shown, too.
    pub fn show(&self, text: &str) {
        println!("{text}");
        self.say(text);
    }
}
