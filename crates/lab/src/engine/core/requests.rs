//! Requests: taken, resumed, cancelled and forgotten.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Core;
use super::Refusal;
use crate::engine::ChatRequest;
use crate::engine::Job;
use crate::engine::JobId;
use crate::engine::blocks::BLOCK_TOKENS;
use crate::engine::blocks::Prompt;
use crate::engine::blocks::cut_prompt;
use crate::engine::stream_log::StreamHead;
use crate::engine::stream_log::StreamLog;

impl Core {
    /// Takes a request into the batch.
    pub async fn submit(
        &self,
        request_id: &str,
        request: &ChatRequest,
    ) -> Result<Arc<StreamLog>, Refusal> {
        let weights = self.identity().1;
        let prompt = cut_prompt(&request.cache_salt, &request.model, &weights, &request.messages);
        let importable_blocks = match request.import_from() {
            Some(store) => self.transfer.held(store, &prompt.blocks).await,
            None => 0,
        };
        self.admit(request_id, request, prompt, importable_blocks)
    }

    fn admit(
        &self,
        request_id: &str,
        request: &ChatRequest,
        prompt: Prompt,
        importable_blocks: usize,
    ) -> Result<Arc<StreamLog>, Refusal> {
        if request.messages.is_empty() {
            return Err(Refusal::Empty);
        }
        if request.model != self.options.model {
            return Err(Refusal::UnknownModel);
        }
        let (generate_tokens, is_limited) = request.tokens_to_generate(self.options.answer_tokens);
        let mut state = self.lock();
        if state.is_leaving {
            return Err(Refusal::Leaving);
        }
        if state.is_loading {
            return Err(Refusal::Loading);
        }
        let head = StreamHead {
            request_id: request_id.to_owned(),
            model: request.model.clone(),
            weights_version: state.weights_version.clone(),
            owner: request.owner(),
            first_token: request.delivered_tokens(),
            generate_tokens,
            is_limited,
            prompt_tokens: prompt.tokens,
        };
        let id = JobId(state.next_job);
        state.next_job += 1;
        let job = Job {
            id,
            priority: request.priority,
            prompt_tokens: head.prompt_tokens,
            blocks: prompt.blocks,
            generate_tokens,
            importable_tokens: importable_blocks as u32 * BLOCK_TOKENS,
        };
        let log = Arc::new(StreamLog::new(id, head));
        state.forget(request_id);
        state.streams.insert(request_id.to_owned(), log.clone());
        // An answer of no tokens is complete as it stands.
        if generate_tokens > 0 {
            state.request_of.insert(id, log.clone());
            if self.options.export_to.is_some() {
                state.to_export.insert(id, job.blocks.clone());
            }
            state.batch.submit(job);
            self.work.notify_one();
        }
        Ok(log)
    }

    /// Returns the log of a request that is still held.
    pub fn stream(&self, request_id: &str) -> Option<Arc<StreamLog>> {
        self.lock().streams.get(request_id).cloned()
    }

    /// Cancels a request. Returns whether it was held.
    pub fn cancel(&self, request_id: &str) -> bool {
        self.lock().forget(request_id)
    }

    /// Forgets the streams that nobody has read for longer than the resume window.
    pub fn forget_unread(&self) {
        let window = Duration::from_millis(self.options.resume_window_ms);
        let now = Instant::now();
        let mut state = self.lock();
        let is_old = |log: &StreamLog| log.unread_since().is_some_and(|at| now - at >= window);
        let streams = state.streams.iter().filter(|(_, log)| is_old(log));
        let old: Vec<String> = streams.map(|(id, _)| id.clone()).collect();
        for request_id in old {
            state.forget(&request_id);
        }
    }
}
