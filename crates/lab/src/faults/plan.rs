//! The faults that are still to strike.
//!
//! Each request claims the first rule with strikes left when it arrives, so that which request is
//! struck does not depend on timing. Rules for connecting are claimed by connections.

use std::sync::Mutex;

use crate::faults::FaultRule;
use crate::faults::Step;

/// The list of rules of a stand-in.
#[derive(Debug, Default)]
pub struct FaultPlan {
    rules: Mutex<Vec<FaultRule>>,
}

impl FaultPlan {
    /// Replaces all rules.
    pub fn set(&self, rules: Vec<FaultRule>) {
        *self.rules.lock().expect("no holder panics") = rules;
    }

    /// Returns the rules with the strikes that are left.
    pub fn rules(&self) -> Vec<FaultRule> {
        self.rules.lock().expect("no holder panics").clone()
    }

    /// Claims a strike for a connection that was just accepted.
    pub fn claim_connection(&self) -> Option<FaultRule> {
        self.claim(|rule| rule.step == Step::Connect)
    }

    /// Claims a strike for a request.
    pub fn claim_request(&self) -> Option<FaultRule> {
        self.claim(|rule| rule.step != Step::Connect)
    }

    fn claim(&self, wanted: impl Fn(&FaultRule) -> bool) -> Option<FaultRule> {
        let mut rules = self.rules.lock().expect("no holder panics");
        let rule = rules.iter_mut().find(|rule| rule.count > 0)?;
        if !wanted(rule) {
            return None;
        }
        rule.count -= 1;
        Some(*rule)
    }
}
