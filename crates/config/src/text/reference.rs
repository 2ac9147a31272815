//! The Markdown reference of all sections and keys.

use super::spec::KeySpec;
use super::spec::Presence;
use super::spec::SECTIONS;
use super::spec::ValueKind;

/// Writes a table of keys for each section.
pub fn reference() -> String {
    let sections = SECTIONS.iter();
    let parts = sections.map(|section| {
        section_reference(&format!("[{} NAME]", section.keyword), section.summary, section.keys)
    });
    parts.collect::<Vec<_>>().join("\n")
}

/// Writes the heading of a section, its summary, and a table of its keys.
pub fn section_reference(header: &str, summary: &str, keys: &[KeySpec]) -> String {
    let mut text = format!("### `{header}`\n\n{summary}\n\n");
    text.push_str("| key | value | without it | meaning |\n| --- | --- | --- | --- |\n");
    for key in keys {
        let (value, default) = (value_description(key.kind), default_text(key.presence));
        text.push_str(&format!("| `{}` | {value} | {default} | {} |\n", key.key, key.summary));
    }
    text
}

/// Describes what applies if a key is omitted.
fn default_text(presence: Presence) -> String {
    match presence {
        Presence::Required => "a fault".to_owned(),
        Presence::Default(value) => format!("`{value}`"),
        Presence::Optional => "none".to_owned(),
    }
}

/// Describes the valid values of a kind.
fn value_description(kind: ValueKind) -> String {
    match kind {
        ValueKind::Text => "text, up to 255 bytes".to_owned(),
        ValueKind::Count(min, max) => format!("{min} to {max}"),
        ValueKind::Percent => "0 % to 100 %".to_owned(),
        ValueKind::Duration(min_ms, max_ms) => format!("time, {min_ms} ms to {max_ms} ms"),
        ValueKind::TokensPerSecond => "rate, as `5000 tokens/s`".to_owned(),
        ValueKind::Flag => "`yes` or `no`".to_owned(),
        ValueKind::Choice(choices) => format!("one of `{}`", choices.join("`, `")),
        ValueKind::Address => "`IP:PORT`".to_owned(),
        ValueKind::ListenAddress => "`IP:PORT`, port 0 for any".to_owned(),
        ValueKind::Addresses => "`IP:PORT`, parted by commas".to_owned(),
        ValueKind::Size(min, max) => format!("size, {min} B to {max} B"),
        ValueKind::Reference(kind) => format!("name of a `[{} NAME]`", kind.spec().keyword),
        ValueKind::References(kind) => format!("names of `[{} NAME]`", kind.spec().keyword),
        ValueKind::KeyHashes => "`blake3:HEX`, parted by commas".to_owned(),
        ValueKind::CallPatterns => "`METHOD /PATH`, parted by commas".to_owned(),
    }
}
