//! What upstreams say of themselves: rate limits, which the nodes share, pauses and leaving.

use super::Choice;
use super::RefusalCause;
use super::ScheduleRequest;
use super::Scheduler;
use super::core::DEFAULT_MEMBERS;
use crate::fleet::UpstreamIndex;
use crate::fleet::digest_round_ms;
use crate::signals::GateChange;
use crate::signals::LimitStatement;
use crate::signals::limit_share_per_s;
use redwingrill_routing::RateLimit;
use redwingrill_routing::UpstreamState;

/// How long a statement is passed on beyond the time in which a digest reaches each node, so that
/// lost digests are made up for.
const STATEMENT_MARGIN_MS: u64 = 500;

/// The retry delay for callers while all upstreams leave, and the least spread of retries.
const CLOSED_RETRY_AFTER_MS: u64 = 500;

/// The maximum retry delay, before it is spread.
const RETRY_AFTER_LIMIT_MS: u64 = 60_000;

impl Scheduler {
    /// Records whether an answer of an upstream names a rate limit; the request of the answer was
    /// sent at `sent_ms`.
    pub fn observe_limit(
        &mut self,
        index: UpstreamIndex,
        limit: Option<RateLimit>,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<GateChange> {
        let entry = self.fleet.get_mut(index)?;
        let change = entry.signals.gate.observe_answer(limit, sent_ms, now_ms)?;
        self.share_limit(index, now_ms);
        Some(change)
    }

    /// Records that an upstream wants no request from this node for `pause_ms`. Returns whether there
    /// was no pause before.
    pub fn record_pause(&mut self, index: UpstreamIndex, pause_ms: u64, now_ms: u64) -> bool {
        let entry = self.fleet.get_mut(index);
        entry.is_some_and(|entry| entry.signals.record_pause(pause_ms, now_ms))
    }

    /// Returns when a request may be sent, with `ahead` others in front of it, if all upstreams that
    /// may serve it and that it was not sent to yet are closed or limited by what they say of
    /// themselves. `None` if one is not; `u64::MAX` if none opens again.
    pub(super) fn opens_ms(
        &self,
        request: &ScheduleRequest,
        ahead: usize,
        now_ms: u64,
    ) -> Option<u64> {
        let mut opens_ms = u64::MAX;
        let (mut share_per_s, mut is_any_closed) = (0.0, false);
        for (index, entry) in self.fleet.of_service(&request.service) {
            let is_ready = entry.upstream.state == UpstreamState::Ready;
            let is_usable =
                !request.tried.contains(&index) && request.accepts_software(&entry.upstream);
            if !is_ready || !is_usable {
                continue;
            }
            let signals = &entry.signals;
            is_any_closed = true;
            if signals.leaving_since_ms.is_some() {
                continue;
            }
            match signals.gate.limit() {
                _ if now_ms < signals.paused_until_ms => {
                    opens_ms = opens_ms.min(signals.paused_until_ms);
                }
                Some(_) => share_per_s += signals.gate.share_per_s(),
                None => return None,
            }
        }
        if share_per_s > 0.0 {
            let wait_ms = (ahead + 1) as f64 / share_per_s * 1_000.0;
            opens_ms = opens_ms.min(now_ms.saturating_add(wait_ms as u64));
        }
        is_any_closed.then_some(opens_ms)
    }

    /// Refuses a request that would wait in vain for closed upstreams. Callers that are refused
    /// together do not return together.
    pub(super) fn refuse_closed(&mut self, opens_ms: u64, now_ms: u64) -> Choice {
        let wait_ms = match opens_ms {
            u64::MAX => CLOSED_RETRY_AFTER_MS,
            opens_ms => opens_ms.saturating_sub(now_ms).min(RETRY_AFTER_LIMIT_MS),
        };
        let spread_ms = (wait_ms / 2).max(CLOSED_RETRY_AFTER_MS);
        let retry_after_ms = self.random_between(wait_ms, wait_ms + spread_ms);
        Choice::Refuse { cause: RefusalCause::Overloaded(self.shortage), retry_after_ms }
    }

    /// Records that an upstream said that it leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, index: UpstreamIndex, now_ms: u64) -> bool {
        self.fleet.get_mut(index).is_some_and(|entry| entry.signals.record_leaving(now_ms))
    }

    /// Records that an upstream sent a signal that could not be decoded. Returns whether it is the
    /// first one of this start.
    pub fn record_invalid_signal(&mut self, index: UpstreamIndex) -> bool {
        let entry = self.fleet.get_mut(index);
        entry.is_some_and(|entry| !std::mem::replace(&mut entry.signals.has_invalid_signal, true))
    }

    /// Returns the share of an upstream's limit that this node may use, in requests per second.
    pub fn limit_share_per_s(&self, index: UpstreamIndex) -> Option<f64> {
        let entry = self.fleet.get(index)?;
        let limit = entry.signals.gate.limit()?;
        if self.member_names.is_empty() {
            return Some(limit.per_s() / DEFAULT_MEMBERS as f64);
        }
        let (node, nodes) = (&self.options.node, &self.member_names);
        Some(limit_share_per_s(limit, entry.start_tag, node, nodes))
    }

    /// Computes the share of each limit again, since the nodes changed.
    pub(super) fn share_limits(&mut self, now_ms: u64) {
        let limited = self.fleet.iter().filter(|(_, entry)| entry.signals.gate.limit().is_some());
        let limited: Vec<_> = limited.map(|(index, _)| index).collect();
        limited.into_iter().for_each(|index| self.share_limit(index, now_ms));
    }

    fn share_limit(&mut self, index: UpstreamIndex, now_ms: u64) {
        let share_per_s = self.limit_share_per_s(index).unwrap_or(0.0);
        if let Some(entry) = self.fleet.get_mut(index) {
            entry.signals.gate.set_share(share_per_s, now_ms);
        }
    }

    /// Merges statements that another node received.
    pub(super) fn merge_limits(&mut self, statements: &[LimitStatement], now_ms: u64) {
        if statements.is_empty() {
            return;
        }
        let mut changed = Vec::new();
        for (index, entry) in self.fleet.iter_mut() {
            let statement = statements.iter().find(|known| known.upstream == entry.start_tag);
            let Some(statement) = statement else { continue };
            let Some(limit) = statement.limit() else { continue };
            let at_ms = now_ms.saturating_sub(u64::from(statement.age_ms));
            if entry.signals.gate.merge(limit, at_ms, now_ms).is_some() {
                changed.push(index);
            }
        }
        changed.into_iter().for_each(|index| self.share_limit(index, now_ms));
    }

    /// Returns the statements that this node received recently.
    pub(super) fn limit_statements(&self, now_ms: u64) -> Vec<LimitStatement> {
        let span_ms = digest_round_ms(self.members()) + STATEMENT_MARGIN_MS;
        let statements = self.fleet.iter().filter_map(|(_, entry)| {
            let (limit, age_ms) = entry.signals.gate.received_within(span_ms, now_ms)?;
            let per_s = limit.map(|limit| limit.per_s() as f32);
            let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
            Some(LimitStatement { upstream: entry.start_tag, per_s, age_ms })
        });
        statements.collect()
    }
}
