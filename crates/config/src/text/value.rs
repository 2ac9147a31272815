//! Values of keys, read as their kind says.

use std::net::SocketAddr;

use crate::CallPattern;
use crate::KeyHash;
use crate::text::spec::ValueKind;

/// The prefix of a key hash in the files.
pub const KEY_HASH_PREFIX: &str = "blake3:";

/// The most items in one list of hashes or calls.
const LIST_LIMIT: usize = 64;

const LONGEST_TEXT_BYTES: usize = 255;

const TOKEN_UNIT: &str = "tokens/s";

/// The units of time with their length.
const TIME_UNITS: &[(&str, u64)] =
    &[("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000), ("d", 86_400_000)];

/// The units of size with their length.
const SIZE_UNITS: &[(&str, u64)] = &[("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20)];

const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// A value that has been read.
#[derive(Clone, PartialEq, Debug)]
pub enum Value {
    /// Text, a chosen word or the name of another section.
    Text(String),
    /// A number in the unit that the kind stands for: items, percent, milliseconds or tokens a second.
    Number(u64),
    /// Yes or no.
    Flag(bool),
    /// An address.
    Address(SocketAddr),
    /// Addresses.
    Addresses(Vec<SocketAddr>),
    /// Names of other sections.
    Names(Vec<String>),
    /// Hashes of keys.
    KeyHashes(Vec<KeyHash>),
    /// Sets of calls.
    Calls(Vec<CallPattern>),
}

/// Why a value cannot be read, and the way out.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ValueError {
    /// Why.
    pub reason: String,
    /// The way out.
    pub hint: String,
}

fn bad<T>(reason: impl Into<String>, hint: impl Into<String>) -> Result<T, ValueError> {
    Err(ValueError { reason: reason.into(), hint: hint.into() })
}

/// Reads a value of a kind.
pub fn parse(kind: ValueKind, text: &str) -> Result<Value, ValueError> {
    if text.is_empty() {
        return bad("the value is empty", "give a value, or remove the line");
    }
    match kind {
        ValueKind::Text => read_text(text).map(Value::Text),
        ValueKind::Count(least, most) => read_count(text, least, most).map(Value::Number),
        ValueKind::Percent => read_percent(text).map(Value::Number),
        ValueKind::Duration(least_ms, most_ms) => {
            read_duration(text, least_ms, most_ms).map(Value::Number)
        }
        ValueKind::TokensPerSecond => read_rate(text).map(Value::Number),
        ValueKind::Flag => read_choice(text, &["yes", "no"]).map(|word| Value::Flag(word == "yes")),
        ValueKind::Choice(words) => read_choice(text, words).map(Value::Text),
        ValueKind::Address => read_address(text).map(Value::Address),
        ValueKind::ListenAddress => read_socket_address(text).map(Value::Address),
        ValueKind::Addresses => read_list(text, read_address).map(Value::Addresses),
        ValueKind::Size(least, most) => read_size(text, least, most).map(Value::Number),
        ValueKind::Reference(_) => read_text(text).map(Value::Text),
        ValueKind::References(_) => read_names(text).map(Value::Names),
        ValueKind::KeyHashes => read_list(text, read_key_hash).map(Value::KeyHashes),
        ValueKind::CallPatterns => read_list(text, read_call).map(Value::Calls),
    }
}

fn read_text(text: &str) -> Result<String, ValueError> {
    if text.len() > LONGEST_TEXT_BYTES {
        return bad("the value is longer than 255 bytes", "shorten it");
    }
    if text.chars().any(char::is_control) {
        return bad("the value has a control character", "remove it");
    }
    Ok(text.to_owned())
}

fn read_number(text: &str) -> Result<u64, ValueError> {
    text.parse().or_else(|_| bad(format!("`{text}` is not a whole number"), "write digits only"))
}

fn read_count(text: &str, least: u64, most: u64) -> Result<u64, ValueError> {
    let count = read_number(text)?;
    if count < least || count > most {
        return bad(format!("{count} is out of range"), format!("write {least} to {most}"));
    }
    Ok(count)
}

fn read_percent(text: &str) -> Result<u64, ValueError> {
    let Some(number) = text.strip_suffix('%') else {
        return bad("the unit is missing", format!("write a percentage such as {text} %"));
    };
    let percent = read_number(number.trim_end())?;
    if percent > 100 {
        return bad(format!("{percent} % is over 100 %"), "write 0 % to 100 %");
    }
    Ok(percent)
}

fn read_rate(text: &str) -> Result<u64, ValueError> {
    let Some(number) = text.strip_suffix(TOKEN_UNIT) else {
        return bad("the unit is missing", "write a rate such as 5000 tokens/s");
    };
    read_number(number.trim_end())
}

fn read_duration(text: &str, least_ms: u64, most_ms: u64) -> Result<u64, ValueError> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_at);
    let unit = unit.trim_start();
    let Some(&(_, unit_ms)) = TIME_UNITS.iter().find(|(name, _)| *name == unit) else {
        let reason = if unit.is_empty() {
            "the unit is missing".to_owned()
        } else {
            format!("`{unit}` is no unit of time")
        };
        return bad(reason, "write a time such as 250 ms, 2.5 s, 5 min, 24 h or 7 d");
    };
    let ms = read_decimal(number, unit_ms)?;
    if ms < least_ms || ms > most_ms {
        return bad(
            format!("{text} is out of range"),
            format!("write {least_ms} ms to {most_ms} ms"),
        );
    }
    Ok(ms)
}

fn read_size(text: &str, least_bytes: u64, most_bytes: u64) -> Result<u64, ValueError> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_at);
    let Some(&(_, unit_bytes)) = SIZE_UNITS.iter().find(|(name, _)| *name == unit.trim()) else {
        return bad(
            "the unit of size is missing or unknown",
            "write a size such as 16 KiB or 4 MiB",
        );
    };
    let bytes = read_number(number)?.saturating_mul(unit_bytes);
    if bytes < least_bytes || bytes > most_bytes {
        let hint = format!("write {least_bytes} B to {most_bytes} B");
        return bad(format!("{text} is out of range"), hint);
    }
    Ok(bytes)
}

/// Reads a number with at most three decimals, times `unit_ms`, without a remainder.
fn read_decimal(text: &str, unit_ms: u64) -> Result<u64, ValueError> {
    let (whole, decimals) = text.split_once('.').unwrap_or((text, ""));
    let thousandths = format!("{decimals:0<3}");
    if decimals.len() > 3 || (text.contains('.') && decimals.is_empty()) {
        return bad(
            format!("`{text}` is not a number of up to three decimals"),
            "use a smaller unit",
        );
    }
    let scaled = read_number(whole)?
        .checked_mul(1_000)
        .and_then(|n| n.checked_add(thousandths.parse().ok()?))
        .and_then(|n| n.checked_mul(unit_ms));
    match scaled {
        Some(product) if product % 1_000 == 0 => Ok(product / 1_000),
        Some(_) => bad(format!("`{text}` is finer than a millisecond"), "round it"),
        None => bad(format!("`{text}` is too large"), "write a smaller number"),
    }
}

fn read_choice(text: &str, words: &[&str]) -> Result<String, ValueError> {
    if words.contains(&text) {
        return Ok(text.to_owned());
    }
    bad(format!("`{text}` is not a choice here"), format!("write one of: {}", words.join(", ")))
}

fn read_socket_address(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse().or_else(|_| {
        let hint =
            "write IP:PORT, such as 10.0.1.4:8000 or [fd00::4]:8000; host names are not resolved";
        bad(format!("`{text}` is not an IP address with a port"), hint)
    })
}

fn read_address(text: &str) -> Result<SocketAddr, ValueError> {
    let address = read_socket_address(text)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        return bad(
            format!("nothing can be reached at {address}"),
            "write the address and port it listens on",
        );
    }
    Ok(address)
}

fn read_names(text: &str) -> Result<Vec<String>, ValueError> {
    let names: Vec<String> = text.split(',').map(|name| name.trim().to_owned()).collect();
    if names.iter().any(String::is_empty) {
        return bad("a name in the list is empty", "part names by single commas");
    }
    match repeated(&names) {
        Some(name) => bad(format!("`{name}` is listed twice"), "list it once"),
        None => Ok(names),
    }
}

fn read_list<T: PartialEq>(
    text: &str,
    read_item: fn(&str) -> Result<T, ValueError>,
) -> Result<Vec<T>, ValueError> {
    let items: Vec<T> =
        text.split(',').map(|item| read_item(item.trim())).collect::<Result<_, _>>()?;
    if items.len() > LIST_LIMIT {
        return bad(format!("the list has more than {LIST_LIMIT} items"), "shorten it");
    }
    match repeated(&items) {
        Some(_) => bad("an item is listed twice", "list it once"),
        None => Ok(items),
    }
}

fn repeated<T: PartialEq>(items: &[T]) -> Option<&T> {
    // Lists of upstreams reach a few hundred, so the square is small.
    items.iter().enumerate().find(|(at, item)| items[..*at].contains(item)).map(|(_, item)| item)
}

fn read_key_hash(text: &str) -> Result<KeyHash, ValueError> {
    let hex = text.strip_prefix(KEY_HASH_PREFIX).and_then(|hex| blake3::Hash::from_hex(hex).ok());
    match hex {
        Some(hash) => Ok(KeyHash(*hash.as_bytes())),
        None => bad(
            "not the hash of a key",
            "write blake3: and 64 hexadecimal digits, as printed by `redwingrill hash-key`",
        ),
    }
}

fn read_call(text: &str) -> Result<CallPattern, ValueError> {
    let hint = "write a method and a path, such as POST /orders";
    let Some((method, path)) = text.split_once(char::is_whitespace) else {
        return bad(format!("`{text}` is not a call"), hint);
    };
    let path_prefix = path.trim_start();
    if !METHODS.contains(&method) {
        return bad(
            format!("`{method}` is not a method"),
            format!("{hint}; methods are {}", METHODS.join(", ")),
        );
    }
    if !path_prefix.starts_with('/') || path_prefix.contains(char::is_whitespace) {
        return bad(format!("`{path_prefix}` is not a path"), hint);
    }
    read_text(path_prefix)?;
    Ok(CallPattern { method: method.to_owned(), path_prefix: path_prefix.to_owned() })
}
