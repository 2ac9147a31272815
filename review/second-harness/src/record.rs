//! The record of a run: what was sent, answered and run, with the seconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// A record. Clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn new(folder: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(folder.join("record.txt"))?));
        Ok(Self { file, start: Instant::now() })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }
}
