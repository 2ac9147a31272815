//! The quotas of the accounts of the configuration in force.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;

use log::info;
use serde_json::json;

use super::charge::ChargeResponder;
use crate::cluster_view::ClusterView;
use crate::store_sync::StoreReader;
use crate::telemetry::Metrics;
use redwingrill_admission::limits::LimitSpec;
use redwingrill_admission::limits::fleet::FleetQuotas;
use redwingrill_admission::limits::fleet::QuotaMember;
use redwingrill_admission::limits::fleet::QuotaOptions;
use redwingrill_routing::AccountTag;
use redwingrill_routing::Configuration;

/// The number of accounts with metrics of their own: those with the largest quotas.
const METERED_ACCOUNTS_LIMIT: usize = 32;

/// The identity of a node among those that hold quotas.
#[derive(Clone, Debug)]
pub struct QuotaNode {
    /// Its entry in the list of nodes.
    pub member: QuotaMember,
    /// Whether it exchanges datagrams with other nodes; otherwise it holds the whole quotas.
    pub has_peers: bool,
}

/// The quotas of a node, which follow the cluster view.
#[derive(Debug)]
pub(super) struct AccountQuotas {
    pub fleet: FleetQuotas<ChargeResponder>,
    node: QuotaNode,
    reader: StoreReader,
    metrics: Metrics,
    // The configuration of the current limits.
    configuration: Option<Arc<Configuration>>,
}

impl AccountQuotas {
    /// Creates the quotas of a run of a node.
    pub fn new(
        options: QuotaOptions,
        node: QuotaNode,
        run: u64,
        reader: StoreReader,
        metrics: Metrics,
    ) -> Self {
        let fleet = FleetQuotas::new(options, node.member.address, run, rand::random());
        Self { fleet, node, reader, metrics, configuration: None }
    }

    /// Takes over the configuration and the list of nodes.
    pub fn apply_view(&mut self, view: &ClusterView, now_ms: u64) {
        let Some(configuration) = &view.configuration else { return };
        let is_known =
            self.configuration.as_ref().is_some_and(|known| Arc::ptr_eq(known, configuration));
        if !is_known {
            self.configuration = Some(configuration.clone());
            self.fleet.set_limits(limits_of(configuration), now_ms);
            self.metrics.set_metered_accounts(largest_accounts(configuration));
        }
        if !self.fleet.is_empty() {
            let members = match self.node.has_peers {
                true => view.members.iter().map(QuotaMember::from).collect(),
                false => vec![self.node.member.clone()],
            };
            self.fleet.set_members(members, now_ms);
        }
    }

    /// Returns the state for the dump.
    pub fn dump(&self, now_ms: u64) -> serde_json::Value {
        let (holder, owner) = (self.fleet.holder(), self.fleet.owner());
        json!({
            "limited": self.fleet.len(),
            "owned": owner.len(),
            "connected": self.fleet.is_connected(now_ms),
            "waiting": holder.waiting(),
            "silent_owners": holder.silent_owners(),
        })
    }

    /// Logs the state if any account is limited.
    pub fn log_state(&self, now_ms: u64) {
        if self.fleet.is_empty() {
            return;
        }
        let (holder, owner) = (self.fleet.holder(), self.fleet.owner());
        info!(
            "event=quotas limited={} owned={} connected={} waiting={} silent_owners={}",
            self.fleet.len(),
            owner.len(),
            self.fleet.is_connected(now_ms),
            holder.waiting(),
            holder.silent_owners(),
        );
    }

    /// Takes over when the node last had contact with the store.
    pub fn follow_store(&mut self) {
        if let Some(at_ms) = self.reader.last_contact_ms() {
            self.fleet.observe_store_contact(at_ms);
        }
    }
}

fn largest_accounts(configuration: &Configuration) -> HashSet<String> {
    let accounts = configuration.accounts().iter();
    let limited = accounts.filter_map(|account| Some((account.quota?.rate_per_s, &account.name)));
    let mut limited: Vec<_> = limited.collect();
    limited.sort_unstable_by(|one, other| other.cmp(one));
    let largest = limited.into_iter().take(METERED_ACCOUNTS_LIMIT);
    largest.map(|(_, name)| name.clone()).collect()
}

fn limits_of(configuration: &Configuration) -> BTreeMap<AccountTag, LimitSpec> {
    let limited = configuration.accounts().iter().filter_map(|account| {
        let quota = account.quota?;
        let limit = LimitSpec {
            tokens_per_s: quota.rate_per_s,
            burst_tokens: quota.burst,
            max_in_flight: 0,
        };
        Some((AccountTag::of(&account.name), limit))
    });
    limited.collect()
}
