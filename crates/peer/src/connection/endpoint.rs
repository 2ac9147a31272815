//! The endpoint of a node: opens, accepts, reuses and replaces connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use log::info;
use log::warn;
use quinn::ClientConfig;
use quinn::Endpoint;
use quinn::Incoming;
use snafu::ResultExt;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::error::BindSnafu;
use super::error::PeerError;
use super::error::StartError;
use super::peer::PeerConnection;
use super::traffic::Meter;
use super::traffic::Traffic;
use crate::Handler;
use crate::TlsFiles;
use crate::tls::PEER_NAME;
use crate::tls::QuicConfigs;
use crate::tls::TlsPem;

/// Time limit for a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval between checks of the certificate files for changes.
const CERTIFICATE_CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Start options of an endpoint.
#[derive(Clone, Debug)]
pub struct PeerEndpointOptions {
    /// The UDP address to listen on.
    pub listen: SocketAddr,
    /// The certificate files.
    pub tls: TlsFiles,
}

/// Slot for the connection to one address. The lock is held while connecting, so that concurrent
/// calls share one connection.
type ConnectionSlot = Arc<AsyncMutex<Option<PeerConnection>>>;

/// The endpoint of a node. Clones share it.
#[derive(Clone, Debug)]
pub struct PeerEndpoint<H> {
    endpoint: Endpoint,
    // The configuration for new outgoing connections.
    client: Arc<Mutex<ClientConfig>>,
    handler: H,
    meter: Meter,
    slots: Arc<Mutex<HashMap<SocketAddr, ConnectionSlot>>>,
    tasks: TaskTracker,
    stopping: CancellationToken,
}

impl<H: Handler> PeerEndpoint<H> {
    /// Binds the address and starts accepting connections.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub fn start(options: &PeerEndpointOptions, handler: H) -> Result<Self, StartError> {
        let pem = options.tls.read()?;
        let QuicConfigs { client, server } = QuicConfigs::new(&pem)?;
        let address = options.listen;
        let endpoint = Endpoint::server(server, address).context(BindSnafu { address })?;
        let started = Self {
            endpoint,
            client: Arc::new(Mutex::new(client)),
            handler,
            meter: Meter::default(),
            slots: Arc::default(),
            tasks: TaskTracker::new(),
            stopping: CancellationToken::new(),
        };
        started.tasks.spawn(started.clone().accept_until_stopped());
        started.tasks.spawn(started.clone().reload_certificates(options.tls.clone(), pem));
        Ok(started)
    }

    /// Returns the bound address.
    ///
    /// # Panics
    ///
    /// Panics if the operating system does not return the address of the bound socket.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.local_addr().expect("the endpoint is bound")
    }

    /// Returns the traffic counters of the endpoint.
    pub fn traffic(&self) -> Traffic {
        self.meter.read()
    }

    /// Returns an open connection to an address. Connects if there is none.
    ///
    /// # Errors
    ///
    /// [`PeerError::Unreachable`] if no connection could be established in time.
    pub async fn connection(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let slot = self.slot(address);
        let mut guard = slot.lock().await;
        if let Some(connection) = guard.as_ref().filter(|connection| !connection.is_closed()) {
            return Ok(connection.clone());
        }
        let connection = self.connect(address).await?;
        *guard = Some(connection.clone());
        Ok(connection)
    }

    /// Calls a peer. If the call fails, its connection is closed and the next call opens a new one.
    ///
    /// # Errors
    ///
    /// See [`PeerError`].
    pub async fn call<T>(
        &self,
        address: SocketAddr,
        call: impl AsyncFnOnce(&PeerConnection) -> Result<T, PeerError>,
    ) -> Result<T, PeerError> {
        let connection = self.connection(address).await?;
        let result = call(&connection).await;
        if result.is_err() {
            connection.close();
        }
        result
    }

    /// Closes the outgoing connection to an address, if there is one.
    pub fn disconnect(&self, address: SocketAddr) {
        let slot = self.slots().remove(&address);
        if let Some(connection) = slot.and_then(|slot| slot.try_lock().ok()?.take()) {
            connection.close();
        }
    }

    /// Closes all connections and waits for all tasks to end.
    pub async fn stop(&self) {
        self.stopping.cancel();
        self.endpoint.close(quinn::VarInt::from_u32(0), &[]);
        self.tasks.close();
        self.tasks.wait().await;
        // With a time limit, since peers may not acknowledge the close.
        let _timed_out = timeout(HANDSHAKE_TIMEOUT, self.endpoint.wait_idle()).await.is_err();
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let unreachable = |reason: String| PeerError::Unreachable { reason };
        let client = self.client.lock().expect("no thread panics while holding the lock").clone();
        let connecting = self
            .endpoint
            .connect_with(client, address, PEER_NAME)
            .map_err(|error| unreachable(error.to_string()))?;
        let connection = timeout(HANDSHAKE_TIMEOUT, connecting)
            .await
            .map_err(|_| unreachable("no handshake in time".to_owned()))?
            .map_err(|error| unreachable(error.to_string()))?;
        Ok(self.start_connection(connection))
    }

    fn start_connection(&self, connection: quinn::Connection) -> PeerConnection {
        PeerConnection::start(connection, self.handler.clone(), self.meter.clone(), &self.tasks)
    }

    async fn accept_until_stopped(self) {
        loop {
            let incoming = tokio::select! {
                () = self.stopping.cancelled() => return,
                incoming = self.endpoint.accept() => incoming,
            };
            let Some(incoming) = incoming else { return };
            self.tasks.spawn(self.clone().accept(incoming));
        }
    }

    async fn accept(self, incoming: Incoming) {
        let remote = incoming.remote_address();
        match timeout(HANDSHAKE_TIMEOUT, incoming).await {
            Ok(Ok(connection)) => {
                self.start_connection(connection);
            }
            Ok(Err(error)) => warn!("event=peer_refused remote={remote} error=\"{error}\""),
            Err(_) => warn!("event=peer_refused remote={remote} error=\"no handshake in time\""),
        }
    }

    /// Reloads changed certificate files for new connections. Open connections keep theirs.
    async fn reload_certificates(self, files: TlsFiles, mut in_use: TlsPem) {
        while timeout(CERTIFICATE_CHECK_PERIOD, self.stopping.cancelled()).await.is_err() {
            let pem = match files.read() {
                Ok(pem) if pem != in_use => pem,
                Ok(_) => continue,
                Err(error) => {
                    warn!("event=keys_unreadable error=\"{error}\"");
                    continue;
                }
            };
            match QuicConfigs::new(&pem) {
                Ok(QuicConfigs { client, server }) => {
                    self.endpoint.set_server_config(Some(server));
                    *self.client.lock().expect("no thread panics while holding the lock") = client;
                    info!("event=keys_changed");
                    in_use = pem;
                }
                Err(error) => warn!("event=keys_unusable error=\"{error}\""),
            }
        }
    }

    fn slot(&self, address: SocketAddr) -> ConnectionSlot {
        self.slots().entry(address).or_default().clone()
    }

    fn slots(&self) -> MutexGuard<'_, HashMap<SocketAddr, ConnectionSlot>> {
        self.slots.lock().expect("no thread panics while holding the lock")
    }
}
