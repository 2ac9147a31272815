//! The reference of all sections and keys, as Markdown.

use std::fmt::Write;

use super::spec::Presence;
use super::spec::SECTIONS;
use super::spec::ValueKind;

/// Writes a table of keys for each section.
pub fn reference() -> String {
    let mut text = String::new();
    for section in SECTIONS {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "### `[{} NAME]`\n\n{}\n", section.word, section.summary);
        let _ = writeln!(text, "| key | value | without it | meaning |\n| --- | --- | --- | --- |");
        for key in section.keys {
            let (value, absent) = (value_text(key.kind), absent_text(key.presence));
            let _ = writeln!(text, "| `{}` | {value} | {absent} | {} |", key.key, key.summary);
        }
        text.push('\n');
    }
    text.truncate(text.trim_end().len());
    text.push('\n');
    text
}

/// Describes what a key that is left out stands for.
pub fn absent_text(presence: Presence) -> String {
    match presence {
        Presence::Required => "a fault".to_owned(),
        Presence::Default(value) => format!("`{value}`"),
        Presence::Optional => "none".to_owned(),
    }
}

/// Describes the values of a kind.
pub fn value_text(kind: ValueKind) -> String {
    match kind {
        ValueKind::Text => "text, up to 255 bytes".to_owned(),
        ValueKind::Count(least, most) => format!("{least} to {most}"),
        ValueKind::Percent => "0 % to 100 %".to_owned(),
        ValueKind::Duration(least_ms, most_ms) => format!("time, {least_ms} ms to {most_ms} ms"),
        ValueKind::TokensPerSecond => "rate, as `5000 tokens/s`".to_owned(),
        ValueKind::Flag => "`yes` or `no`".to_owned(),
        ValueKind::Choice(words) => format!("one of `{}`", words.join("`, `")),
        ValueKind::Address => "`IP:PORT`".to_owned(),
        ValueKind::ListenAddress => "`IP:PORT`, port 0 for any".to_owned(),
        ValueKind::Addresses => "`IP:PORT`, parted by commas".to_owned(),
        ValueKind::Size(least, most) => format!("size, {least} B to {most} B"),
        ValueKind::Reference(kind) => format!("name of a `[{} NAME]`", kind.spec().word),
        ValueKind::References(kind) => format!("names of `[{} NAME]`", kind.spec().word),
        ValueKind::KeyHashes => "`blake3:HEX`, parted by commas".to_owned(),
        ValueKind::CallPatterns => "`METHOD /PATH`, parted by commas".to_owned(),
    }
}
