//! The platform's instance list over HTTP.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::PlatformOptions;
use crate::endpoints::Endpoints;
use redwingrill_ports::Instance;
use redwingrill_ports::InstanceList;
use redwingrill_ports::InstanceState;
use redwingrill_ports::StoreError;
use redwingrill_transport::Pool;

/// One instance on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireInstance {
    /// The name of the instance.
    pub name: String,
    /// The IP address and port.
    pub address: String,
    /// The failure domain.
    pub failure_domain: String,
    /// `live` or `leaving`.
    pub state: WireState,
}

/// The state of an instance on the wire.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireState {
    /// The instance runs.
    Live,
    /// The instance is about to be stopped.
    Leaving,
}

impl TryFrom<WireInstance> for Instance {
    type Error = StoreError;

    fn try_from(wire: WireInstance) -> Result<Self, StoreError> {
        let address: SocketAddr = wire.address.parse().map_err(|_| StoreError::Malformed {
            reason: format!("instance {:?}: bad address {:?}", wire.name, wire.address),
        })?;
        let state = match wire.state {
            WireState::Live => InstanceState::Live,
            WireState::Leaving => InstanceState::Leaving,
        };
        Ok(Self { name: wire.name, address, failure_domain: wire.failure_domain, state })
    }
}

impl From<&Instance> for WireInstance {
    fn from(instance: &Instance) -> Self {
        Self {
            name: instance.name.clone(),
            address: instance.address.to_string(),
            failure_domain: instance.failure_domain.clone(),
            state: match instance.state {
                InstanceState::Live => WireState::Live,
                InstanceState::Leaving => WireState::Leaving,
            },
        }
    }
}

/// A client of the instance list. Clones share their connections.
#[derive(Clone, Debug)]
pub struct HttpInstances {
    endpoints: Endpoints,
}

impl HttpInstances {
    /// Creates a client that sends its requests through `pool`.
    pub fn new(options: PlatformOptions, pool: Pool) -> Self {
        Self { endpoints: Endpoints::new(options, pool) }
    }
}

impl InstanceList for HttpInstances {
    async fn list(&self) -> Result<Vec<Instance>, StoreError> {
        let list: Vec<WireInstance> = self.endpoints.get("/v1/instances").await?;
        list.into_iter().map(Instance::try_from).collect()
    }
}
