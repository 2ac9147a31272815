//! Making a site's configuration the accepted one.

use snafu::Snafu;

use super::Site;
use super::StandIns;
use super::configuration_text;
use redwingrill_config::ApplyError;
use redwingrill_config::ApplyId;
use redwingrill_config::ApplyRequest;
use redwingrill_config::Faults;
use redwingrill_config::Generation;
use redwingrill_config::apply;
use redwingrill_config::parse_str;
use redwingrill_entity::Names;

/// Why a site's configuration was not accepted.
#[derive(Debug, Snafu)]
pub enum ApplyFailure {
    /// The text has faults.
    #[snafu(display("configuration: {faults}"))]
    Invalid {
        /// The faults.
        faults: Faults,
    },
    /// The platform did not accept it.
    #[snafu(display("configuration: {source}"))]
    Refused {
        /// The cause.
        source: ApplyError,
    },
}

/// Applies the configuration of a site at its platform.
pub async fn apply_site(site: &Site, stand_ins: &StandIns) -> Result<Generation, ApplyFailure> {
    let text = configuration_text(site, stand_ins);
    let mut names = Names::default();
    let state = parse_str("site.ini", &text, &mut names)
        .map_err(|faults| ApplyFailure::Invalid { faults })?;
    let request = ApplyRequest {
        state: &state,
        names: &names,
        apply_id: ApplyId(1),
        expected: None,
        in_force: Generation::default(),
    };
    // The stand-in's own store saves the way over the network, which others tests take.
    let applied = apply(&stand_ins.platform.store, request).await;
    applied.map(|a| a.generation).map_err(|source| ApplyFailure::Refused { source })
}
