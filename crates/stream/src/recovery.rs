//! Recovery of a stream after a fault.
//!
//! After a fault that the connection may have caused, the same attempt is resumed over a new
//! connection. If that fails, or the engine itself failed, a new attempt continues on another
//! engine.
//!
//! ```text
//!             connection fault            second fault, or engine fault
//! streaming ---------------------> resuming --------------------------> replacing
//!     ^                               |                                     |
//!     +-------------------------------+-------------------------------------+
//!                           an event arrives
//! ```

use redwingrill_codes::ResultCode;

/// The fault of an attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// No connection could be opened.
    Unreachable,
    /// The connection broke or ended early.
    Broken,
    /// No data arrived within the timeout.
    Silent,
    /// The response or an event belongs to another request.
    Crossed,
    /// The response is malformed, or events are missing.
    Garbage,
    /// The engine accepts no new requests, or does not have the stream to resume.
    Refused,
    /// The engine responded with an error.
    Failed,
}

impl Fault {
    /// Returns the result code of a stream that ends because of this fault.
    pub fn code(self) -> ResultCode {
        match self {
            Self::Unreachable => ResultCode::UpstreamUnreachable,
            Self::Broken => ResultCode::StreamBroken,
            Self::Silent => ResultCode::UpstreamSilent,
            Self::Crossed => ResultCode::ReplyCrossed,
            Self::Garbage => ResultCode::UpstreamGarbage,
            Self::Refused => ResultCode::UpstreamRefused,
            Self::Failed => ResultCode::UpstreamFailed,
        }
    }

    fn is_connection_fault(self) -> bool {
        matches!(self, Self::Broken | Self::Silent | Self::Crossed | Self::Garbage)
    }

    /// Returns whether the engine may have started to run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Refused)
    }
}

/// The action after a fault.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RecoveryAction {
    /// Resume the same attempt over a new connection.
    Resume,
    /// Start a new attempt on another engine, with the prompt and the text delivered so far.
    Replace,
    /// End the stream with an error.
    GiveUp(ResultCode),
}

/// The limits on the recovery of a stream.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryLimits {
    /// The number of attempts of one stream, including the first.
    pub attempts: u32,
    /// The number of consecutive resumptions without an event in between.
    pub resumes: u32,
}

impl Default for RecoveryLimits {
    fn default() -> Self {
        Self { attempts: 4, resumes: 1 }
    }
}

/// The recovery state of one stream.
#[derive(Clone, Debug)]
pub struct Recovery {
    limits: RecoveryLimits,
    attempts: u32,
    resumes_without_event: u32,
    // Whether any attempt may have been run, so that the final error does not claim otherwise.
    may_have_run: bool,
}

impl Recovery {
    /// Creates the state of a stream on its first attempt.
    pub fn new(limits: RecoveryLimits) -> Self {
        Self { limits, attempts: 1, resumes_without_event: 0, may_have_run: false }
    }

    /// Records that an event arrived.
    pub fn event_received(&mut self) {
        self.resumes_without_event = 0;
        self.may_have_run = true;
    }

    /// Returns the action after a fault. `started` is whether the engine had started to respond to
    /// this attempt, and `continuable` whether another engine can continue from the delivered text.
    pub fn action_after(
        &mut self,
        fault: Fault,
        started: bool,
        continuable: bool,
    ) -> RecoveryAction {
        self.may_have_run |= fault.may_have_run();
        let resumable = started && fault.is_connection_fault();
        if resumable && self.resumes_without_event < self.limits.resumes {
            self.resumes_without_event += 1;
            return RecoveryAction::Resume;
        }
        if continuable && self.attempts < self.limits.attempts {
            self.attempts += 1;
            self.resumes_without_event = 0;
            return RecoveryAction::Replace;
        }
        RecoveryAction::GiveUp(self.final_code(fault))
    }

    /// Returns the result code of a stream that ends with this fault. A code that implies that the
    /// request was not run is replaced if an earlier attempt may have been run.
    pub fn final_code(&self, fault: Fault) -> ResultCode {
        if self.may_have_run && !fault.may_have_run() {
            return ResultCode::StreamBroken;
        }
        fault.code()
    }

    /// Returns whether any attempt may have been run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}
