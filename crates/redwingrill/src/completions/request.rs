//! The body of a completion request.

use bytes::Bytes;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::Refusal;
use crate::dispatch::PromptMessage;
use redwingrill_codes::ResultCode;

/// The assumed number of generated tokens of a request without a limit.
pub(crate) const DEFAULT_MAX_TOKENS: u64 = 512;

/// The fields that the router adds to the request of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFields<'a> {
    /// The engine's priority number; lower is more urgent.
    pub priority: u8,
    /// The salt that separates the prefix caches of client accounts.
    pub cache_salt: &'a str,
    /// The KV cache store to import from.
    pub import_from: Option<std::net::SocketAddr>,
    /// The text delivered so far, from which the engine continues.
    pub delivered: Option<Delivered<'a>>,
}

/// The output that earlier attempts delivered.
#[derive(Clone, Copy, Debug)]
pub struct Delivered<'a> {
    /// The text.
    pub text: &'a str,
    /// The number of tokens in the text.
    pub tokens: u64,
}

/// A request as the caller sent it.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    fields: Map<String, Value>,
}

impl CompletionRequest {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BadJson`] with a description of the problem.
    pub fn parse(body: &Bytes) -> Result<Self, Refusal> {
        let bad = |detail: String| Refusal::with_detail(ResultCode::BadJson, detail);
        let fields: Map<String, Value> =
            serde_json::from_slice(body).map_err(|e| bad(format!("the body is not JSON: {e}")))?;
        let request = Self { fields };
        if !request.fields.get("model").is_some_and(Value::is_string) {
            return Err(bad("`model` must be a string".to_owned()));
        }
        let messages = request.fields.get("messages").and_then(Value::as_array);
        let messages = messages.filter(|list| !list.is_empty() && list.iter().all(is_message));
        if messages.is_none() {
            return Err(bad("`messages` must be a list of messages with roles".to_owned()));
        }
        for (field, is_valid) in OPTIONAL_FIELDS {
            let value = request.fields.get(*field).filter(|value| !value.is_null());
            if value.is_some_and(|value| !is_valid(value)) {
                return Err(bad(format!("`{field}` has the wrong type")));
            }
        }
        Ok(request)
    }

    /// Returns the name of the model.
    pub fn model(&self) -> &str {
        self.fields.get("model").and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns whether the caller wants a stream.
    pub fn is_streamed(&self) -> bool {
        self.fields.get("stream").and_then(Value::as_bool).unwrap_or(false)
    }

    /// Returns whether the caller of a stream wants token counts.
    pub fn wants_usage(&self) -> bool {
        let options = self.fields.get("stream_options");
        options.and_then(|o| o.get("include_usage")).and_then(Value::as_bool).unwrap_or(false)
    }

    /// Returns the limit of generated tokens, or its default.
    pub fn max_tokens(&self) -> u64 {
        self.token_limit().unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Returns the limit of generated tokens that the caller set.
    pub fn token_limit(&self) -> Option<u64> {
        let fields = ["max_completion_tokens", "max_tokens"];
        fields.iter().find_map(|field| self.fields.get(*field)?.as_u64())
    }

    /// Returns the messages, in order.
    pub fn prompt(&self) -> Vec<PromptMessage<'_>> {
        let messages = self.fields.get("messages").and_then(Value::as_array);
        messages.into_iter().flatten().map(prompt_message).collect()
    }

    /// Returns the request body of an attempt.
    pub fn attempt_body(&self, attempt: &AttemptFields<'_>) -> Bytes {
        let mut fields = self.fields.clone();
        let mut set = |name: &str, value: Value| fields.insert(name.to_owned(), value);
        set("stream", json!(true));
        set("stream_options", json!({"include_usage": true}));
        set("priority", json!(attempt.priority));
        set("cache_salt", json!(attempt.cache_salt));
        if let Some(store) = attempt.import_from {
            set(
                "kv_transfer_params",
                json!({
                    "do_remote_prefill": true,
                    "remote_host": store.ip().to_string(),
                    "remote_port": store.port(),
                }),
            );
        }
        if let Some(delivered) = attempt.delivered {
            self.continue_from(&mut fields, delivered);
        }
        let body = serde_json::to_vec(&fields).expect("JSON values can be serialized");
        Bytes::from(body)
    }

    fn continue_from(&self, fields: &mut Map<String, Value>, delivered: Delivered<'_>) {
        if let Some(messages) = fields.get_mut("messages").and_then(Value::as_array_mut) {
            messages.push(json!({"role": "assistant", "content": delivered.text}));
        }
        fields.insert("continue_final_message".to_owned(), json!(true));
        fields.insert("add_generation_prompt".to_owned(), json!(false));
        for field in ["max_completion_tokens", "max_tokens"] {
            let Some(limit) = fields.get(field).and_then(Value::as_u64) else { continue };
            let remaining_tokens = limit.saturating_sub(delivered.tokens).max(1);
            fields.insert(field.to_owned(), json!(remaining_tokens));
        }
    }
}

type Check = fn(&Value) -> bool;

const OPTIONAL_FIELDS: &[(&str, Check)] = &[
    ("stream", Value::is_boolean),
    ("stream_options", Value::is_object),
    ("max_tokens", Value::is_u64),
    ("max_completion_tokens", Value::is_u64),
];

fn is_message(value: &Value) -> bool {
    value.get("role").is_some_and(Value::is_string)
}

fn prompt_message(message: &Value) -> PromptMessage<'_> {
    let role = message.get("role").and_then(Value::as_str).unwrap_or_default();
    PromptMessage { role, texts: message_texts(message) }
}

/// Returns the texts of a message. The content is a string, or a list of parts, some with text.
fn message_texts(message: &Value) -> Vec<&str> {
    match message.get("content") {
        Some(Value::String(text)) => vec![text],
        Some(Value::Array(parts)) => {
            parts.iter().filter_map(|part| part.get("text")?.as_str()).collect()
        }
        _ => Vec::new(),
    }
}
