//! The active configuration with its lookup indexes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;

use crate::AccountIndex;
use crate::CacheAudience;
use crate::CacheStore;
use crate::CallerLimits;
use crate::ClientAccount;
use crate::Route;
use crate::Service;

/// The unvalidated parts of a configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationParts {
    /// Increases with each configuration.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The client accounts; `None` if no request needs a key.
    pub accounts: Option<Vec<ClientAccount>>,
    /// Limits on caller connections and requests.
    pub limits: CallerLimits,
}

/// Why a configuration is invalid.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub enum InvalidConfiguration {
    /// A route has no service.
    #[snafu(display("route {name} has no service"))]
    NoService {
        /// The route.
        name: String,
    },
    /// A prefix does not start and end with a slash.
    #[snafu(display("route {name} has prefix {prefix:?}, which does not begin and end with /"))]
    BadPrefix {
        /// The route.
        name: String,
        /// Its prefix.
        prefix: String,
    },
}

/// A validated configuration.
///
/// Invariants: every index points into its list; the routes of a host are sorted by descending
/// prefix length, so the first match is the longest.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    version: u64,
    routes: Vec<Arc<Route>>,
    services: HashMap<String, Arc<Service>>,
    accounts: Vec<ClientAccount>,
    needs_key: bool,
    limits: CallerLimits,
    routes_by_host: HashMap<String, Vec<usize>>,
    accounts_by_key: HashMap<String, AccountIndex>,
    accounts_by_name: HashMap<String, AccountIndex>,
    common_audience: CacheAudience,
}

impl TryFrom<ConfigurationParts> for Configuration {
    type Error = InvalidConfiguration;

    fn try_from(parts: ConfigurationParts) -> Result<Self, InvalidConfiguration> {
        for route in &parts.routes {
            check_route(route)?;
        }
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in parts.routes.iter().enumerate() {
            routes_by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indexes in routes_by_host.values_mut() {
            indexes.sort_by_key(|&index| std::cmp::Reverse(parts.routes[index].prefix.len()));
        }
        let needs_key = parts.accounts.is_some();
        let accounts = parts.accounts.unwrap_or_default();
        let mut accounts_by_key = HashMap::new();
        let mut accounts_by_name = HashMap::with_capacity(accounts.len());
        for (index, account) in accounts.iter().enumerate() {
            accounts_by_name.insert(account.name.clone(), AccountIndex(index));
            for key in &account.keys {
                accounts_by_key.insert(key.clone(), AccountIndex(index));
            }
        }
        let isolated = accounts.iter().filter(|account| account.is_isolated);
        let common_audience = CacheAudience::all_but(isolated.map(|account| account.name.as_str()));
        let services = parts.services.into_iter();
        Ok(Self {
            version: parts.version,
            routes: parts.routes.into_iter().map(Arc::new).collect(),
            services: services.map(|service| (service.name.clone(), Arc::new(service))).collect(),
            accounts,
            needs_key,
            limits: parts.limits,
            routes_by_host,
            accounts_by_key,
            accounts_by_name,
            common_audience,
        })
    }
}

fn check_route(route: &Route) -> Result<(), InvalidConfiguration> {
    let name = || route.name.clone();
    if route.shares.is_empty() {
        return Err(InvalidConfiguration::NoService { name: name() });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let prefix = route.prefix.clone();
        return Err(InvalidConfiguration::BadPrefix { name: name(), prefix });
    }
    Ok(())
}

impl Configuration {
    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on caller connections and requests.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the number of routes.
    pub fn routes_len(&self) -> usize {
        self.routes.len()
    }

    /// Returns the route of a host and path: the one whose prefix is the longest match.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let indexes = match self.routes_by_host.get(name) {
            Some(indexes) => indexes,
            None => self.routes_by_host.get(&name.to_ascii_lowercase())?,
        };
        let found = indexes.iter().find(|&&index| path.starts_with(&self.routes[index].prefix))?;
        Some(&self.routes[*found])
    }

    /// Returns the route of this name.
    pub fn route_named(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Returns the services that serve streams; one of several routes more than once.
    pub fn stream_services(&self) -> impl Iterator<Item = &str> {
        let streams = self.routes.iter().filter(|route| route.kind.is_stream());
        streams.flat_map(|route| &route.shares).map(|share| share.service.as_str())
    }

    /// Returns the longest time that a route allows a stream; `None` without routes of streams.
    pub fn longest_stream(&self) -> Option<Duration> {
        let streams = self.routes.iter().filter(|route| route.kind.is_stream());
        streams.map(|route| route.timeout).max()
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the cache store for prompt parts, if one is configured.
    pub fn cache_store(&self) -> Option<&CacheStore> {
        self.services().find_map(|service| service.cache_store.as_ref())
    }

    /// Returns whether requests need a key; anonymous routes never do.
    pub fn needs_key(&self) -> bool {
        self.needs_key
    }

    /// Returns the account to which a key belongs.
    pub fn account_for_key(&self, key: &str) -> Option<&ClientAccount> {
        self.accounts_by_key.get(key).map(|index| &self.accounts[index.0])
    }

    /// Returns the accounts that share cached prompt parts with an account, or with requests without
    /// one. An account that the configuration does not name any more shares nothing.
    pub fn cache_audience(&self, account: Option<&str>) -> CacheAudience {
        let Some(name) = account else { return self.common_audience.clone() };
        let known = self.accounts_by_name.get(name).map(|index| &self.accounts[index.0]);
        match known.is_some_and(|account| !account.is_isolated) {
            true => self.common_audience.clone(),
            false => CacheAudience::only(name),
        }
    }

    /// Returns the client accounts.
    pub fn accounts(&self) -> &[ClientAccount] {
        &self.accounts
    }
}
