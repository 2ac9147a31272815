//! Tests of block hashes and prefix levels.

use quickcheck::Gen;
use quickcheck::QuickCheck;

use redwingrill_placement::blocks::BLOCK_BYTES;
use redwingrill_placement::blocks::ChainRoot;
use redwingrill_placement::blocks::MAX_LEVELS;
use redwingrill_placement::blocks::PromptBlocks;

const SEED: u64 = 4;

fn root() -> ChainRoot {
    ChainRoot::new("krítartafla", "letters", "v1")
}

fn blocks_of(root: ChainRoot, messages: &[(&str, String)]) -> PromptBlocks {
    let mut blocks = PromptBlocks::new();
    blocks.begin(root);
    for (role, content) in messages {
        blocks.push_message(role, content);
    }
    blocks.finish();
    blocks
}

fn text(fill: &str, blocks: usize) -> String {
    fill.repeat(blocks * BLOCK_BYTES / fill.len())
}

#[test]
fn hashes_depend_on_account_model_and_weights() {
    struct Case {
        salt: &'static str,
        model: &'static str,
        weights: &'static str,
    }
    let cases = [
        Case { salt: "other", model: "letters", weights: "v1" },
        Case { salt: "krítartafla", model: "other", weights: "v1" },
        Case { salt: "krítartafla", model: "letters", weights: "v2" },
        Case { salt: "krítartaflal", model: "etters", weights: "v1" },
    ];
    let messages = [("system", text("abcd", 20))];
    let reference = blocks_of(root(), &messages);
    for case in cases {
        let other = blocks_of(ChainRoot::new(case.salt, case.model, case.weights), &messages);
        assert!(reference.hashes().iter().all(|hash| !other.hashes().contains(hash)));
    }
}

#[test]
fn prompts_share_hashes_of_their_common_prefix_only() {
    let book = ("system", text("book", 40));
    let one = blocks_of(root(), &[book.clone(), ("user", text("one!", 5))]);
    let two = blocks_of(root(), &[book, ("user", text("two!", 5))]);
    let shared = one.hashes().iter().zip(two.hashes()).take_while(|(a, b)| a == b).count();
    assert_eq!(shared, 40);
    assert!(one.hashes()[shared..].iter().all(|hash| !two.hashes().contains(hash)));
}

#[test]
fn levels_are_message_ends_then_doubling_positions() {
    struct Case {
        message_blocks: &'static [usize],
        levels: &'static [u32],
    }
    let cases = [
        Case { message_blocks: &[], levels: &[] },
        Case { message_blocks: &[4], levels: &[4] },
        Case { message_blocks: &[100, 10, 2], levels: &[8, 16, 32, 64, 100, 110, 112] },
        Case { message_blocks: &[300], levels: &[8, 16, 32, 64, 128, 256, 300] },
        Case { message_blocks: &[2; 12], levels: &[2, 4, 6, 8, 10, 20, 22, 24] },
    ];
    for case in cases {
        let messages: Vec<_> =
            case.message_blocks.iter().map(|&blocks| ("user", text("word", blocks))).collect();
        let blocks = blocks_of(root(), &messages);
        let levels: Vec<u32> = blocks.levels().iter().map(|level| level.blocks).collect();
        assert_eq!(levels, case.levels);
    }
}

#[test]
fn hashes_and_levels_keep_their_invariants_for_any_prompt() {
    fn keeps_invariants(contents: Vec<String>, repeat: u8) -> bool {
        let messages: Vec<_> =
            contents.iter().map(|content| ("user", content.repeat(repeat.into()))).collect();
        let blocks = blocks_of(root(), &messages);
        let whole: usize = messages.iter().map(|(role, text)| role.len() + text.len() + 2).sum();
        let levels = blocks.levels();
        let hashes_match =
            levels.iter().all(|level| blocks.hashes()[level.blocks as usize - 1] == level.hash);
        blocks.hashes().len() == whole / BLOCK_BYTES
            && levels.len() <= MAX_LEVELS
            && levels.windows(2).all(|pair| pair[0].blocks < pair[1].blocks)
            && hashes_match
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(200)
        .quickcheck(keeps_invariants as fn(Vec<String>, u8) -> bool);
}

#[test]
fn reused_context_drops_the_previous_prompt() {
    let mut blocks = blocks_of(root(), &[("system", text("long", 50))]);
    let fresh = blocks_of(root(), &[("user", text("short", 3))]);
    blocks.begin(root());
    blocks.push_message("user", &text("short", 3));
    blocks.finish();
    assert_eq!(blocks.hashes(), fresh.hashes());
    assert_eq!(blocks.levels(), fresh.levels());
    assert_eq!(blocks.tokens(), fresh.tokens());
}
