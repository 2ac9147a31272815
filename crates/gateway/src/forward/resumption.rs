//! Streams that callers take up again after a broken connection.
//!
//! Such a request may arrive at any node. The stream goes on only at the service and the software
//! version that began it; a node that cannot find these out refuses, and the caller may begin anew.

use log::info;

use super::GatewayContext;
use super::call::Call;
use crate::clock::now_ms;
use crate::cluster_view::ClusterView;
use redwingrill_codes::Refusal;
use redwingrill_codes::ResultCode;
use redwingrill_routing::RouteKind;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamState;
use redwingrill_scheduling::stream_origins::OriginResolution;
use redwingrill_scheduling::stream_origins::OriginSource;
use redwingrill_scheduling::stream_origins::StreamOrigin;

/// Returns whether a caller takes a stream up again.
pub(super) fn is_resumption(call: &Call) -> bool {
    call.route.kind.is_stream() && call.metadata.last_event_id.is_some()
}

/// Records where a stream began whose first events are about to be forwarded, if it may be resumed.
pub(super) fn record_origin(context: &GatewayContext, call: &Call, upstream: &Upstream) {
    let id = origin_id(call);
    if call.route.kind != (RouteKind::Stream { is_resumable: true }) || id.is_empty() {
        return;
    }
    let (service, software) = (upstream.service.clone(), upstream.software.clone());
    context.dispatcher.record_stream(id, StreamOrigin { service, software });
}

/// Binds a request to the service and the software version that began its stream.
///
/// # Errors
///
/// The refusal if these are not known, or if no engine has the version any more.
pub(super) async fn bind_to_origin(
    context: &GatewayContext,
    call: &mut Call,
) -> Result<(), Refusal> {
    let origin = resumed_origin(context, call).await?;
    call.service = origin.service;
    call.software = origin.software;
    Ok(())
}

/// Finds out where the stream began that a request takes up again.
async fn resumed_origin(context: &GatewayContext, call: &Call) -> Result<StreamOrigin, Refusal> {
    let asked_ms = now_ms();
    let (source, origin) = match recorded_origin(context, call).await {
        Some(origin) => ("record", Some(origin)),
        None => match context.dispatcher.find_stream(origin_id(call)).await {
            OriginResolution::Known { origin, source: OriginSource::Own } => ("own", Some(origin)),
            OriginResolution::Known { origin, source: OriginSource::Owners } => {
                ("owners", Some(origin))
            }
            OriginResolution::Unknown { is_contradicted: true } => ("contradicted", None),
            OriginResolution::Unknown { is_contradicted: false } => ("unknown", None),
        },
    };
    let software = origin.as_ref().and_then(|origin| origin.software.as_ref());
    info!(
        "event=resumption request_id={} resumes={:?} origin={source} software={} waited_ms={}",
        call.metadata.id,
        call.metadata.resumes,
        software.map_or("-", |software| software.0.as_str()),
        now_ms().saturating_sub(asked_ms),
    );
    let checked = match origin {
        Some(origin) => check_origin(origin, call, &context.view.borrow()),
        None => Err(Refusal::new(ResultCode::StreamOriginUnknown)),
    };
    let outcome = checked.as_ref().map_or_else(|refusal| refusal.code.info().name, |_| "bound");
    context.metrics.resumption(source, outcome);
    checked
}

/// Returns an origin if the stream can go on there.
fn check_origin(
    origin: StreamOrigin,
    call: &Call,
    view: &ClusterView,
) -> Result<StreamOrigin, Refusal> {
    let gone = |detail: String| Refusal::with_detail(ResultCode::StreamVersionGone, detail);
    if !call.route.shares.iter().any(|share| share.service == origin.service) {
        return Err(gone(format!("the route no longer leads to service {}", origin.service)));
    }
    let upstreams = view.upstreams.iter().filter(|upstream| upstream.service == origin.service);
    let mut ready = upstreams.filter(|upstream| upstream.state == UpstreamState::Ready);
    let Some(software) = &origin.software else {
        // Engines that state no version may differ, but nothing tells them apart.
        return match ready.all(|upstream| upstream.software.is_none()) {
            true => Ok(origin),
            false => Err(gone("the stream began before engines stated their version".to_owned())),
        };
    };
    if !ready.any(|upstream| upstream.software.as_ref() == Some(software)) {
        return Err(gone(format!("no engine has software {software}")));
    }
    Ok(origin)
}

/// Returns the origin of a stream if only one version can have begun it, whatever the stream. The store
/// is asked, as this node's view of the record may be older than the stream.
async fn recorded_origin(context: &GatewayContext, call: &Call) -> Option<StreamOrigin> {
    let [share] = call.route.shares.as_slice() else { return None };
    let service = &share.service;
    context.view.borrow().software_records.get(service)?.only_version()?;
    let software = context.software.only_version(service).await?;
    Some(StreamOrigin { service: service.clone(), software: Some(software) })
}

/// Returns the identifier of the attempt that began the stream of a request. A caller that names none
/// may have kept its identifier.
fn origin_id(call: &Call) -> &str {
    let resumes = call.metadata.resumes.as_deref();
    resumes.filter(|_| is_resumption(call)).unwrap_or(&call.metadata.id)
}
