//! The open connections of a server, which faults act on.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio_util::sync::CancellationToken;

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// One open connection. Handlers find it in the extensions of a request.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    number: u64,
    silent: AtomicBool,
    closed: CancellationToken,
}

impl Connection {
    /// Returns its number, which no other connection of the process has.
    pub fn number(&self) -> u64 {
        self.inner.number
    }

    /// Makes the connection silent for good: it stays open, takes bytes and gives none.
    pub fn silence(&self) {
        self.inner.silent.store(true, Ordering::Release);
    }

    /// Returns whether the connection is silent.
    pub fn is_silent(&self) -> bool {
        self.inner.silent.load(Ordering::Acquire)
    }

    /// Closes the connection at once.
    pub fn close(&self) {
        self.inner.closed.cancel();
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.inner.closed.cancelled().await;
    }
}

/// All open connections of a server. Clones share the list.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    open: Arc<Mutex<Vec<Weak<Inner>>>>,
}

impl Connections {
    /// Adds a connection.
    pub fn open(&self) -> Connection {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let connection = Connection { inner: Arc::new(Inner { number, ..Inner::default() }) };
        let mut open = self.open.lock().expect("no holder panics");
        open.retain(|inner| inner.strong_count() > 0);
        open.push(Arc::downgrade(&connection.inner));
        connection
    }

    /// Makes every connection that is open now silent; later ones work.
    pub fn silence_all(&self) {
        self.for_each(Connection::silence);
    }

    /// Closes every connection that is open now.
    pub fn close_all(&self) {
        self.for_each(Connection::close);
    }

    /// Returns how many connections are open.
    pub fn count(&self) -> usize {
        let open = self.open.lock().expect("no holder panics");
        open.iter().filter(|inner| inner.strong_count() > 0).count()
    }

    fn for_each(&self, act: impl Fn(&Connection)) {
        let open = self.open.lock().expect("no holder panics").clone();
        for inner in open.iter().filter_map(Weak::upgrade) {
            act(&Connection { inner });
        }
    }
}
