//! One attempt to serve a request at an upstream.

use std::sync::Arc;

use super::Dispatcher;
use super::dispatcher::AttemptEvidence;
use super::dispatcher::Message;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::ResponseMetadata;
use redwingrill_routing::UpstreamSignals;
use redwingrill_scheduling::fleet::Misdirection;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::AttemptOutcome;

/// One send of a request to an upstream. Dropping it reports its end to the dispatch task.
#[derive(Debug)]
pub struct Attempt {
    dispatcher: Dispatcher,
    assignment: Assignment,
    prompt: Option<Arc<DeclaredPrompt>>,
    is_prefill_pending: bool,
    // Whether a whole answer clears the parts of the prompt.
    is_conclusive: bool,
    outcome: Option<AttemptOutcome>,
}

impl Attempt {
    /// Creates an attempt of a request with this prompt.
    pub(super) fn new(
        dispatcher: Dispatcher,
        assignment: Assignment,
        prompt: Option<Arc<DeclaredPrompt>>,
    ) -> Self {
        Self {
            dispatcher,
            assignment,
            prompt,
            is_prefill_pending: true,
            is_conclusive: true,
            outcome: None,
        }
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
            model: self.prompt.as_ref().map(|prompt| prompt.model.clone()),
            load: metadata.load,
            version: metadata.weights_version,
        });
    }

    /// Reports what the upstream says of itself in its answer to this attempt.
    pub fn report_signals(&self, signals: &UpstreamSignals) {
        self.dispatcher.send(Message::Signals {
            index: self.assignment.index,
            signals: Box::new(signals.clone()),
            sent_ms: self.assignment.sent_ms,
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

    /// Reports the longest pause between the events of a stream that ended well, and the mean one if
    /// there were several events.
    pub fn report_pauses(&self, longest_pause_ms: u64, mean_pause_ms: Option<f64>) {
        let service = self.assignment.upstream.service.clone();
        let index = self.assignment.index;
        self.dispatcher.send(Message::StreamEnded {
            index,
            service,
            longest_pause_ms,
            mean_pause_ms,
        });
    }

    /// Records that the answer says nothing in favour of the parts of the prompt: it is a failure, or
    /// has neither a length nor chunks and so may look whole although its upstream has ended.
    pub fn mark_inconclusive(&mut self) {
        self.is_conclusive = false;
    }

    /// Ends an attempt whose connection broke after the upstream had the request. This is evidence
    /// against the parts of the prompt, too.
    pub fn end_broken(self) {
        if let Some(evidence) = self.evidence() {
            self.dispatcher.send(Message::AttemptBroken { evidence });
        }
        self.end(Verdict::Failed);
    }

    /// Ends an attempt that was rejected because it was for another upstream or other weights.
    pub fn end_misdirected(mut self, misdirection: Misdirection) {
        let (verdict, misdirection) = (Verdict::Unknown, Some(misdirection));
        self.outcome = Some(AttemptOutcome { verdict, misdirection });
    }

    fn evidence(&self) -> Option<Box<AttemptEvidence>> {
        let prompt = self.prompt.clone().filter(|prompt| !prompt.shared_parts().is_empty())?;
        let upstream = self.assignment.upstream.clone();
        Some(Box::new(AttemptEvidence { upstream, prompt, sent_ms: self.assignment.sent_ms }))
    }

    /// Ends the attempt. A served one has received its whole answer.
    pub fn end(mut self, verdict: Verdict) {
        if verdict == Verdict::Served
            && self.is_conclusive
            && let Some(evidence) = self.evidence()
        {
            self.dispatcher.send(Message::AttemptCompleted { evidence });
        }
        self.outcome = Some(AttemptOutcome { verdict, misdirection: None });
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let unknown = AttemptOutcome { verdict: Verdict::Unknown, misdirection: None };
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
