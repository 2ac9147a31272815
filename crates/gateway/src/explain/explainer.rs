//! Finds the route and the account of a described request, and asks the dispatch task.

use std::sync::Arc;

use http::StatusCode;
use tokio::sync::watch;

use super::wire::quota_answer;
use super::wire::service_answer;
use crate::cluster_view::ClusterView;
use crate::dispatch::Dispatcher;
use crate::forward::PlannedCall;
use redwingrill_codes::ResultCode;
use redwingrill_explain::AccountAnswer;
use redwingrill_explain::Answer;
use redwingrill_explain::ExplainFault;
use redwingrill_explain::ExplainQuery;
use redwingrill_explain::PartQuery;
use redwingrill_explain::ShareAnswer;
use redwingrill_routing::ClientAccount;
use redwingrill_routing::Configuration;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::PartId;
use redwingrill_routing::PromptPart;
use redwingrill_routing::Route;

/// The identifier of the private part that fills up a described prompt.
const PRIVATE_PART: PartId = PartId(u64::MAX);

/// Explains the decisions of one node.
#[derive(Clone, Debug)]
pub struct Explainer {
    /// The name of the node.
    pub node: String,
    /// The view of the store.
    pub view: watch::Receiver<Arc<ClusterView>>,
    /// The dispatch task.
    pub dispatcher: Dispatcher,
}

impl Explainer {
    /// Answers a query of a URI, with JSON in any case.
    pub async fn answer(&self, query: &str) -> (StatusCode, Vec<u8>) {
        match self.explain(query).await {
            Ok(answer) => {
                let json = serde_json::to_vec(&answer).expect("an answer has only string keys");
                (StatusCode::OK, json)
            }
            Err(fault) => {
                let status = StatusCode::from_u16(fault.code().info().http_status);
                let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
                (status, fault.to_json().into_bytes())
            }
        }
    }

    async fn explain(&self, query: &str) -> Result<Answer, ExplainFault> {
        let query = ExplainQuery::decode(query)
            .map_err(|error| ExplainFault::new(ResultCode::BadRequest, error.to_string()))?;
        let view = self.view.borrow().clone();
        let configuration = view.configuration.as_ref().ok_or_else(|| {
            ExplainFault::new(ResultCode::NotReady, "the node has no configuration yet")
        })?;
        let route = find_route(configuration, &query)?;
        let account = find_account(configuration, &query)?;
        let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
        let name = account.map(|account| account.name.as_str());
        let mut services = Vec::new();
        for share in &route.shares {
            let call = PlannedCall {
                route: route.clone(),
                service: share.service.clone(),
                account: account.cloned(),
                prompt: prompt_of(configuration, &share.service, &query)?.map(Arc::new),
                audience: configuration.cache_audience(name),
            };
            let has_prompt = call.prompt.is_some();
            let view = self.dispatcher.explain(call.schedule_request()).await;
            let view = view
                .ok_or_else(|| ExplainFault::new(ResultCode::Draining, "the node is stopping"))?;
            let fraction = f64::from(share.weight) / total.max(1) as f64;
            services.push(service_answer(&share.service, fraction, has_prompt, &view));
        }
        Ok(Answer {
            node: self.node.clone(),
            route: route.name.clone(),
            account: account.map(|account| account_answer(account, &query)),
            services,
        })
    }
}

fn find_route<'a>(
    configuration: &'a Configuration,
    query: &ExplainQuery,
) -> Result<&'a Arc<Route>, ExplainFault> {
    let host = query.host.as_deref().unwrap_or_default();
    let (route, wanted) = match (&query.route, &query.path) {
        (Some(name), _) => (configuration.route_named(name), name.clone()),
        (None, path) => {
            let path = path.as_deref().unwrap_or_default();
            (configuration.route(host, path), format!("{host}{path}"))
        }
    };
    route.ok_or_else(|| ExplainFault::new(ResultCode::RouteUnknown, format!("no route {wanted}")))
}

fn find_account<'a>(
    configuration: &'a Configuration,
    query: &ExplainQuery,
) -> Result<Option<&'a ClientAccount>, ExplainFault> {
    let Some(name) = &query.account else { return Ok(None) };
    let account = configuration.accounts().iter().find(|account| account.name == *name);
    let fault = || ExplainFault::new(ResultCode::AccountUnknown, format!("no account {name}"));
    account.map(Some).ok_or_else(fault)
}

/// Returns the prompt of a request for a service. Without a model, the only one of the service is
/// meant.
fn prompt_of(
    configuration: &Configuration,
    service: &str,
    query: &ExplainQuery,
) -> Result<Option<DeclaredPrompt>, ExplainFault> {
    let Some(prompt_tokens) = query.prompt_tokens() else { return Ok(None) };
    let engine = configuration.service(service).and_then(|service| service.engine.as_ref());
    let models = engine.map_or(&[][..], |engine| engine.models.as_slice());
    let model = match (&query.model, models) {
        (Some(model), _) if models.contains(model) || engine.is_none() => model,
        (None, [only]) => only,
        (Some(model), _) => {
            let message = format!("service {service} has no model {model}");
            return Err(ExplainFault::new(ResultCode::ModelUnknown, message));
        }
        (None, _) => {
            let message = format!("model: required, service {service} has {}", models.len());
            return Err(ExplainFault::new(ResultCode::BadRequest, message));
        }
    };
    let part = |part: &PartQuery| PromptPart { id: PartId(part.id), tokens: part.tokens };
    let mut parts: Vec<PromptPart> = query.parts.iter().map(part).collect();
    let known = parts.iter().fold(0u32, |sum, part| sum.saturating_add(part.tokens));
    if known < prompt_tokens {
        parts.push(PromptPart { id: PRIVATE_PART, tokens: prompt_tokens - known });
    }
    let output_tokens_limit = query.output_tokens.unwrap_or_default();
    Ok(Some(DeclaredPrompt { model: model.clone(), prompt_tokens, output_tokens_limit, parts }))
}

fn account_answer(account: &ClientAccount, query: &ExplainQuery) -> AccountAnswer {
    let quota = account.quota;
    AccountAnswer {
        name: account.name.clone(),
        quota: quota.map(|quota| quota_answer(quota, query)),
        share: quota.map(|quota| ShareAnswer { weight: Some(quota.rate_per_s), usage: None }),
    }
}
