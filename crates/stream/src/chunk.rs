//! One chunk of a streamed completion.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// The token counts of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Usage {
    /// The number of tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// The number of generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
    /// The sum of prompt and generated tokens.
    #[serde(default)]
    pub total_tokens: u64,
    /// The breakdown of the prompt tokens.
    #[serde(default)]
    pub prompt_tokens_details: Option<PromptTokensDetails>,
}

/// The breakdown of the prompt tokens.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct PromptTokensDetails {
    /// The number of tokens found in the engine's prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl Usage {
    /// Returns the number of cached prompt tokens, if the engine reported it.
    pub fn cached_tokens(&self) -> Option<u64> {
        self.prompt_tokens_details.map(|details| details.cached_tokens)
    }
}

/// A chunk with all its fields, including those that the router does not know.
#[derive(Clone, PartialEq, Debug)]
pub struct Chunk {
    fields: Map<String, Value>,
}

impl Chunk {
    /// Parses the data of an event. Returns `None` if it is not a JSON object.
    pub fn parse(data: &str) -> Option<Self> {
        serde_json::from_str(data).ok().map(|fields| Self { fields })
    }

    /// Creates the chunk that ends the first choice of a completion.
    pub fn finish(id: &str, created_s: u64, reason: &str) -> Self {
        let choice = json!({"index": 0, "delta": {}, "finish_reason": reason});
        let mut fields = Map::new();
        fields.insert("object".to_owned(), Value::from("chat.completion.chunk"));
        fields.insert("choices".to_owned(), Value::from(vec![choice]));
        let mut chunk = Self { fields };
        chunk.set_id(id);
        chunk.set_created_s(created_s);
        chunk
    }

    /// Returns the completion's identifier.
    pub fn id(&self) -> Option<&str> {
        self.fields.get("id")?.as_str()
    }

    /// Replaces the completion's identifier.
    pub fn set_id(&mut self, id: &str) {
        self.fields.insert("id".to_owned(), Value::from(id));
    }

    /// Returns the creation time in seconds since the Unix epoch.
    pub fn created_s(&self) -> Option<u64> {
        self.fields.get("created")?.as_u64()
    }

    /// Replaces the creation time in seconds since the Unix epoch.
    pub fn set_created_s(&mut self, created_s: u64) {
        self.fields.insert("created".to_owned(), Value::from(created_s));
    }

    /// Returns the error, if the chunk has one.
    pub fn error(&self) -> Option<&Value> {
        self.fields.get("error").filter(|error| !error.is_null())
    }

    /// Returns the token counts, if the chunk has them.
    pub fn usage(&self) -> Option<Usage> {
        let usage = self.fields.get("usage").filter(|usage| !usage.is_null())?;
        Usage::deserialize(usage).ok()
    }

    /// Replaces the token counts.
    pub fn set_usage(&mut self, usage: &Usage) {
        let value = serde_json::to_value(usage).expect("token counts always serialize");
        self.fields.insert("usage".to_owned(), value);
    }

    /// Removes the token counts.
    pub fn remove_usage(&mut self) {
        self.fields.remove("usage");
    }

    /// Returns the choices.
    pub fn choices(&self) -> &[Value] {
        self.fields.get("choices").and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }

    /// Returns the text that the chunk adds to the first choice.
    pub fn content(&self) -> Option<&str> {
        self.choices().first()?.get("delta")?.get("content")?.as_str()
    }

    /// Returns the finish reason of the first choice, if it ended.
    pub fn finish_reason(&self) -> Option<&str> {
        self.choices().first()?.get("finish_reason")?.as_str()
    }

    /// Returns whether the chunk only opens the message: it sets the role and adds no content.
    pub fn is_opening(&self) -> bool {
        let Some(delta) = self.choices().first().and_then(|choice| choice.get("delta")) else {
            return false;
        };
        let adds_nothing = self.content().is_none_or(str::is_empty) && !has_non_text(delta);
        delta.get("role").is_some() && adds_nothing && self.finish_reason().is_none()
    }

    /// Returns whether another engine can continue the completion from its text alone: the chunk
    /// has at most one choice, with index zero, and it holds only text.
    pub fn is_plain_text(&self) -> bool {
        match self.choices() {
            [] => true,
            [choice] => {
                let index = choice.get("index").and_then(Value::as_u64).unwrap_or(0);
                index == 0 && !choice.get("delta").is_some_and(has_non_text)
            }
            _ => false,
        }
    }

    /// Returns the chunk as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&self.fields).expect("JSON values always serialize")
    }
}

fn has_non_text(delta: &Value) -> bool {
    ["tool_calls", "function_call", "refusal"]
        .iter()
        .any(|field| delta.get(field).is_some_and(|value| !value.is_null()))
}
