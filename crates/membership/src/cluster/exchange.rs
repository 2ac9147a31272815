//! Exchanges with peers: requests, responses and failures.

use super::links::FAILURES_TO_SUSPECT;
use super::links::Inbound;
use super::links::Outbound;
use super::state::Cluster;
use crate::ExchangeResponse;
use crate::Frame;
use crate::Link;
use crate::LinkId;

/// Delay before the next exchange if the peer has more items than fit into one frame.
const CONTINUATION_DELAY_MS: u64 = 100;

impl Cluster {
    pub(super) fn start_exchange(&mut self, now_ms: u64, id: LinkId) -> Frame {
        let mut link = self.outbound.remove(&id).expect("the caller passes the id of an open link");
        link.in_flight = true;
        link.started_ms = now_ms;
        link.urgent_changes = self.urgent_changes;
        let frame = link.link.write_frame(now_ms, self.local_state());
        self.outbound.insert(id, link);
        frame
    }

    /// Handles an exchange started by a peer. Returns [`ExchangeResponse::Reset`] if the link is
    /// unknown or out of sequence.
    pub fn on_exchange(&mut self, now_ms: u64, id: LinkId, frame: Frame) -> ExchangeResponse {
        let existing = self.inbound.remove(&id);
        let Some(mut inbound) = existing.or_else(|| accept_link(now_ms, &frame)) else {
            return ExchangeResponse::Reset;
        };
        let Ok(received) = inbound.link.read_frame(frame) else { return ExchangeResponse::Reset };
        inbound.received_ms = now_ms;
        self.apply_received(now_ms, received);
        inbound.urgent_changes = self.urgent_changes;
        let response = inbound.link.write_frame(now_ms, self.local_state());
        self.inbound.insert(id, inbound);
        ExchangeResponse::Frame(response)
    }

    /// Applies the response to an exchange. Ignores links that were closed in the meantime.
    pub fn on_response(&mut self, now_ms: u64, id: LinkId, response: ExchangeResponse) {
        let Some(mut outbound) = self.outbound.remove(&id) else { return };
        if !outbound.in_flight {
            // A duplicate response: the frame numbers of the link are no longer reliable.
            return;
        }
        outbound.in_flight = false;
        self.retry_states.remove(&outbound.address);
        let ExchangeResponse::Frame(frame) = response else { return };
        let Ok(received) = outbound.link.read_frame(frame) else { return };
        outbound.peer = received.from.or(outbound.peer);
        if let Some(peer) = outbound.peer {
            self.refutations.remove(&peer);
        }
        let period_ms = self.jittered_ms(self.pacing.exchange_period_ms);
        outbound.due_ms = now_ms + if received.more { CONTINUATION_DELAY_MS } else { period_ms };
        self.outbound.insert(id, outbound);
        self.apply_received(now_ms, received);
    }

    /// Records that an exchange failed or timed out, and closes the link.
    pub fn on_exchange_failure(&mut self, now_ms: u64, id: LinkId) {
        let Some(outbound) = self.outbound.remove(&id) else { return };
        let retry_state = self.retry_states.entry(outbound.address).or_default();
        let backoff_ms = retry_state.backoff_ms();
        retry_state.failures = retry_state.failures.saturating_add(1);
        let failures = retry_state.failures;
        let wait_ms = self.jittered_ms(backoff_ms);
        if let Some(retry_state) = self.retry_states.get_mut(&outbound.address) {
            retry_state.retry_at_ms = now_ms + wait_ms;
        }
        if failures >= FAILURES_TO_SUSPECT {
            self.suspect(now_ms, &outbound);
        }
    }

    /// Makes the next exchange on a link due now, at the peer's request.
    pub fn on_nudge(&mut self, now_ms: u64, id: LinkId) {
        if let Some(outbound) = self.outbound.get_mut(&id) {
            outbound.due_ms = outbound.due_ms.min(now_ms);
        }
    }

    /// Removes an inbound link whose connection ended.
    pub fn on_link_closed(&mut self, id: LinkId) {
        self.inbound.remove(&id);
    }

    fn suspect(&mut self, now_ms: u64, outbound: &Outbound) {
        let Some(peer) = outbound.peer else { return };
        let refutation = self.refutations.get(&peer);
        if refutation.is_some_and(|refutation| now_ms < refutation.trusted_until_ms) {
            return;
        }
        if self.members.suspect(now_ms, peer) {
            self.mark_members_changed();
        }
    }
}

/// Creates the state of a new inbound link, if the frame is the first one of a link.
fn accept_link(now_ms: u64, frame: &Frame) -> Option<Inbound> {
    let peer = frame.from.filter(|_| frame.number == 0)?;
    Some(Inbound { peer, link: Link::new(), received_ms: now_ms, nudged_ms: 0, urgent_changes: 0 })
}
