//! The log lines of changes.

use log::info;
use log::warn;

use redwingrill_scheduling::quarantine::PartKey;
use redwingrill_scheduling::quarantine::QuarantineEvent;
use redwingrill_scheduling::quarantine::Source;

/// Logs a change and returns its name for the metrics.
pub(crate) fn log_event(event: &QuarantineEvent) -> &'static str {
    match event {
        QuarantineEvent::Suspected { parts, after_ms } => {
            let parts: Vec<String> = parts.iter().map(PartKey::to_string).collect();
            info!("event=parts_suspected parts={} after_ms={after_ms}", parts.join(","));
            "suspected"
        }
        QuarantineEvent::Cleared { part } => {
            info!("event=part_cleared part={part}");
            "cleared"
        }
        QuarantineEvent::Quarantined { held, engines, requests } => {
            let source = match held.source {
                Source::Own => "own",
                Source::Peer => "peer",
                Source::Store => "store",
            };
            let (service, model) = held
                .scope
                .as_ref()
                .map_or(("-", "-"), |(service, model)| (service.as_str(), model.as_str()));
            warn!(
                "event=part_quarantined part={} source={source} service={service} model={model} \
                 generations={} engines={engines} requests={requests}",
                held.part, held.generations,
            );
            "quarantined"
        }
        QuarantineEvent::Lifted { part } => {
            info!("event=part_released part={part}");
            "released"
        }
    }
}
