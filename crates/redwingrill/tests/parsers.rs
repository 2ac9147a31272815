//! Property tests of the parsers of caller input.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::header;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;
use serde_json::Value;
use serde_json::json;

use redwingrill::completions::CompletionRequest;
use redwingrill::http::bearer_key;
use redwingrill_codes::ResultCode;

const GENERATOR_SIZE: usize = 100;
const SEED: u64 = 11;

fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GENERATOR_SIZE, SEED))
        .tests(1_000)
        .quickcheck(property);
}

fn parse(value: &Value) -> Result<CompletionRequest, ResultCode> {
    CompletionRequest::parse(&Bytes::from(value.to_string())).map_err(|refusal| refusal.code)
}

/// Builds arbitrary JSON from bytes, with the field names that the parser reads.
fn arbitrary_json(bytes: &mut std::slice::Iter<'_, u8>, depth: usize) -> Value {
    const FIELDS: &[&str] =
        &["model", "messages", "role", "content", "text", "stream", "max_tokens", "stream_options"];
    let Some(&byte) = bytes.next() else { return Value::Null };
    let length = usize::from(byte >> 4) % 5;
    match byte % 8 {
        0 => Value::Null,
        1 => json!(byte > 100),
        2 => json!(byte),
        3 => json!(-i64::from(byte)),
        4 => json!(FIELDS[usize::from(byte) % FIELDS.len()]),
        5 if depth > 0 => (0..length).map(|_| arbitrary_json(bytes, depth - 1)).collect(),
        6 | 7 if depth > 0 => {
            let fields = (0..length).map(|n| {
                let name = FIELDS[(usize::from(byte) + n) % FIELDS.len()];
                (name.to_owned(), arbitrary_json(bytes, depth - 1))
            });
            Value::Object(fields.collect())
        }
        _ => json!(1e300),
    }
}

#[test]
fn arbitrary_bytes_parse_or_are_rejected_as_bad_json() {
    fn property(bytes: Vec<u8>) -> bool {
        match CompletionRequest::parse(&Bytes::from(bytes)) {
            Ok(request) => !request.model().is_empty(),
            Err(refusal) => refusal.code == ResultCode::BadJson && !refusal.detail.is_empty(),
        }
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn arbitrary_json_parses_or_is_rejected_as_bad_json() {
    fn property(bytes: Vec<u8>) -> bool {
        match parse(&arbitrary_json(&mut bytes.iter(), 4)) {
            Ok(request) => {
                // The accessors of an accepted request never panic.
                let _texts = request.prompt().len();
                let _flags = (request.is_streamed(), request.wants_usage());
                request.max_tokens() > 0 || request.token_limit() == Some(0)
            }
            Err(code) => code == ResultCode::BadJson,
        }
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn valid_requests_keep_model_texts_and_stream_flag() {
    fn property(model: String, texts: Vec<String>, stream: bool) -> bool {
        let messages: Vec<Value> =
            texts.iter().map(|text| json!({"role": "user", "content": text})).collect();
        let body = json!({"model": model, "messages": messages, "stream": stream});
        match parse(&body) {
            Ok(request) => {
                request.model() == model
                    && request.prompt().iter().flat_map(|message| &message.texts).eq(&texts)
                    && request.is_streamed() == stream
            }
            Err(code) => texts.is_empty() && code == ResultCode::BadJson,
        }
    }
    check(property as fn(String, Vec<String>, bool) -> bool);
}

#[test]
fn arbitrary_authorization_yields_a_key_or_key_missing() {
    fn property(value: Vec<u8>) -> bool {
        let Ok(value) = HeaderValue::from_bytes(&value) else { return true };
        let mut headers = HeaderMap::new();
        headers.insert(header::AUTHORIZATION, value);
        match bearer_key(&headers) {
            Ok(key) => !key.is_empty() && key.trim() == key,
            Err(refusal) => refusal.code == ResultCode::KeyMissing,
        }
    }
    check(property as fn(Vec<u8>) -> bool);
}
