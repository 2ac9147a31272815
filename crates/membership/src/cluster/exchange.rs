//! Exchanges: what goes out, what comes back, and what fails.

use super::links::FAILURES_TO_SUSPECT;
use super::links::Inbound;
use super::links::Outbound;
use super::state::Cluster;
use crate::ExchangeResponse;
use crate::Frame;
use crate::Link;
use crate::LinkId;

/// The wait before the rest of a frame that was too large.
const MORE_MS: u64 = 100;

impl Cluster {
    pub(super) fn begin_exchange(&mut self, now_ms: u64, id: LinkId) -> Frame {
        let mut link = self.outbound.remove(&id).expect("the link is open");
        link.in_flight = true;
        link.began_ms = now_ms;
        link.urgency = self.urgency;
        let frame = link.link.write_frame(now_ms, self.shared());
        self.outbound.insert(id, link);
        frame
    }

    /// Answers an exchange that a peer began.
    pub fn on_exchange(&mut self, now_ms: u64, id: LinkId, frame: Frame) -> ExchangeResponse {
        let known = self.inbound.remove(&id);
        let Some(mut inbound) = known.or_else(|| accept(now_ms, &frame)) else {
            return ExchangeResponse::Reset;
        };
        let Ok(received) = inbound.link.read_frame(frame) else { return ExchangeResponse::Reset };
        inbound.heard_ms = now_ms;
        self.absorb(now_ms, received);
        inbound.urgency = self.urgency;
        let answer = inbound.link.write_frame(now_ms, self.shared());
        self.inbound.insert(id, inbound);
        ExchangeResponse::Frame(answer)
    }

    /// Takes in the answer to an exchange. An unknown link, closed since, is passed over.
    pub fn on_response(&mut self, now_ms: u64, id: LinkId, reply: ExchangeResponse) {
        let Some(mut outbound) = self.outbound.remove(&id) else { return };
        if !outbound.in_flight {
            // A repeated reply: the link's numbers can no longer be trusted.
            return;
        }
        outbound.in_flight = false;
        self.contacts.remove(&outbound.address);
        let ExchangeResponse::Frame(frame) = reply else { return };
        let Ok(received) = outbound.link.read_frame(frame) else { return };
        outbound.peer = received.from.or(outbound.peer);
        if let Some(peer) = outbound.peer {
            self.refutations.remove(&peer);
        }
        let period_ms = self.jittered_ms(self.pacing.exchange_period_ms);
        outbound.due_ms = now_ms + if received.more { MORE_MS } else { period_ms };
        self.outbound.insert(id, outbound);
        self.absorb(now_ms, received);
    }

    /// Notes that an exchange failed or timed out.
    pub fn on_exchange_failure(&mut self, now_ms: u64, id: LinkId) {
        let Some(outbound) = self.outbound.remove(&id) else { return };
        let contact = self.contacts.entry(outbound.address).or_default();
        let backoff_ms = contact.backoff_ms();
        contact.failures = contact.failures.saturating_add(1);
        let failures = contact.failures;
        let wait_ms = self.jittered_ms(backoff_ms);
        if let Some(contact) = self.contacts.get_mut(&outbound.address) {
            contact.retry_ms = now_ms + wait_ms;
        }
        if failures >= FAILURES_TO_SUSPECT {
            self.suspect(now_ms, &outbound);
        }
    }

    /// Makes the next exchange on a link due, since the peer asked for it.
    pub fn on_nudge(&mut self, now_ms: u64, id: LinkId) {
        if let Some(outbound) = self.outbound.get_mut(&id) {
            outbound.due_ms = outbound.due_ms.min(now_ms);
        }
    }

    /// Drops a link that a peer opened, since its connection ended.
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
            self.note_members_changed();
        }
    }
}

/// Accepts a new link, if the frame is a first one.
fn accept(now_ms: u64, frame: &Frame) -> Option<Inbound> {
    let peer = frame.from.filter(|_| frame.number == 0)?;
    Some(Inbound { peer, link: Link::new(), heard_ms: now_ms, nudged_ms: 0, urgency: 0 })
}
