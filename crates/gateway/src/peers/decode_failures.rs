//! The log of datagrams that cannot be read.
//!
//! Nodes of a later build send kinds of datagrams that this one does not know, many a second, for as
//! long as an upgrade takes.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use log::debug;
use log::warn;
use tokio::time::Instant;

/// How often a sender is warned of.
const WARNING_PERIOD: Duration = Duration::from_secs(60);

/// The number of senders that are remembered; there is no warning of further ones.
const SENDERS_LIMIT: usize = 1_024;

/// When each sender was warned of last.
#[derive(Debug, Default)]
pub(super) struct DecodeFailures {
    warned: HashMap<IpAddr, Instant>,
}

impl DecodeFailures {
    /// Logs a failure: as a warning if the sender is due for one.
    pub fn log(&mut self, sender: IpAddr, error: &postcard::Error) {
        let reason = error.to_string();
        match self.is_due(sender, Instant::now()) {
            true => warn!("event=gossip_decode_failed from={sender} reason={reason:?}"),
            false => debug!("event=gossip_decode_failed from={sender} reason={reason:?}"),
        }
    }

    fn is_due(&mut self, sender: IpAddr, now: Instant) -> bool {
        if self.warned.get(&sender).is_some_and(|at| now - *at < WARNING_PERIOD) {
            return false;
        }
        if self.warned.len() >= SENDERS_LIMIT {
            self.warned.retain(|_, at| now - *at < WARNING_PERIOD);
        }
        let has_room = self.warned.len() < SENDERS_LIMIT || self.warned.contains_key(&sender);
        if has_room {
            self.warned.insert(sender, now);
        }
        has_room
    }
}
