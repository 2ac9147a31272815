//! Triggers one fault when an order reaches a given step.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;

use redwingrill_fakes::Faults;
use redwingrill_fakes::MemoryStore;
use redwingrill_fakes::WriteFault;

/// The processing steps of an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    Parse,
    Lookup,
    Record,
    Settle,
    Send,
    Headers,
    Body,
    FinishRecord,
    Response,
}

impl Step {
    pub const ALL: [Self; 9] = [
        Self::Parse,
        Self::Lookup,
        Self::Record,
        Self::Settle,
        Self::Send,
        Self::Headers,
        Self::Body,
        Self::FinishRecord,
        Self::Response,
    ];
}

/// The faults that can be triggered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    PlatformDown,
    PlatformSlow,
    PlatformFrozen,
    LostResponse,
    LostCall,
    UpstreamRefuses,
    UpstreamCuts,
    UpstreamSilent,
    UpstreamMismatched,
    UpstreamLate,
    UpstreamMalformed,
    UpstreamFenced,
    NodeCrash,
    NodeRestart,
    NodePause,
}

impl Fault {
    pub const ALL: [Self; 15] = [
        Self::PlatformDown,
        Self::PlatformSlow,
        Self::PlatformFrozen,
        Self::LostResponse,
        Self::LostCall,
        Self::UpstreamRefuses,
        Self::UpstreamCuts,
        Self::UpstreamSilent,
        Self::UpstreamMismatched,
        Self::UpstreamLate,
        Self::UpstreamMalformed,
        Self::UpstreamFenced,
        Self::NodeCrash,
        Self::NodeRestart,
        Self::NodePause,
    ];

    fn platform(self) -> Option<Faults> {
        let none = Faults::default();
        match self {
            Self::PlatformDown => Some(Faults { down: true, ..none }),
            Self::PlatformSlow => Some(Faults { delay: Duration::from_millis(40), ..none }),
            Self::PlatformFrozen => Some(Faults { frozen: true, ..none }),
            Self::LostResponse => Some(Faults { write: WriteFault::LoseResponse, ..none }),
            Self::LostCall => Some(Faults { write: WriteFault::LoseRequest, ..none }),
            _ => None,
        }
    }

    pub fn is_node(self) -> bool {
        matches!(self, Self::NodeCrash | Self::NodeRestart | Self::NodePause)
    }
}

#[derive(Debug, Default)]
struct State {
    armed: Option<(Step, Fault)>,
    active: Option<Fault>,
    triggered: bool,
}

/// Triggers the armed fault when an order reaches its step. The fault stays active until cleared.
#[derive(Clone, Debug)]
pub struct TestDriver {
    state: Arc<Mutex<State>>,
    pub platform: MemoryStore,
    pub node_fault: Arc<Notify>,
}

impl TestDriver {
    pub fn new(platform: MemoryStore) -> Self {
        Self { state: Arc::default(), platform, node_fault: Arc::default() }
    }

    pub fn arm(&self, step: Step, fault: Fault) {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        *state = State { armed: Some((step, fault)), active: None, triggered: false };
    }

    pub fn clear(&self) {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        (state.armed, state.active) = (None, None);
        drop(state);
        self.platform.set_faults(Faults::default());
    }

    /// Returns the active fault.
    pub fn active(&self) -> Option<Fault> {
        self.state.lock().expect("no thread panics while holding the lock").active
    }

    /// Returns whether the fault has been triggered.
    pub fn was_triggered(&self) -> bool {
        self.state.lock().expect("no thread panics while holding the lock").triggered
    }

    /// Records that the order has reached a step. Returns the fault if it is triggered here.
    pub fn step_reached(&self, step: Step) -> Option<Fault> {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        let (_, fault) = state.armed.take_if(|(armed, _)| *armed == step)?;
        state.active = Some(fault);
        state.triggered = true;
        drop(state);
        if let Some(faults) = fault.platform() {
            self.platform.set_faults(faults);
        }
        if fault.is_node() {
            self.node_fault.notify_one();
        }
        Some(fault)
    }
}
