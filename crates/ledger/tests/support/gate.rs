//! Pauses futures, as SIGSTOP pauses a process.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

#[derive(Debug, Default)]
struct State {
    paused: bool,
    wakers: Vec<Waker>,
}

/// Pauses and resumes the futures that it wraps.
#[derive(Clone, Debug, Default)]
pub struct Gate(Arc<Mutex<State>>);

impl Gate {
    /// Pauses or resumes the futures.
    pub fn set_paused(&self, paused: bool) {
        let mut state = self.0.lock().expect("the mutex is not poisoned");
        state.paused = paused;
        if !paused {
            state.wakers.drain(..).for_each(Waker::wake);
        }
    }

    /// Wraps a future, so that the gate can pause it.
    pub fn wrap<F: Future>(&self, inner: F) -> Gated<F> {
        Gated { gate: self.clone(), inner: Box::pin(inner) }
    }

    fn is_paused(&self, context: &Context<'_>) -> bool {
        let mut state = self.0.lock().expect("the mutex is not poisoned");
        if state.paused {
            state.wakers.push(context.waker().clone());
        }
        state.paused
    }
}

/// A future that is not polled while its gate is paused.
pub struct Gated<F> {
    gate: Gate,
    inner: Pin<Box<F>>,
}

impl<F: Future> Future for Gated<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        if self.gate.is_paused(context) {
            return Poll::Pending;
        }
        self.inner.as_mut().poll(context)
    }
}
