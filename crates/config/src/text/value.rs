//! Parses the values of keys by their kind.

use std::net::SocketAddr;

use crate::CallPattern;
use crate::KeyHash;
use crate::text::spec::ValueKind;

/// The prefix of a key hash in the files.
pub const KEY_HASH_PREFIX: &str = "blake3:";

/// The maximum number of items in a list of hashes, calls or addresses.
const LIST_LIMIT: usize = 64;

const TEXT_LIMIT_BYTES: usize = 255;

const TOKEN_RATE_UNIT: &str = "tokens/s";

/// The units of time, in milliseconds.
const TIME_UNITS: &[(&str, u64)] =
    &[("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000), ("d", 86_400_000)];

/// The units of size, in bytes.
const SIZE_UNITS: &[(&str, u64)] = &[("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20)];

const HTTP_METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// A parsed value.
#[derive(Clone, PartialEq, Debug)]
pub enum Value {
    /// Text, one of several choices, or the name of another section.
    Text(String),
    /// A number in the unit of its kind: items, percent, milliseconds, bytes or tokens per second.
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
    /// Call patterns.
    Calls(Vec<CallPattern>),
}

/// The reason why a value is invalid, with a hint.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ValueError {
    /// The reason.
    pub reason: String,
    /// How to fix it.
    pub hint: String,
}

fn invalid<T>(reason: impl Into<String>, hint: impl Into<String>) -> Result<T, ValueError> {
    Err(ValueError { reason: reason.into(), hint: hint.into() })
}

/// Parses a value of a kind.
///
/// # Errors
///
/// Fails if the text is empty, malformed or out of range.
pub fn parse(kind: ValueKind, text: &str) -> Result<Value, ValueError> {
    if text.is_empty() {
        return invalid("the value is empty", "give a value, or remove the line");
    }
    match kind {
        ValueKind::Text => parse_text(text).map(Value::Text),
        ValueKind::Count(min, max) => parse_count(text, min, max).map(Value::Number),
        ValueKind::Percent => parse_percent(text).map(Value::Number),
        ValueKind::Duration(min_ms, max_ms) => {
            parse_duration(text, min_ms, max_ms).map(Value::Number)
        }
        ValueKind::TokensPerSecond => parse_rate(text).map(Value::Number),
        ValueKind::Flag => {
            parse_choice(text, &["yes", "no"]).map(|choice| Value::Flag(choice == "yes"))
        }
        ValueKind::Choice(choices) => parse_choice(text, choices).map(Value::Text),
        ValueKind::Address => parse_address(text).map(Value::Address),
        ValueKind::ListenAddress => parse_socket_address(text).map(Value::Address),
        ValueKind::Addresses => parse_list(text, parse_address).map(Value::Addresses),
        ValueKind::Size(min, max) => parse_size(text, min, max).map(Value::Number),
        ValueKind::Reference(_) => parse_text(text).map(Value::Text),
        ValueKind::References(_) => parse_names(text).map(Value::Names),
        ValueKind::KeyHashes => parse_list(text, parse_key_hash).map(Value::KeyHashes),
        ValueKind::CallPatterns => parse_list(text, parse_call_pattern).map(Value::Calls),
    }
}

fn parse_text(text: &str) -> Result<String, ValueError> {
    if text.len() > TEXT_LIMIT_BYTES {
        return invalid("the value is longer than 255 bytes", "shorten it");
    }
    if text.chars().any(char::is_control) {
        return invalid("the value has a control character", "remove it");
    }
    Ok(text.to_owned())
}

fn parse_number(text: &str) -> Result<u64, ValueError> {
    text.parse()
        .or_else(|_| invalid(format!("`{text}` is not a whole number"), "write digits only"))
}

fn parse_count(text: &str, min: u64, max: u64) -> Result<u64, ValueError> {
    let count = parse_number(text)?;
    if count < min || count > max {
        return invalid(format!("{count} is out of range"), format!("write {min} to {max}"));
    }
    Ok(count)
}

fn parse_percent(text: &str) -> Result<u64, ValueError> {
    let Some(number) = text.strip_suffix('%') else {
        return invalid("the unit is missing", format!("write a percentage such as {text} %"));
    };
    let percent = parse_number(number.trim_end())?;
    if percent > 100 {
        return invalid(format!("{percent} % is over 100 %"), "write 0 % to 100 %");
    }
    Ok(percent)
}

fn parse_rate(text: &str) -> Result<u64, ValueError> {
    let Some(number) = text.strip_suffix(TOKEN_RATE_UNIT) else {
        return invalid("the unit is missing", "write a rate such as 5000 tokens/s");
    };
    parse_number(number.trim_end())
}

fn parse_duration(text: &str, min_ms: u64, max_ms: u64) -> Result<u64, ValueError> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_start);
    let unit = unit.trim_start();
    let Some(&(_, unit_ms)) = TIME_UNITS.iter().find(|(name, _)| *name == unit) else {
        let reason = if unit.is_empty() {
            "the unit is missing".to_owned()
        } else {
            format!("`{unit}` is not a unit of time")
        };
        return invalid(reason, "write a time such as 250 ms, 2.5 s, 5 min, 24 h or 7 d");
    };
    let ms = parse_decimal(number, unit_ms)?;
    if ms < min_ms || ms > max_ms {
        return invalid(
            format!("{text} is out of range"),
            format!("write {min_ms} ms to {max_ms} ms"),
        );
    }
    Ok(ms)
}

fn parse_size(text: &str, min_bytes: u64, max_bytes: u64) -> Result<u64, ValueError> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_start);
    let Some(&(_, unit_bytes)) = SIZE_UNITS.iter().find(|(name, _)| *name == unit.trim()) else {
        return invalid(
            "the unit of size is missing or unknown",
            "write a size such as 16 KiB or 4 MiB",
        );
    };
    let bytes = parse_number(number)?.saturating_mul(unit_bytes);
    if bytes < min_bytes || bytes > max_bytes {
        let hint = format!("write {min_bytes} B to {max_bytes} B");
        return invalid(format!("{text} is out of range"), hint);
    }
    Ok(bytes)
}

/// Parses a number with at most three decimals and multiplies it by `unit_ms`. Fails if the product
/// is not an integer.
fn parse_decimal(text: &str, unit_ms: u64) -> Result<u64, ValueError> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let thousandths = format!("{fraction:0<3}");
    if fraction.len() > 3 || (text.contains('.') && fraction.is_empty()) {
        return invalid(
            format!("`{text}` is not a number of up to three decimals"),
            "use a smaller unit",
        );
    }
    let scaled = parse_number(whole)?
        .checked_mul(1_000)
        .and_then(|n| n.checked_add(thousandths.parse().ok()?))
        .and_then(|n| n.checked_mul(unit_ms));
    match scaled {
        Some(product) if product % 1_000 == 0 => Ok(product / 1_000),
        Some(_) => {
            invalid(format!("`{text}` has a resolution finer than a millisecond"), "round it")
        }
        None => invalid(format!("`{text}` is too large"), "write a smaller number"),
    }
}

fn parse_choice(text: &str, choices: &[&str]) -> Result<String, ValueError> {
    if choices.contains(&text) {
        return Ok(text.to_owned());
    }
    invalid(
        format!("`{text}` is not a valid choice"),
        format!("write one of: {}", choices.join(", ")),
    )
}

fn parse_socket_address(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse().or_else(|_| {
        let hint =
            "write IP:PORT, such as 10.0.1.4:8000 or [fd00::4]:8000; host names are not resolved";
        invalid(format!("`{text}` is not an IP address with a port"), hint)
    })
}

fn parse_address(text: &str) -> Result<SocketAddr, ValueError> {
    let address = parse_socket_address(text)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        return invalid(
            format!("nothing can be reached at {address}"),
            "write the address and port it listens on",
        );
    }
    Ok(address)
}

fn parse_names(text: &str) -> Result<Vec<String>, ValueError> {
    let names: Vec<String> = text.split(',').map(|name| name.trim().to_owned()).collect();
    if names.iter().any(String::is_empty) {
        return invalid("a name in the list is empty", "separate names by single commas");
    }
    match find_duplicate(&names) {
        Some(name) => invalid(format!("`{name}` is listed twice"), "list it once"),
        None => Ok(names),
    }
}

fn parse_list<T: PartialEq>(
    text: &str,
    parse_item: fn(&str) -> Result<T, ValueError>,
) -> Result<Vec<T>, ValueError> {
    let items: Vec<T> =
        text.split(',').map(|item| parse_item(item.trim())).collect::<Result<_, _>>()?;
    if items.len() > LIST_LIMIT {
        return invalid(format!("the list has more than {LIST_LIMIT} items"), "shorten it");
    }
    match find_duplicate(&items) {
        Some(_) => invalid("an item is listed twice", "list it once"),
        None => Ok(items),
    }
}

fn find_duplicate<T: PartialEq>(items: &[T]) -> Option<&T> {
    // The quadratic search is fine because lists of upstreams have at most a few hundred items.
    items
        .iter()
        .enumerate()
        .find(|(index, item)| items[..*index].contains(item))
        .map(|(_, item)| item)
}

fn parse_key_hash(text: &str) -> Result<KeyHash, ValueError> {
    let hex = text.strip_prefix(KEY_HASH_PREFIX).and_then(|hex| blake3::Hash::from_hex(hex).ok());
    match hex {
        Some(hash) => Ok(KeyHash(*hash.as_bytes())),
        None => invalid(
            "not a key hash",
            "write blake3: and 64 hexadecimal digits, as printed by `redwingrill hash-key`",
        ),
    }
}

fn parse_call_pattern(text: &str) -> Result<CallPattern, ValueError> {
    let hint = "write a method and a path, such as POST /orders";
    let Some((method, path)) = text.split_once(char::is_whitespace) else {
        return invalid(format!("`{text}` is not a call"), hint);
    };
    let path_prefix = path.trim_start();
    if !HTTP_METHODS.contains(&method) {
        return invalid(
            format!("`{method}` is not a method"),
            format!("{hint}; methods are {}", HTTP_METHODS.join(", ")),
        );
    }
    if !path_prefix.starts_with('/') || path_prefix.contains(char::is_whitespace) {
        return invalid(format!("`{path_prefix}` is not a path"), hint);
    }
    parse_text(path_prefix)?;
    Ok(CallPattern { method: method.to_owned(), path_prefix: path_prefix.to_owned() })
}
