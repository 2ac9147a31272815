//! How a stream goes on after a fault.
//!
//! A fault of a connection is first laid to the connection: the same leg is resumed over a new one.
//! Only when that fails too, or the engine itself failed, does another engine take over.
//!
//! ```text
//!            fault of connection             fault again, or of engine
//! streaming ---------------------> resuming --------------------------> replacing
//!     ^                               |                                     |
//!     +-------------------------------+-------------------------------------+
//!                         events arrive again
//! ```

use redwingrill_codes::ResultCode;

/// What went wrong with a leg.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// No connection could be opened.
    Unreachable,
    /// The connection broke or ended early.
    Broken,
    /// Nothing came in time.
    Silent,
    /// The reply or an event belongs to another request.
    Crossed,
    /// The reply could not be read, or events were missing.
    Garbage,
    /// The engine takes no new work or does not hold the stream.
    Refused,
    /// The engine answered with an error.
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

    /// Returns whether the engine may have begun to run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Refused)
    }
}

/// What to do after a fault.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RecoveryAction {
    /// Resume the same leg over a new connection.
    Resume,
    /// Begin a new leg on another engine, from the prompt and what was delivered.
    Replace,
    /// End the stream with an error.
    GiveUp(ResultCode),
}

/// How often a stream may recover.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryLimits {
    /// Legs of one stream, the first included.
    pub attempts: u32,
    /// Resumptions of one leg without an event between them.
    pub resumes: u32,
}

impl Default for RecoveryLimits {
    fn default() -> Self {
        Self { attempts: 4, resumes: 1 }
    }
}

/// Counts the faults of one stream.
#[derive(Clone, Debug)]
pub struct Recovery {
    limits: RecoveryLimits,
    attempts: u32,
    resumes_without_event: u32,
    // Set once any leg may have been run, for the honesty of the final error.
    may_have_run: bool,
}

impl Recovery {
    /// Makes the state of a stream on its first leg.
    pub fn new(limits: RecoveryLimits) -> Self {
        Self { limits, attempts: 1, resumes_without_event: 0, may_have_run: false }
    }

    /// Notes that an event arrived.
    pub fn event_received(&mut self) {
        self.resumes_without_event = 0;
        self.may_have_run = true;
    }

    /// Decides how to go on after a fault. `began` tells whether the engine had begun to answer
    /// this leg, and `continuable` whether another engine could continue from the text delivered.
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

    /// Returns the code of a stream that ends with this fault. A code that says "not run" is
    /// replaced when an earlier leg may have been run.
    pub fn final_code(&self, fault: Fault) -> ResultCode {
        if self.may_have_run && !fault.may_have_run() {
            return ResultCode::StreamBroken;
        }
        fault.code()
    }

    /// Returns whether any leg may have been run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}
