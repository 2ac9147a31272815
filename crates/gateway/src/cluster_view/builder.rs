//! Builds the cluster view from the items of the store.
//!
//! An item that cannot be decoded is logged once per revision and skipped. If it is the
//! configuration, the previous one stays in force.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use log::info;
use log::warn;
use serde::de::DeserializeOwned;

use super::ClusterView;
use super::GRACE_PREFIX;
use super::GraceItem;
use super::MEMBER_PREFIX;
use super::Member;
use super::QUARANTINE_PREFIX;
use super::ROLLOUT_LEADER_KEY;
use super::RolloutLeader;
use super::SOFTWARE_PREFIX;
use super::SoftwareItem;
use super::TargetVersion;
use super::departures::Departures;
use crate::store_sync::StoreMirror;
use redwingrill_routing::Configuration;
use redwingrill_routing::Era;
use redwingrill_routing::ItemCodec;
use redwingrill_routing::ItemKind;
use redwingrill_routing::Revision;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamState;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::quarantine::PartKey;
use redwingrill_scheduling::quarantine::QUARANTINE_MS;

/// Builds cluster views and caches decoded items between builds.
#[derive(Debug)]
pub struct ClusterViewBuilder<D> {
    codec: Arc<D>,
    configuration: Option<(Revision, Option<Arc<Configuration>>)>,
    upstreams: HashMap<String, (Revision, Option<Arc<Upstream>>)>,
    // Upstreams that are no longer listed and are retained until the given time.
    retained: HashMap<String, (Arc<Upstream>, u64)>,
    version_items: HashMap<String, (Revision, Option<(String, WeightsVersion)>)>,
    target_versions: HashMap<String, TargetVersion>,
    retention: Retention,
    departures: Departures,
    // The era of the last build; `None` before the first item was read.
    era: Option<Era>,
    quarantined: HashSet<PartKey>,
    // Parts whose records vanished while the store was unavailable, with the time.
    lapsed_quarantines: HashMap<PartKey, u64>,
}

/// Whether to retain upstreams that are no longer listed, because only their lease may have
/// expired.
#[derive(Clone, Copy, Debug)]
enum Retention {
    // Upstreams that are not listed are removed.
    Off,
    // The store is unavailable: upstreams that peers report as removed are retained for a time.
    StoreUnavailable { retain_ms: u64 },
    // The store is available again: live upstreams register again by `until_ms`.
    StoreReturning { until_ms: u64 },
}

impl<D: ItemCodec> ClusterViewBuilder<D> {
    /// Creates a builder. The entry of an upstream that is gone lapses within
    /// `upstream_lapse_ms`.
    pub fn new(codec: Arc<D>, upstream_lapse_ms: u64) -> Self {
        Self {
            codec,
            configuration: None,
            upstreams: HashMap::new(),
            retained: HashMap::new(),
            version_items: HashMap::new(),
            target_versions: HashMap::new(),
            retention: Retention::Off,
            departures: Departures::new(upstream_lapse_ms),
            era: None,
            quarantined: HashSet::new(),
            lapsed_quarantines: HashMap::new(),
        }
    }

    /// Records that the store is unavailable. Upstreams removed from now on are retained for
    /// `retain_ms`.
    pub fn store_unavailable(&mut self, retain_ms: u64) {
        self.retention = Retention::StoreUnavailable { retain_ms };
    }

    /// Records that the store is available again; live upstreams register again by `until_ms`.
    pub fn store_returned(&mut self, until_ms: u64) {
        self.retention = Retention::StoreReturning { until_ms };
    }

    /// Returns when the view is to be built again although nothing changes, in milliseconds on the
    /// node's clock: a retained upstream is to be removed, or departures no longer count.
    pub fn next_build_ms(&self) -> Option<u64> {
        let retained = self.retained.values().map(|(_, until_ms)| *until_ms);
        retained.chain(self.departures.doubt_until_ms()).min()
    }

    /// Builds the view; `is_recent` states whether the changes since the last one happened just
    /// now.
    pub fn build(&mut self, mirror: &StoreMirror, is_recent: bool, now_ms: u64) -> ClusterView {
        let codec = self.codec.clone();
        self.departures.end_doubt(now_ms);
        self.observe_era(mirror.complete_to(), now_ms);
        let mut view = ClusterView { complete_to: mirror.complete_to(), ..ClusterView::default() };
        let mut listed = HashMap::new();
        for (key, revision, value) in mirror.items() {
            match codec.kind_of(key) {
                ItemKind::Configuration => self.read_configuration(revision, value),
                ItemKind::TargetVersion => {
                    self.update_target_version(key, revision, value, is_recent)
                }
                ItemKind::Upstream(id) => {
                    let upstream = self.read_upstream(id, revision, value);
                    let is_outdated = upstream
                        .as_ref()
                        .is_some_and(|upstream| self.departures.is_outdated(upstream, revision));
                    if !is_outdated {
                        listed.insert(id.to_owned(), (revision, upstream));
                    }
                }
                ItemKind::Own(node_key) => decode_node_item(&mut view, node_key, value),
                ItemKind::Foreign => {}
            }
        }
        self.retain_lapsed_quarantines(&mut view, now_ms);
        self.record_departures(&listed, now_ms);
        self.retain_unlisted(&listed, now_ms);
        let current = listed.values().filter_map(|(_, upstream)| upstream.clone());
        let retained = self.retained.values().map(|(upstream, _)| upstream.clone());
        view.upstreams = current.chain(retained).collect();
        view.upstreams.sort_by(|a, b| a.id.cmp(&b.id));
        view.members.sort_by(|a, b| a.name.cmp(&b.name));
        self.upstreams = listed;
        view.configuration = self.configuration.as_ref().and_then(|(_, known)| known.clone());
        view.target_versions = self.target_versions.clone();
        view
    }

    /// Notices that the store came back from an older copy. Upstreams that registered since the
    /// copy register again, as after an outage.
    fn observe_era(&mut self, complete_to: Revision, now_ms: u64) {
        let known = self.era.replace(complete_to.era());
        if known.is_some_and(|known| known < complete_to.era()) {
            info!("event=store_restored era={} revision={complete_to}", complete_to.era());
            self.departures.store_restored(now_ms);
        }
    }

    /// Records the upstreams that are leaving or gone since the last build. One whose entry was
    /// lost as the store came back did not leave.
    fn record_departures(
        &mut self,
        listed: &HashMap<String, (Revision, Option<Arc<Upstream>>)>,
        now_ms: u64,
    ) {
        for (id, (revision, known)) in &self.upstreams {
            let Some(known) = known.as_ref().filter(|u| u.state == UpstreamState::Ready) else {
                continue;
            };
            if Some(revision.era()) != self.era {
                continue;
            }
            let is_ready = listed.get(id).is_some_and(|(_, upstream)| {
                upstream.as_ref().is_some_and(|upstream| upstream.state == UpstreamState::Ready)
            });
            if !is_ready {
                self.departures.record(known, *revision, now_ms);
            }
        }
        for (id, (_, upstream)) in listed {
            if upstream.as_ref().is_some_and(|upstream| upstream.state == UpstreamState::Ready) {
                self.departures.forget(id);
            }
        }
    }

    fn retain_lapsed_quarantines(&mut self, view: &mut ClusterView, now_ms: u64) {
        let listed: HashSet<PartKey> = view.quarantined.iter().copied().collect();
        if self.is_store_unavailable(now_ms) {
            let vanished = self.quarantined.difference(&listed);
            self.lapsed_quarantines.extend(vanished.map(|part| (*part, now_ms)));
        }
        self.lapsed_quarantines.retain(|part, at_ms| {
            !listed.contains(part) && now_ms.saturating_sub(*at_ms) < QUARANTINE_MS
        });
        view.lapsed_quarantines = self.lapsed_quarantines.keys().copied().collect();
        self.quarantined = listed;
    }

    /// Returns whether leases may have run out because the store is, or has just been, unavailable.
    fn is_store_unavailable(&self, now_ms: u64) -> bool {
        match self.retention {
            Retention::Off => false,
            Retention::StoreUnavailable { .. } => true,
            Retention::StoreReturning { until_ms } => now_ms < until_ms,
        }
    }

    fn retain_unlisted(
        &mut self,
        listed: &HashMap<String, (Revision, Option<Arc<Upstream>>)>,
        now_ms: u64,
    ) {
        let until_ms = match self.retention {
            Retention::Off => None,
            Retention::StoreUnavailable { retain_ms } => Some(now_ms + retain_ms),
            Retention::StoreReturning { until_ms } if now_ms < until_ms => Some(until_ms),
            Retention::StoreReturning { .. } => {
                self.retention = Retention::Off;
                None
            }
        };
        for (id, (_, upstream)) in &self.upstreams {
            let Some(upstream) = upstream.as_ref().filter(|_| !listed.contains_key(id)) else {
                continue;
            };
            let may_have_expired = upstream.state == UpstreamState::Ready;
            match until_ms.filter(|_| may_have_expired) {
                Some(until_ms) => {
                    info!("event=upstream_unlisted upstream={id} held_ms={}", until_ms - now_ms);
                    self.retained.insert(id.clone(), (upstream.clone(), until_ms));
                }
                None => info!("event=upstream_gone upstream={id}"),
            }
        }
        self.retained.retain(|id, (_, until_ms)| {
            let is_retained = now_ms < *until_ms && !listed.contains_key(id);
            if !is_retained && !listed.contains_key(id) {
                info!("event=upstream_gone upstream={id} reason=lapsed");
            }
            is_retained
        });
    }

    fn read_configuration(&mut self, revision: Revision, value: &[u8]) {
        if self.configuration.as_ref().is_some_and(|(known, _)| *known == revision) {
            return;
        }
        let previous = self.configuration.take().and_then(|(_, configuration)| configuration);
        let in_force = previous.as_ref().map(|configuration| configuration.version());
        let configuration = match self.codec.decode_configuration(value) {
            Ok(older) if in_force.is_some_and(|version| older.version() < version) => {
                // The store came back from a copy; the operator writes the newer one again.
                info!("event=configuration_older version={} revision={revision}", older.version());
                previous
            }
            Ok(configuration) => {
                info!(
                    "event=configuration_in_force version={} revision={} routes={} accounts={}",
                    configuration.version(),
                    revision,
                    configuration.routes_len(),
                    configuration.accounts().len(),
                );
                Some(Arc::new(configuration))
            }
            Err(e) => {
                warn!("event=configuration_unreadable revision={} reason={e:?}", revision);
                previous
            }
        };
        self.configuration = Some((revision, configuration));
    }

    fn read_upstream(&self, id: &str, revision: Revision, value: &[u8]) -> Option<Arc<Upstream>> {
        let known = self.upstreams.get(id);
        if let Some((_, upstream)) = known.filter(|(known, _)| *known == revision) {
            return upstream.clone();
        }
        match self.codec.decode_upstream(id, value) {
            Ok(upstream) => {
                info!(
                    "event=upstream_listed upstream={id} revision={} service={} address={} \
                     state={:?} software={} models={:?}",
                    revision,
                    upstream.service,
                    upstream.address,
                    upstream.state,
                    upstream.software.as_ref().map_or("-", |software| software.0.as_str()),
                    upstream.models,
                );
                Some(Arc::new(upstream))
            }
            Err(e) => {
                warn!("event=upstream_unreadable upstream={id} revision={} reason={e:?}", revision);
                None
            }
        }
    }

    fn update_target_version(
        &mut self,
        key: &str,
        revision: Revision,
        value: &[u8],
        is_recent: bool,
    ) {
        if self.version_items.get(key).is_some_and(|(known, _)| *known == revision) {
            return;
        }
        let target = match self.codec.decode_target_version(value) {
            Ok(target) => Some(target),
            Err(e) => {
                warn!("event=version_unreadable key={key} revision={} reason={e:?}", revision);
                None
            }
        };
        if let Some((model, version)) = &target {
            let known = self.target_versions.entry(model.clone()).or_default();
            if known.version < *version {
                info!(
                    "event=version_named model={model} version={} revision={} observed={is_recent}",
                    version.0, revision
                );
                let previous = known.version;
                *known = TargetVersion { version: *version, previous, is_observed: is_recent };
            }
        }
        self.version_items.insert(key.to_owned(), (revision, target));
    }
}

fn decode_node_item(view: &mut ClusterView, node_key: &str, value: &[u8]) {
    if node_key.starts_with(MEMBER_PREFIX) {
        view.members.extend(decode::<Member>(node_key, value));
    } else if node_key == ROLLOUT_LEADER_KEY {
        view.rollout_leader = decode::<RolloutLeader>(node_key, value);
    } else if node_key.starts_with(GRACE_PREFIX)
        && let Some(item) = decode::<GraceItem>(node_key, value)
        && Era(item.era) == view.complete_to.era()
    {
        view.grace_records.entry(item.model.clone()).or_default().push((&item).into());
    } else if let Some(service) = node_key.strip_prefix(SOFTWARE_PREFIX) {
        let item = decode::<SoftwareItem>(node_key, value);
        let record = item.and_then(|item| item.into_record(view.complete_to.era()));
        view.software_records.extend(record.map(|record| (service.to_owned(), record)));
    } else if let Some(part) = node_key.strip_prefix(QUARANTINE_PREFIX) {
        // The value is for operators.
        match part.parse() {
            Ok(part) => view.quarantined.push(part),
            Err(_) => warn!("event=item_unreadable key={node_key} reason=\"no part\""),
        }
    }
}

fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Option<T> {
    match serde_json::from_slice(value) {
        Ok(decoded) => Some(decoded),
        Err(e) => {
            warn!("event=item_unreadable key={key} reason={:?}", e.to_string());
            None
        }
    }
}
