//! The check of answers accepts the whole answer and nothing else.

use quickcheck::Gen;
use quickcheck::QuickCheck;

use redwingrill_lab::answer::Owner;
use redwingrill_lab::engine::ChatRequest;

const SEED: u64 = 11;

fn check() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED)).tests(500)
}

fn answer(owner: Owner, tokens: u32) -> String {
    (0..tokens).map(|index| owner.token(index)).collect()
}

#[test]
fn whole_answers_are_accepted() {
    fn property(prompt: String, tokens: u8) -> bool {
        let owner = Owner::of("m", &prompt);
        owner.check(&answer(owner, tokens.into()), tokens.into()).is_ok()
    }
    check().quickcheck(property as fn(String, u8) -> bool);
}

#[test]
fn changed_answers_are_refused() {
    fn property(prompt: String, tokens: u8, place: u16, byte: u8) -> bool {
        let tokens = u32::from(tokens) + 1;
        let owner = Owner::of("m", &prompt);
        let mut text = answer(owner, tokens).into_bytes();
        let place = usize::from(place) % text.len();
        if text[place] == byte {
            return true;
        }
        text[place] = byte;
        String::from_utf8(text).map_or(true, |text| owner.check(&text, tokens).is_err())
    }
    check().quickcheck(property as fn(String, u8, u16, u8) -> bool);
}

#[test]
fn answers_of_other_prompts_and_lengths_are_refused() {
    fn property(prompt: String, other: String, tokens: u8) -> bool {
        let tokens = u32::from(tokens) + 1;
        let (owner, stranger) = (Owner::of("m", &prompt), Owner::of("m", &other));
        let text = answer(owner, tokens);
        let is_cut_refused = owner.check(&text, tokens + 1).is_err();
        is_cut_refused && (prompt == other || stranger.check(&text, tokens).is_err())
    }
    check().quickcheck(property as fn(String, String, u8) -> bool);
}

#[test]
fn broken_requests_never_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        serde_json::from_slice::<ChatRequest>(&bytes).is_err()
    }
    check().quickcheck(property as fn(Vec<u8>) -> bool);
}
