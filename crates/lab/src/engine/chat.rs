//! The chat completions request as the engine reads it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::answer::Owner;
use crate::answer::count_tokens;
use crate::engine::blocks::render;

/// One part of a message's content.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ContentPart {
    /// The text of a text part.
    pub text: String,
}

/// The content of a message: a string or a list of parts.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Content {
    /// Plain text.
    Text(String),
    /// Parts.
    Parts(Vec<ContentPart>),
}

impl Content {
    /// Returns the whole text.
    pub fn text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        }
    }
}

/// One message of a conversation.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What was said.
    pub content: Content,
}

impl Message {
    /// Makes a message of plain text.
    pub fn new(role: &str, text: &str) -> Self {
        Self { role: role.to_owned(), content: Content::Text(text.to_owned()) }
    }
}

/// Where to import a prefix from.
#[derive(Clone, PartialEq, Eq, Debug, Default, Deserialize)]
#[serde(default)]
pub struct KvTransfer {
    /// Whether to import.
    pub do_remote_prefill: bool,
    /// The IP number of the KV cache store.
    pub remote_host: String,
    /// The port of the KV cache store.
    pub remote_port: u16,
}

/// A chat completions request.
#[derive(Clone, PartialEq, Eq, Debug, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens to generate, by its older name.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The most tokens to generate.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
    /// Lower is more urgent.
    #[serde(default)]
    pub priority: i32,
    /// Parts prefix caches.
    #[serde(default)]
    pub cache_salt: String,
    /// Whether the last message is continued instead of answered.
    #[serde(default)]
    pub continue_final_message: bool,
    /// Where to import the prefix from.
    #[serde(default)]
    pub kv_transfer_params: Option<KvTransfer>,
}

impl ChatRequest {
    /// Returns the hash that ties tokens to this request, the same when it is continued.
    pub fn owner(&self) -> Owner {
        Owner::of(&self.model, &render(self.answered_messages()))
    }

    /// Returns how many tokens of the answer were generated before.
    pub fn delivered_tokens(&self) -> u32 {
        match self.messages.last() {
            Some(last) if self.is_continued() => count_tokens(&last.content.text()),
            _ => 0,
        }
    }

    /// Returns how many tokens to generate, and whether that is by the request's limit.
    pub fn tokens_to_generate(&self, answer_tokens: u32) -> (u32, bool) {
        match self.max_completion_tokens.or(self.max_tokens) {
            Some(limit) => (limit, true),
            None => (answer_tokens.saturating_sub(self.delivered_tokens()), false),
        }
    }

    /// Returns the KV cache store to import the prefix from.
    pub fn import_from(&self) -> Option<SocketAddr> {
        let params = self.kv_transfer_params.as_ref().filter(|params| params.do_remote_prefill)?;
        Some(SocketAddr::new(params.remote_host.parse().ok()?, params.remote_port))
    }

    fn is_continued(&self) -> bool {
        let last_role = self.messages.last().map(|message| message.role.as_str());
        self.continue_final_message && last_role == Some("assistant")
    }

    fn answered_messages(&self) -> &[Message] {
        let continued = usize::from(self.is_continued());
        &self.messages[..self.messages.len() - continued]
    }
}
