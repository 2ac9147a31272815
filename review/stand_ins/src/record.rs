//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    shared: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self { shared: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.shared.lock().expect("no holder panics");
        // A record that can't be written is missed by the reader of the case, not by its verdict.
        let _ = writeln!(file, "{:>7} ms  {}", self.ms(), text.as_ref());
    }
}
