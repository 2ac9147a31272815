//! The deterministic answer of the engine stand-in.
//!
//! Token K of an answer is `tK-OWNER `, where the owner is a hash of the model and of the messages
//! being answered. A whole answer can so be checked for its owner, its order and its length, also
//! when several engines produced it.

use snafu::Snafu;
use xxhash_rust::xxh3::xxh3_64;

/// The hash that ties each token to its request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Owner(u32);

/// What is wrong with an answer.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub enum AnswerFault {
    /// A token is not the one due.
    #[snafu(display("token {index} is {found:?}, expected {expected:?}"))]
    Token {
        /// The place in the answer.
        index: u32,
        /// What stands there.
        found: String,
        /// What should stand there.
        expected: String,
    },
    /// The answer has another number of tokens.
    #[snafu(display("{found} tokens, expected {expected}"))]
    Length {
        /// The tokens of the answer.
        found: u32,
        /// The tokens expected.
        expected: u32,
    },
}

impl Owner {
    /// Hashes the model and the rendered messages that are answered.
    pub fn of(model: &str, rendered_messages: &str) -> Self {
        let model_hash = xxh3_64(model.as_bytes());
        let hash = xxh3_64(rendered_messages.as_bytes()) ^ model_hash.rotate_left(1);
        // The upper half alone keeps tokens short.
        Self((hash >> 32) as u32)
    }

    /// Returns the text of one token.
    pub fn token(self, index: u32) -> String {
        format!("t{index}-{:08x} ", self.0)
    }

    /// Checks that `text` is the whole answer of so many tokens.
    pub fn check(self, text: &str, tokens: u32) -> Result<(), AnswerFault> {
        let mut found = 0;
        for part in text.split_inclusive(' ') {
            let expected = self.token(found);
            if part != expected {
                return Err(AnswerFault::Token { index: found, found: part.to_owned(), expected });
            }
            found += 1;
        }
        if found != tokens {
            return Err(AnswerFault::Length { found, expected: tokens });
        }
        Ok(())
    }
}

/// Counts the tokens of a part of an answer.
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}
