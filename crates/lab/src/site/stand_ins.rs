//! What stands around the routers of a site.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use super::Site;
use crate::cache_store::CacheStore;
use crate::cache_store::CacheStoreOptions;
use crate::cache_store::RunningCacheStore;
use crate::engine::Engine;
use crate::engine::EngineOptions;
use crate::engine::RunningEngine;
use crate::engine::WeightLoader;
use crate::platform::ListedInstance;
use crate::platform::ListedState;
use crate::platform::Platform;
use crate::platform::PlatformOptions;
use crate::platform::RunningPlatform;
use crate::service::RunningService;
use crate::service::Service;
use crate::service::ServiceOptions;

const LIST_LAG_MS: u64 = 1_000;

/// The running stand-ins of a site.
#[derive(Debug)]
pub struct StandIns {
    /// The platform.
    pub platform: RunningPlatform,
    /// The KV cache store, if the site has one.
    pub cache_store: Option<RunningCacheStore>,
    /// The engines.
    pub engines: Vec<RunningEngine>,
    /// The instances of the service.
    pub services: Vec<RunningService>,
}

impl StandIns {
    /// Starts all stand-ins of a site on free loopback ports.
    pub async fn start(site: &Site) -> io::Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let options = PlatformOptions { listen: any, admin: any, list_lag_ms: LIST_LAG_MS };
        let platform = Platform::start(options).await?;
        let cache_store = start_cache_store(site).await?;
        let weight_loader = Arc::new(WeightLoader::new(site.parallel_loads_limit));
        let mut engines = Vec::with_capacity(site.engines);
        for n in 1..=site.engines {
            let name = format!("engine-{n}");
            let mut options = EngineOptions::new(&name, &site.model, &site.weights_version);
            options.pace = site.pace;
            options.cache_blocks_limit = site.cache_blocks;
            options.weight_loader = weight_loader.clone();
            options.export_to = cache_store.as_ref().map(|store| store.address);
            engines.push(Engine::start(options).await?);
        }
        let mut services = Vec::with_capacity(site.service_instances);
        for n in 1..=site.service_instances {
            let mut options = ServiceOptions::new(&format!("{}-{n}", site.service));
            options.fencing = site.service_fencing;
            services.push(Service::start(options).await?);
        }
        let stand_ins = Self { platform, cache_store, engines, services };
        stand_ins.platform.instances.set(stand_ins.list(site));
        Ok(stand_ins)
    }

    fn list(&self, site: &Site) -> Vec<ListedInstance> {
        let engines = self.engines.iter().map(|engine| (&engine.name, engine.address));
        let services = self.services.iter().map(|service| (&service.name, service.address));
        let all = engines.enumerate().chain(services.enumerate());
        all.map(|(n, (name, address))| ListedInstance {
            name: name.clone(),
            address,
            failure_domain: site.domain_of(n).to_owned(),
            state: ListedState::Live,
        })
        .collect()
    }

    /// Stops all stand-ins and joins their tasks.
    pub async fn stop(self) {
        for engine in self.engines {
            engine.stop().await;
        }
        for service in self.services {
            service.stop().await;
        }
        if let Some(store) = self.cache_store {
            store.stop().await;
        }
        self.platform.stop().await;
    }
}

async fn start_cache_store(site: &Site) -> io::Result<Option<RunningCacheStore>> {
    if site.cache_store_blocks == 0 {
        return Ok(None);
    }
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let options = CacheStoreOptions { listen, blocks_limit: site.cache_store_blocks };
    CacheStore::start(options).await.map(Some)
}
