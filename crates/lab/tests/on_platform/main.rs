//! Nodes on the platform's adapter against stand-ins that speak the platform's protocol.

mod close_delimited;
mod early_answers;
mod explain;
mod failures;
mod isolation;
mod kept_connections;
mod late_copies;
mod late_writes;
mod left_callers;
mod malformed;
mod news;
mod quarantine;
mod quotas;
mod requests;
mod restored;
mod resumptions;
mod rollout;
mod signals;
mod site;
mod slow_bodies;
mod software_versions;
mod stand_ins;
mod stops;
