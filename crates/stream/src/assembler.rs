//! Assembly of a whole completion from the chunks of a stream.

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::Chunk;
use crate::Usage;

/// Assembles chunks into one completion object.
#[derive(Clone, Debug, Default)]
pub struct CompletionAssembler {
    id: String,
    created_s: u64,
    model: Value,
    choices: Vec<Choice>,
}

#[derive(Clone, Debug, Default)]
struct Choice {
    message: Map<String, Value>,
    finish_reason: Value,
}

impl CompletionAssembler {
    /// Merges a chunk into the completion.
    pub fn push(&mut self, chunk: &Chunk) {
        self.id = chunk.id().unwrap_or_default().to_owned();
        self.created_s = chunk.created_s().unwrap_or_default();
        for choice in chunk.choices() {
            self.push_choice(choice);
        }
    }

    /// Sets the model name of the completion.
    pub fn set_model(&mut self, model: &str) {
        self.model = Value::from(model);
    }

    /// Returns the completion as JSON text.
    pub fn to_json(&self, usage: Option<&Usage>) -> String {
        let choices = self.choices.iter().enumerate().map(|(index, choice)| {
            json!({
                "index": index,
                "message": choice.message,
                "logprobs": null,
                "finish_reason": choice.finish_reason,
            })
        });
        let completion = json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created_s,
            "model": self.model,
            "choices": choices.collect::<Vec<_>>(),
            "usage": usage,
        });
        completion.to_string()
    }

    fn push_choice(&mut self, value: &Value) {
        let index = value.get("index").and_then(Value::as_u64).unwrap_or(0);
        // Choices from index 128 on are ignored, so that a faulty engine cannot cause large
        // allocations.
        let Ok(index @ 0..128) = usize::try_from(index) else { return };
        if index >= self.choices.len() {
            self.choices.resize_with(index + 1, Choice::default);
        }
        let choice = &mut self.choices[index];
        if let Some(delta) = value.get("delta").and_then(Value::as_object) {
            merge_delta(&mut choice.message, delta);
        }
        if let Some(reason) = value.get("finish_reason").filter(|reason| !reason.is_null()) {
            choice.finish_reason = reason.clone();
        }
    }
}

fn merge_delta(message: &mut Map<String, Value>, delta: &Map<String, Value>) {
    for (field, value) in delta {
        match message.get_mut(field) {
            Some(Value::String(text)) if field != "role" => {
                text.push_str(value.as_str().unwrap_or_default());
            }
            Some(Value::Array(items)) => merge_items(items, value),
            Some(Value::Null) | None => {
                message.insert(field.clone(), value.clone());
            }
            Some(_) => {}
        }
    }
}

/// Merges parts of tool calls. Each part carries the index of the item that it belongs to.
fn merge_items(items: &mut Vec<Value>, parts: &Value) {
    for part in parts.as_array().into_iter().flatten() {
        let index = part.get("index").cloned().unwrap_or_default();
        let existing = items.iter_mut().find(|item| item.get("index") == Some(&index));
        match existing.and_then(Value::as_object_mut) {
            Some(item) => merge_part(item, part),
            None => items.push(part.clone()),
        }
    }
}

fn merge_part(item: &mut Map<String, Value>, part: &Value) {
    for (field, value) in part.as_object().into_iter().flatten() {
        match (item.get_mut(field), value) {
            (Some(Value::Object(inner)), Value::Object(more)) => merge_delta(inner, more),
            (None, _) => {
                item.insert(field.clone(), value.clone());
            }
            _ => {}
        }
    }
}
