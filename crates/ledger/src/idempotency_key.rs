//! The Idempotency-Key header field (IETF draft "The Idempotency-Key HTTP Header Field").
//!
//! The draft specifies a quoted string; an unquoted value is accepted too, as many callers send it.
//! The key is opaque except for version 7 UUIDs (RFC 9562): these contain their creation time, so
//! the ledger can refuse an expired key without storing it.

use snafu::Snafu;

/// The maximum length of a key.
const MAX_KEY_BYTES: usize = 255;
/// The length of a UUID in text form.
const UUID_TEXT_BYTES: usize = 36;
/// How far the timestamp of a key may be ahead of the node's clock.
const CLOCK_SKEW_LIMIT_MS: u64 = 5 * 60 * 1000;

/// Why a header value is not a valid Idempotency-Key.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Snafu)]
pub enum KeyError {
    /// The key is empty.
    #[snafu(display("the key is empty"))]
    Empty,
    /// The key has more than 255 characters.
    #[snafu(display("the key has more than 255 characters"))]
    TooLong,
    /// The key contains a character that is not visible ASCII, or a misplaced quote or backslash.
    #[snafu(display("the key has a character that is not allowed"))]
    BadCharacter,
}

/// How the timestamp of a key relates to the retention window.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum KeyTime {
    /// The key contains no timestamp.
    NoTimestamp,
    /// The key was created within the window.
    InWindow,
    /// The key is older than the window.
    Expired,
    /// The timestamp is too far ahead of this node's clock.
    InFuture,
}

/// A valid key, without quotes.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Parses a header value.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a key of 1 to 255 visible ASCII characters.
    pub fn parse(value: &[u8]) -> Result<Self, KeyError> {
        let inner = unquote(value.trim_ascii())?;
        if inner.is_empty() {
            return Err(KeyError::Empty);
        }
        if inner.len() > MAX_KEY_BYTES {
            return Err(KeyError::TooLong);
        }
        let allowed = |byte: &u8| byte.is_ascii_graphic() && !matches!(byte, b'"' | b'\\');
        if !inner.iter().all(allowed) {
            return Err(KeyError::BadCharacter);
        }
        let text = std::str::from_utf8(inner).map_err(|_| KeyError::BadCharacter)?;
        Ok(Self(text.to_owned()))
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the creation time of a version 7 UUID, in milliseconds since the Unix epoch; none
    /// for any other key.
    pub fn created_at_ms(&self) -> Option<u64> {
        let bytes = self.0.as_bytes();
        if bytes.len() != UUID_TEXT_BYTES || bytes[14] != b'7' {
            return None;
        }
        let dashes = [8, 13, 18, 23];
        let well_formed = bytes.iter().enumerate().all(|(index, byte)| {
            if dashes.contains(&index) { *byte == b'-' } else { byte.is_ascii_hexdigit() }
        });
        let high = u64::from_str_radix(self.0.get(0..8)?, 16).ok()?;
        let low = u64::from_str_radix(self.0.get(9..13)?, 16).ok()?;
        well_formed.then_some(high << 16 | low)
    }

    /// Classifies the timestamp of the key relative to a retention window that ends at `wall_ms`.
    pub fn classify_time(&self, window_ms: u64, wall_ms: u64) -> KeyTime {
        match self.created_at_ms() {
            None => KeyTime::NoTimestamp,
            Some(created_at_ms) if created_at_ms > wall_ms + CLOCK_SKEW_LIMIT_MS => {
                KeyTime::InFuture
            }
            Some(created_at_ms) if created_at_ms.saturating_add(window_ms) < wall_ms => {
                KeyTime::Expired
            }
            Some(_) => KeyTime::InWindow,
        }
    }
}

fn unquote(value: &[u8]) -> Result<&[u8], KeyError> {
    match value {
        [b'"', inner @ .., b'"'] => Ok(inner),
        [b'"', ..] | [.., b'"'] => Err(KeyError::BadCharacter),
        bare => Ok(bare),
    }
}
