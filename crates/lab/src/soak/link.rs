//! A loopback proxy whose link can fail.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What a slow link adds to each piece.
const DELAY: Duration = Duration::from_millis(150);

const PIECE_BYTES: usize = 16 << 10;

/// How a link fares.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum LinkState {
    /// Bytes pass.
    #[default]
    Open,
    /// Bytes pass late.
    Slow,
    /// Bytes are held in both directions.
    Silent,
    /// Bytes are held on the way back only.
    SilentBack,
    /// Connections are closed at once.
    Resets,
    /// The kernel resets connections at once, whatever they still carry.
    KernelResets,
}

/// The proxy. Dropping it ends its connections.
#[derive(Debug)]
pub struct Link {
    /// The address of the proxy.
    pub address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    _tasks: JoinSet<()>,
}

impl Link {
    /// Starts a proxy to an address.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(LinkState::Open));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, state.clone()));
        Ok(Self { address, state, _tasks: tasks })
    }

    /// Changes how the link fares, for open connections, too.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<watch::Sender<LinkState>>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((caller, _)) = accepted else { continue };
                connections.spawn(pass(caller, target, state.subscribe()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn pass(mut caller: TcpStream, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let Ok(mut upstream) = TcpStream::connect(target).await else { return };
    let (caller_in, caller_out) = caller.split();
    let (upstream_in, upstream_out) = upstream.split();
    let there = copy(caller_in, upstream_out, state.clone(), |state| state == LinkState::Silent);
    let back = copy(upstream_in, caller_out, state.clone(), |state| {
        matches!(state, LinkState::Silent | LinkState::SilentBack)
    });
    let ends = state.wait_for(|s| matches!(s, LinkState::Resets | LinkState::KernelResets));
    let is_reset = tokio::select! {
        () = there => false,
        () = back => false,
        state = ends => state.is_ok_and(|state| *state == LinkState::KernelResets),
    };
    if is_reset {
        // Without time to linger, the end of a connection is a reset.
        for connection in [&caller, &upstream] {
            let _ended = SockRef::from(connection).set_linger(Some(Duration::ZERO)).is_err();
        }
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut state: watch::Receiver<LinkState>,
    holds: impl Fn(LinkState) -> bool,
) {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let Ok(len) = from.read(&mut piece).await else { return };
        if len == 0 {
            return;
        }
        if *state.borrow() == LinkState::Slow {
            tokio::time::sleep(DELAY).await;
        }
        if state.wait_for(|state| !holds(*state)).await.is_err() {
            return;
        }
        if to.write_all(&piece[..len]).await.is_err() {
            return;
        }
    }
}
