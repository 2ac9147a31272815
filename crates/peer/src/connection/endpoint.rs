//! The endpoint: dialling, reusing and replacing connections.

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
use crate::tls::Configs;
use crate::tls::PEER_NAME;
use crate::tls::TlsTexts;

/// How long a handshake may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);

/// Between looks at the certificate files.
const KEYS_CHECK: Duration = Duration::from_secs(2);

/// How an endpoint starts.
#[derive(Clone, Debug)]
pub struct PeerEndpointOptions {
    /// The UDP address.
    pub listen: SocketAddr,
    /// The certificates.
    pub tls: TlsFiles,
}

/// A place for the connection to one address; dialling holds the lock.
type Place = Arc<AsyncMutex<Option<PeerConnection>>>;

/// The endpoint of a node. Clones share it.
#[derive(Clone, Debug)]
pub struct PeerEndpoint<H> {
    endpoint: Endpoint,
    // The configuration of connections dialled from now on.
    client: Arc<Mutex<ClientConfig>>,
    handler: H,
    meter: Meter,
    places: Arc<Mutex<HashMap<SocketAddr, Place>>>,
    tasks: TaskTracker,
    stopping: CancellationToken,
}

impl<H: Handler> PeerEndpoint<H> {
    /// Binds the address and begins to accept connections.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub fn start(options: &PeerEndpointOptions, handler: H) -> Result<Self, StartError> {
        let texts = options.tls.read()?;
        let Configs { client, server } = Configs::new(&texts)?;
        let address = options.listen;
        let endpoint = Endpoint::server(server, address).context(BindSnafu { address })?;
        let peers = Self {
            endpoint,
            client: Arc::new(Mutex::new(client)),
            handler,
            meter: Meter::default(),
            places: Arc::default(),
            tasks: TaskTracker::new(),
            stopping: CancellationToken::new(),
        };
        peers.tasks.spawn(peers.clone().accept_until_stopped());
        peers.tasks.spawn(peers.clone().watch_keys(options.tls.clone(), texts));
        Ok(peers)
    }

    /// Returns the bound address.
    ///
    /// # Panics
    ///
    /// Panics if the system does not tell the address of a bound socket.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.local_addr().expect("the endpoint is bound")
    }

    /// Returns what the endpoint has sent and received.
    pub fn traffic(&self) -> Traffic {
        self.meter.read()
    }

    /// Returns an open connection to an address, dialling if there is none.
    ///
    /// # Errors
    ///
    /// [`PeerError::Unreachable`] if no connection could be made in time.
    pub async fn connection(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let place = self.place(address);
        let mut held = place.lock().await;
        if let Some(connection) = held.as_ref().filter(|connection| !connection.is_closed()) {
            return Ok(connection.clone());
        }
        let connection = self.dial(address).await?;
        *held = Some(connection.clone());
        Ok(connection)
    }

    /// Calls a peer. A connection on which the call fails is closed, and the next call dials.
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
        let answer = call(&connection).await;
        if answer.is_err() {
            connection.close();
        }
        answer
    }

    /// Closes the connection that was dialled to an address, if there is one.
    pub fn disconnect(&self, address: SocketAddr) {
        let place = self.places().remove(&address);
        if let Some(connection) = place.and_then(|place| place.try_lock().ok()?.take()) {
            connection.close();
        }
    }

    /// Closes all connections and joins every task.
    pub async fn stop(&self) {
        self.stopping.cancel();
        self.endpoint.close(quinn::VarInt::from_u32(0), &[]);
        self.tasks.close();
        self.tasks.wait().await;
        // Bounded, since the peers may be gone.
        let _unanswered = timeout(CONNECT_LIMIT, self.endpoint.wait_idle()).await.is_err();
    }

    async fn dial(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let unreachable = |reason: String| PeerError::Unreachable { reason };
        let client = self.client.lock().expect("no holder panics").clone();
        let dialling = self
            .endpoint
            .connect_with(client, address, PEER_NAME)
            .map_err(|error| unreachable(error.to_string()))?;
        let connection = timeout(CONNECT_LIMIT, dialling)
            .await
            .map_err(|_| unreachable("no handshake in time".to_owned()))?
            .map_err(|error| unreachable(error.to_string()))?;
        Ok(self.begin(connection))
    }

    fn begin(&self, connection: quinn::Connection) -> PeerConnection {
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
        match timeout(CONNECT_LIMIT, incoming).await {
            Ok(Ok(connection)) => {
                self.begin(connection);
            }
            Ok(Err(error)) => warn!("event=peer_refused remote={remote} error=\"{error}\""),
            Err(_) => warn!("event=peer_refused remote={remote} error=\"no handshake in time\""),
        }
    }

    /// Uses changed certificates for new connections; open ones go on with theirs.
    async fn watch_keys(self, files: TlsFiles, mut in_use: TlsTexts) {
        while timeout(KEYS_CHECK, self.stopping.cancelled()).await.is_err() {
            let texts = match files.read() {
                Ok(texts) if texts != in_use => texts,
                Ok(_) => continue,
                Err(error) => {
                    warn!("event=keys_unreadable error=\"{error}\"");
                    continue;
                }
            };
            match Configs::new(&texts) {
                Ok(Configs { client, server }) => {
                    self.endpoint.set_server_config(Some(server));
                    *self.client.lock().expect("no holder panics") = client;
                    info!("event=keys_changed");
                    in_use = texts;
                }
                Err(error) => warn!("event=keys_unusable error=\"{error}\""),
            }
        }
    }

    fn place(&self, address: SocketAddr) -> Place {
        self.places().entry(address).or_default().clone()
    }

    fn places(&self) -> MutexGuard<'_, HashMap<SocketAddr, Place>> {
        self.places.lock().expect("no holder panics")
    }
}
