//! Logs: one line of key=value pairs per event, on standard output.
//!
//! Lines are collected in a bounded buffer that a separate thread writes out, so a slow or stalled
//! reader never blocks a request. While the buffer is full, lines are counted and dropped.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread::JoinHandle;
use std::time::Duration;

use log::LevelFilter;
use log::Record;
use log4rs::Config;
use log4rs::append::Append;
use log4rs::config::Appender;
use log4rs::config::Logger;
use log4rs::config::Root;

const APPENDER: &str = "stdout";

/// The limit of buffered bytes.
const BUFFER_LIMIT_BYTES: usize = 256 << 10;

/// How long lines are collected before they are written.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    text: String,
    dropped: u64,
    is_closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    filled: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct BoundedAppender {
    shared: Arc<Shared>,
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let now = std::time::SystemTime::now();
        let since_epoch = now.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let mut buffer = self.shared.lock();
        if buffer.text.len() >= BUFFER_LIMIT_BYTES {
            buffer.dropped += 1;
            return Ok(());
        }
        let was_empty = buffer.text.is_empty();
        writeln!(
            buffer.text,
            "time={}.{:03} level={} {}",
            since_epoch.as_secs(),
            since_epoch.subsec_millis(),
            record.level(),
            record.args(),
        )?;
        drop(buffer);
        if was_empty {
            self.shared.filled.notify_one();
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Flushes the buffer and joins the writer thread when dropped.
#[derive(Debug)]
pub struct LogGuard {
    shared: Arc<Shared>,
    writer: Option<JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.shared.lock().is_closed = true;
        self.shared.filled.notify_one();
        if let Some(writer) = self.writer.take() {
            // A writer that panicked cannot flush any more.
            let _panicked = writer.join().is_err();
        }
    }
}

/// Initializes logging. The guard must be kept until the process exits.
pub fn init_logs(level: LevelFilter) -> LogGuard {
    let shared: Arc<Shared> = Arc::default();
    let appender = BoundedAppender { shared: shared.clone() };
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        // tarpc logs a line per call, which repeats what this crate logs.
        .logger(Logger::builder().build("tarpc", level.min(LevelFilter::Warn)))
        .build(Root::builder().appender(APPENDER).build(level))
        .expect("the root appender is configured above");
    // Fails only if logging is already initialized, for example by another node in the process.
    let _already_initialized = log4rs::init_config(config).is_err();
    let writer_shared = shared.clone();
    let writer = std::thread::Builder::new().name("logs".to_owned());
    let writer = writer.stack_size(64 << 10).spawn(move || write_out(&writer_shared)).ok();
    LogGuard { shared, writer }
}

fn write_out(shared: &Shared) {
    loop {
        let mut buffer = shared.lock();
        while buffer.text.is_empty() && !buffer.is_closed {
            buffer = shared.filled.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        if !buffer.is_closed {
            drop(buffer);
            std::thread::sleep(FLUSH_DELAY);
            buffer = shared.lock();
        }
        let is_closed = buffer.is_closed;
        let mut text = std::mem::take(&mut buffer.text);
        let dropped = std::mem::take(&mut buffer.dropped);
        drop(buffer);
        if dropped > 0 {
            text.push_str(&format!("level=WARN event=log_lines_dropped count={dropped}\n"));
        }
        // If standard output is closed, there is nowhere left to report it.
        let _closed = std::io::stdout().write_all(text.as_bytes()).is_err();
        if is_closed {
            return;
        }
    }
}
