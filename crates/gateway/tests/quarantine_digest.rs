//! The size of what nodes tell each other about suspect parts.

use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::PartId;
use redwingrill_routing::PromptPart;
use redwingrill_scheduling::fleet::UpstreamTag;
use redwingrill_scheduling::quarantine::BrokenAttempt;
use redwingrill_scheduling::quarantine::CompletedAttempt;
use redwingrill_scheduling::quarantine::PartKey;
use redwingrill_scheduling::quarantine::Quarantine;
use redwingrill_scheduling::quarantine::RequestTag;

/// Half of the limit of a datagram, which the load digest shares.
const SIZE_LIMIT_BYTES: usize = 4 << 10;

fn prompt(first: u64, parts: u64) -> DeclaredPrompt {
    let parts = (0..parts).map(|n| PromptPart { id: PartId(u64::MAX - first - n), tokens: 9 });
    DeclaredPrompt { model: "m".to_owned(), parts: parts.collect(), ..DeclaredPrompt::default() }
}

fn digest_bytes(parts: u64) -> usize {
    let mut quarantine = Quarantine::default();
    for n in 0..2_000 {
        let prompt = prompt(n * parts / 2, parts);
        let engine = UpstreamTag(u32::MAX - n as u32 / 8);
        let request = RequestTag::of(&prompt);
        let parts = PartKey::shared_parts("llm", &prompt);
        let completed = CompletedAttempt { engine, parts: &parts, sent_ms: 1_000 };
        quarantine.record_completed(&completed, 10_000 + n);
        let broken = BrokenAttempt { engine, request, parts: &parts, sent_ms: 1_000 };
        quarantine.record_broken(("llm", "m"), &broken, 10_000 + n);
    }
    let held: Vec<PartKey> = PartKey::shared_parts("llm", &prompt(0, 200));
    quarantine.set_listed(&held, 12_000);
    quarantine.verify().expect("the tables are within their bounds");
    let digest = quarantine.digest(12_100);
    assert!(!digest.suspects.is_empty() && !digest.quarantined.is_empty());
    postcard::to_allocvec(&digest).expect("a digest always serializes").len()
}

#[test]
fn digest_outgrows_its_datagram() {
    for parts in [2, 4, 33, 200] {
        let bytes = digest_bytes(parts);
        assert!(bytes <= SIZE_LIMIT_BYTES, "{parts} parts: {bytes} bytes");
    }
}
