//! One attempt to serve a request at an upstream.

use super::Dispatcher;
use super::dispatcher::Message;
use redwingrill_routing::ResponseMetadata;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::AttemptOutcome;

/// One send of a request to an upstream. Dropping it reports its end to the dispatch task.
#[derive(Debug)]
pub struct Attempt {
    dispatcher: Dispatcher,
    assignment: Assignment,
    model: Option<String>,
    is_prefill_pending: bool,
    outcome: Option<AttemptOutcome>,
}

impl Attempt {
    /// Creates an attempt; `model` is the model that the request names.
    pub(super) fn new(
        dispatcher: Dispatcher,
        assignment: Assignment,
        model: Option<String>,
    ) -> Self {
        Self { dispatcher, assignment, model, is_prefill_pending: true, outcome: None }
    }

    /// Returns the upstream and the parameters of the attempt.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Reports the load and the weights version of the response head.
    pub fn report_head(&self, metadata: &ResponseMetadata) {
        if metadata.load.is_none() && metadata.weights_version.is_none() {
            return;
        }
        self.dispatcher.send(Message::ResponseHead {
            index: self.assignment.index,
            model: self.model.clone(),
            load: metadata.load,
            version: metadata.weights_version,
        });
    }

    /// Reports that the upstream has prefilled the prompt.
    pub fn report_prefilled(&mut self) {
        if self.is_prefill_pending {
            self.is_prefill_pending = false;
            let assignment = Box::new(self.assignment.clone());
            self.dispatcher.send(Message::Prefilled { assignment });
        }
    }

    /// Reports the longest pause between the events of a stream that ended well.
    pub fn report_longest_pause(&self, longest_pause_ms: u64) {
        let service = self.assignment.upstream.service.clone();
        self.dispatcher.send(Message::StreamEnded { service, longest_pause_ms });
    }

    /// Ends the attempt.
    pub fn end(mut self, verdict: Verdict, is_misdirected: bool) {
        self.outcome = Some(AttemptOutcome { verdict, is_misdirected });
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let unknown = AttemptOutcome { verdict: Verdict::Unknown, is_misdirected: false };
        let pending_prefill_tokens =
            if self.is_prefill_pending { self.assignment.pending_prefill_tokens } else { 0 };
        self.dispatcher.send(Message::AttemptEnded {
            index: self.assignment.index,
            pending_prefill_tokens,
            reserved_tokens: self.assignment.reserved_tokens,
            outcome: self.outcome.take().unwrap_or(unknown),
        });
    }
}
