//! Where a request would go, for operators.

use std::sync::Arc;

use super::Inspector;
use crate::Refusal;
use crate::completions::DEFAULT_MAX_TOKENS;
use crate::dispatch::DispatchExplanation;
use crate::dispatch::EngineClosure;
use crate::dispatch::EngineOption;
use crate::dispatch::PlannedRequest;
use crate::http::COMPLETIONS;
use crate::http::SERVICES;
use crate::services::TargetStanding;
use redwingrill_codes::ResultCode;
use redwingrill_config::Account;
use redwingrill_config::Service;
use redwingrill_config::Snapshot;
use redwingrill_config::Upstream;
use redwingrill_entity::AccountId;
use redwingrill_entity::UpstreamId;
use redwingrill_explain::AccountAnswer;
use redwingrill_explain::Answer;
use redwingrill_explain::CostComponent;
use redwingrill_explain::DecisionAnswer;
use redwingrill_explain::ExplainFault;
use redwingrill_explain::ExplainQuery;
use redwingrill_explain::Outcome;
use redwingrill_explain::QueueAnswer;
use redwingrill_explain::QuotaAnswer;
use redwingrill_explain::ServiceAnswer;
use redwingrill_explain::ShareAnswer;
use redwingrill_explain::Standing;
use redwingrill_explain::UpstreamAnswer;
use redwingrill_explain::rounded_ms;

/// The maximum length of a described prompt, which is hashed: 4 MiB of text.
const PROMPT_TOKENS_LIMIT: u32 = 1 << 20;

impl Inspector {
    /// Explains where a request would go that the query of a URI describes. A route is a model or a
    /// service.
    ///
    /// # Errors
    ///
    /// Fails if the query is not valid, or names something that is not configured.
    pub async fn explain(&self, query: &str) -> Result<Answer, ExplainFault> {
        let query = ExplainQuery::decode(query)
            .map_err(|error| ExplainFault::new(ResultCode::BadRequest, error.to_string()))?;
        if !self.is_configured() {
            let message = "the node has no configuration yet";
            return Err(ExplainFault::new(ResultCode::NotReady, message));
        }
        let snapshot = self.configuration.borrow().clone();
        let account = find_account(&snapshot, &query)?;
        let name = route_name(&query)?;
        let service = snapshot.service(&name).and_then(|id| snapshot.state.services.get(id));
        let (services, account) = match service {
            Some(service) => {
                let answer = self.explain_service(&snapshot, service);
                let account = account.map(|(_, account)| account_answer(account, None));
                (vec![answer], account)
            }
            None => {
                let (id, account) = account.ok_or_else(|| {
                    let message = "account: required for a model";
                    ExplainFault::new(ResultCode::BadRequest, message)
                })?;
                let explained = self.explain_model(&snapshot, &name, (id, account), &query);
                let explained = explained.await?;
                let account = account_answer(account, Some(explained.cost_tokens));
                (vec![model_answer(&snapshot, &name, &explained)], Some(account))
            }
        };
        Ok(Answer { node: self.name.clone(), route: name, account, services })
    }

    async fn explain_model(
        &self,
        snapshot: &Arc<Snapshot>,
        name: &str,
        (id, account): (AccountId, &Account),
        query: &ExplainQuery,
    ) -> Result<DispatchExplanation, ExplainFault> {
        let unknown = || {
            let message = format!("no model or service {name}");
            ExplainFault::new(ResultCode::RouteUnknown, message)
        };
        let model = snapshot.model(name).ok_or_else(unknown)?;
        if !query.parts.is_empty() {
            let message = "parts: callers of a model declare no parts; give the prompt tokens";
            return Err(ExplainFault::new(ResultCode::BadRequest, message));
        }
        let prompt_tokens = query.prompt_tokens.unwrap_or_default();
        if prompt_tokens > PROMPT_TOKENS_LIMIT {
            let message = format!("prompt_tokens: more than {PROMPT_TOKENS_LIMIT}");
            return Err(ExplainFault::new(ResultCode::BadRequest, message));
        }
        let priority = account.priorities.first().copied().ok_or_else(|| {
            let message = format!("account {} has no priority", account.name);
            ExplainFault::new(ResultCode::PriorityUnknown, message)
        })?;
        let request = PlannedRequest {
            snapshot,
            account: id,
            priority,
            model,
            prompt_tokens,
            max_tokens: query.output_tokens.map_or(DEFAULT_MAX_TOKENS, u64::from),
        };
        let explained = self.dispatcher.explain(&request).await;
        explained.ok_or_else(|| ExplainFault::new(ResultCode::Draining, "the node is stopping"))
    }

    fn explain_service(&self, snapshot: &Snapshot, service: &Service) -> ServiceAnswer {
        let standings = self.services.standings(snapshot, service);
        let is_open =
            |(_, standing): &(UpstreamId, TargetStanding)| *standing != TargetStanding::Closed;
        let mut open = standings.iter().filter(|known| is_open(known));
        let decision = match (open.next(), open.next()) {
            (None, _) => refusal_answer(&Refusal::new(ResultCode::NoUpstream)),
            (Some((only, _)), None) => send_answer(upstream_name(snapshot, *only)),
            _ => send_answer(None),
        };
        let upstreams = standings.iter().filter_map(|(id, standing)| {
            let upstream = snapshot.state.upstreams.get(*id)?;
            let (standing, reason) = match standing {
                TargetStanding::First => (Standing::Compared, None),
                TargetStanding::Last => (Standing::Passed, Some("failed a moment ago")),
                TargetStanding::Closed => (Standing::Ineligible, Some("drained or leaving")),
            };
            Some(upstream_answer(upstream, standing, reason))
        });
        service_answer(&service.name, decision, upstreams.collect())
    }
}

fn find_account<'a>(
    snapshot: &'a Snapshot,
    query: &ExplainQuery,
) -> Result<Option<(AccountId, &'a Account)>, ExplainFault> {
    let Some(name) = &query.account else { return Ok(None) };
    let mut accounts = snapshot.state.accounts.iter();
    let found = accounts.find(|(_, account)| account.name == *name);
    let fault = || ExplainFault::new(ResultCode::AccountUnknown, format!("no account {name}"));
    found.map(|(id, account)| Some((id, &**account))).ok_or_else(fault)
}

/// Returns the model or service of a query.
fn route_name(query: &ExplainQuery) -> Result<String, ExplainFault> {
    if let Some(name) = &query.route {
        return Ok(name.clone());
    }
    let path = query.path.as_deref().unwrap_or_default();
    if path == COMPLETIONS {
        return query.model.clone().ok_or_else(|| {
            ExplainFault::new(ResultCode::BadRequest, "model: required for this path")
        });
    }
    let service = path.strip_prefix(SERVICES).and_then(|rest| rest.split(['/', '?']).next());
    let fault = || ExplainFault::new(ResultCode::RouteUnknown, format!("no route {path}"));
    service.filter(|name| !name.is_empty()).map(str::to_owned).ok_or_else(fault)
}

fn account_answer(account: &Account, cost_tokens: Option<u64>) -> AccountAnswer {
    let quota = cost_tokens.filter(|_| account.tokens_per_s_limit > 0);
    AccountAnswer {
        name: account.name.clone(),
        quota: quota.map(|cost| QuotaAnswer {
            rate_per_s: account.tokens_per_s_limit,
            burst: None,
            unit: "tokens".to_owned(),
            cost,
            available: None,
        }),
        share: cost_tokens
            .map(|_| ShareAnswer { weight: Some(account.weight.into()), usage: None }),
    }
}

fn model_answer(snapshot: &Snapshot, name: &str, explained: &DispatchExplanation) -> ServiceAnswer {
    let decision = match &explained.decision {
        Ok(Some(upstream)) => send_answer(upstream_name(snapshot, *upstream)),
        Ok(None) => decision_answer(Outcome::Wait),
        Err(refusal) => refusal_answer(refusal),
    };
    let model = snapshot.model(name);
    let upstreams = snapshot.state.upstreams.iter();
    let of_model = upstreams.filter(|(_, upstream)| model.is_some() && upstream.model == model);
    let engines = of_model.map(|(id, upstream)| {
        let engine = explained.engines.iter().find(|engine| engine.upstream == id);
        match engine {
            Some(engine) => engine_answer(upstream, engine),
            None => upstream_answer(upstream, Standing::Ineligible, Some("drained")),
        }
    });
    ServiceAnswer {
        queue: explained.queue.map(|queue| QueueAnswer {
            waiting: queue.waiting,
            limit: queue.limit,
            expected_wait_ms: Some(queue.expected_wait_ms),
            wait_limit_ms: None,
        }),
        ..service_answer(name, decision, engines.collect())
    }
}

fn engine_answer(upstream: &Upstream, engine: &EngineOption) -> UpstreamAnswer {
    let (standing, reason) = match (engine.closure, engine.cost) {
        (Some(EngineClosure::Leaving), _) => (Standing::Ineligible, Some("leaving")),
        (Some(EngineClosure::Health), _) => (Standing::Ineligible, Some("health")),
        (Some(EngineClosure::Refused), _) => (Standing::Ineligible, Some("refused a moment ago")),
        (Some(EngineClosure::Full), _) => (Standing::Full, Some("slots")),
        (None, Some(_)) => (Standing::Compared, None),
        (None, None) if engine.is_available => (Standing::Passed, None),
        (None, None) => (Standing::Full, Some("limit")),
    };
    let costs = engine.cost.map_or(Vec::new(), |cost| {
        let components = [
            ("prefill", cost.prefill_ms),
            ("wait", cost.wait_ms),
            ("requests", cost.requests_ms),
            ("overload", cost.overload_ms),
        ];
        let component =
            |(name, ms): (&str, f64)| CostComponent { name: name.to_owned(), ms: rounded_ms(ms) };
        components.into_iter().map(component).collect()
    });
    UpstreamAnswer {
        costs,
        cost_ms: engine.cost.map(|cost| rounded_ms(cost.total_ms())),
        load: Some(engine.in_flight),
        slots: Some(engine.limit as u32),
        ..upstream_answer(upstream, standing, reason)
    }
}

fn service_answer(
    name: &str,
    decision: DecisionAnswer,
    upstreams: Vec<UpstreamAnswer>,
) -> ServiceAnswer {
    ServiceAnswer {
        service: name.to_owned(),
        share: 1.0,
        is_long: None,
        is_late: false,
        coordinator: None,
        decision,
        queue: None,
        noise_ms: 0.0,
        upstreams,
    }
}

fn upstream_answer(
    upstream: &Upstream,
    standing: Standing,
    reason: Option<&str>,
) -> UpstreamAnswer {
    UpstreamAnswer {
        id: upstream.name.clone(),
        address: upstream.address,
        failure_domain: upstream.domain.to_string(),
        standing,
        reason: reason.map(str::to_owned),
        costs: Vec::new(),
        cost_ms: None,
        load: None,
        slots: None,
        pending_prefill_ms: None,
        reserved_tokens: None,
        weights_version: None,
        time_factor: None,
        marks: Vec::new(),
    }
}

fn decision_answer(outcome: Outcome) -> DecisionAnswer {
    DecisionAnswer { outcome, upstream: None, reason: None, retry_after_ms: None }
}

fn send_answer(upstream: Option<String>) -> DecisionAnswer {
    DecisionAnswer { upstream, ..decision_answer(Outcome::Send) }
}

fn refusal_answer(refusal: &Refusal) -> DecisionAnswer {
    DecisionAnswer {
        reason: Some(refusal.code.info().name.replace('_', " ")),
        retry_after_ms: refusal.retry_after_ms,
        ..decision_answer(Outcome::Refuse)
    }
}

fn upstream_name(snapshot: &Snapshot, id: UpstreamId) -> Option<String> {
    snapshot.state.upstreams.get(id).map(|upstream| upstream.name.clone())
}
