//! 64-bit integers as the JSON gateway writes them: strings, or plain numbers where a client sends
//! them.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;

#[derive(Deserialize)]
#[serde(untagged)]
enum TextOrNumber {
    Text(String),
    Number(i64),
}

pub(super) fn serialize<S: Serializer>(value: &i64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    match TextOrNumber::deserialize(deserializer)? {
        TextOrNumber::Text(text) => text.parse().map_err(D::Error::custom),
        TextOrNumber::Number(number) => Ok(number),
    }
}
