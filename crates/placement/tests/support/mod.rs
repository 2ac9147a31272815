//! Prompts, engines and availability for the placement tests.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use rand::SeedableRng;
use rand::rngs::SmallRng;

use redwingrill_entity::DomainId;
use redwingrill_entity::EntityRef;
use redwingrill_entity::ModelId;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::blocks::BLOCK_BYTES;
use redwingrill_placement::blocks::ChainRoot;
use redwingrill_placement::blocks::PromptBlocks;
use redwingrill_placement::blocks::PromptSummary;
use redwingrill_placement::fleet::EngineSpec;
use redwingrill_placement::fleet::EngineStart;
use redwingrill_placement::fleet::Incarnation;
use redwingrill_placement::fleet::WeightsTag;
use redwingrill_placement::placer::Availability;
use redwingrill_placement::placer::Placement;
use redwingrill_placement::placer::PlacementRequest;
use redwingrill_placement::placer::Placer;
use redwingrill_placement::placer::Policy;

/// An availability under which every engine is below its limit.
pub struct AllAvailable;

impl Availability for AllAvailable {
    fn overload(&self, _: UpstreamId) -> Option<f64> {
        Some(0.0)
    }
}

pub fn model() -> ModelId {
    ModelId::from_index(0)
}

pub fn rng() -> SmallRng {
    SmallRng::seed_from_u64(4)
}

pub fn start(incarnation: u64, weights: &str) -> EngineStart {
    EngineStart { incarnation: Incarnation(incarnation), weights: WeightsTag::of(weights) }
}

/// Builds a prompt with one message per part. A part is a name and a length in blocks.
pub fn prompt(account: &str, weights: &str, parts: &[(&str, usize)]) -> PromptSummary {
    let mut blocks = PromptBlocks::new();
    blocks.begin(ChainRoot::new(account, "letters", weights));
    for (name, length) in parts {
        let line = format!("{name:->64}");
        let text = line.repeat(length * BLOCK_BYTES / line.len());
        blocks.push_message("user", &text);
    }
    blocks.finish();
    PromptSummary::from_blocks(&blocks)
}

/// Creates a placer with engines named `e0`, `e1`, ... in three failure domains.
pub fn placer(policy: Policy, engines: usize) -> Placer {
    let names: Vec<String> = (0..engines).map(|index| format!("e{index}")).collect();
    let mut placer = Placer::new(policy);
    placer.set_engines(names.iter().enumerate().map(|(index, name)| EngineSpec {
        upstream: UpstreamId::from_index(index),
        name,
        model: model(),
        domain: DomainId::from_index(index % 3),
    }));
    placer
}

pub fn request<'a>(prompt: &'a PromptSummary, weights: &str) -> PlacementRequest<'a> {
    PlacementRequest {
        model: model(),
        weights: WeightsTag::of(weights),
        prompt,
        output_tokens: 100,
        excluded: &[],
    }
}

pub fn place(placer: &mut Placer, prompt: &PromptSummary, weights: &str, now_ms: u64) -> Placement {
    let placement = placer.place(&request(prompt, weights), &AllAvailable, now_ms, &mut rng());
    placer.verify().expect("invariants hold after placement");
    placement.expect("an engine is available")
}
