//! Golden tests of `/explain` on the administration address, and of the choice that it explains.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use redwingrill::Refusal;
use redwingrill::dispatch::Dispatch;
use redwingrill::dispatch::DispatchOptions;
use redwingrill::dispatch::Dispatcher;
use redwingrill::dispatch::PlannedRequest;
use redwingrill::dispatch::PromptMessage;
use redwingrill::dispatch::ScheduleRequest;
use redwingrill::dispatch::Ticket;
use redwingrill::node::Node;
use redwingrill::operator::ExplainError;
use redwingrill::operator::HttpNodes;
use redwingrill::operator::NodeAdmin;
use redwingrill_codes::ResultCode;
use redwingrill_config::Generation;
use redwingrill_config::Snapshot;
use redwingrill_config::SourceFile;
use redwingrill_config::parse_str;
use redwingrill_entity::Names;
use redwingrill_entity::UpstreamId;
use redwingrill_explain::ExplainQuery;
use redwingrill_transport::Pool;

const SETTINGS: &str = "[node]\nname = entry-1\nlisten = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\n\
                        peer_listen = 127.0.0.1:0\nfailure_domain = one\ndrain_notice = 0 s\n[platform]\nendpoints = 127.0.0.1:1\n";

/// Nothing listens on the addresses of the engines.
const CONFIGURATION: &str = include_str!("cases/explain/site.ini");

fn snapshot() -> Arc<Snapshot> {
    let state = parse_str("site.ini", CONFIGURATION, &mut Names::default());
    Arc::new(Snapshot::new(Generation(1), state.expect("configuration is valid")))
}

async fn run_case(input: &str) -> String {
    let source = SourceFile { name: "node.ini".to_owned(), text: SETTINGS.to_owned() };
    let settings = redwingrill_settings::parse(&source).expect("settings are valid");
    let (_configuration, reader) = watch::channel(snapshot());
    let node = Node::with_configuration(settings, reader).serve().await.expect("ports are free");
    let client = HttpNodes::new(Pool::new());
    let mut output = String::new();
    for line in input.lines() {
        let query = ExplainQuery::decode(line).expect("query is valid");
        let text = match client.explain(node.admin_address(), &query).await {
            Ok(answer) => answer.to_string(),
            Err(ExplainError::Fault(fault)) => format!("{}: {}\n", fault.code(), fault.message),
            Err(ExplainError::Call(reason)) => panic!("{line}: {reason}"),
        };
        writeln!(output, "{line}\n{text}").expect("writes to a string");
    }
    let draining = node.drain(std::future::ready(())).await;
    draining.finish(std::future::pending()).await;
    output
}

/// Guards against answers that name another upstream, limit or fault than the decision has.
#[test]
fn answers_match_golden_files() {
    redwingrill_golden::run_dir("tests/cases/explain", |input| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("runtime starts").block_on(run_case(input))
    });
}

/// Guards against explanations that differ from the decision, and against those that change later
/// decisions.
#[tokio::test(start_paused = true)]
async fn an_explanation_is_the_next_decision_and_does_not_change_it() {
    let snapshot = snapshot();
    let start = || {
        let (configuration, reader) = watch::channel(snapshot.clone());
        let (dispatcher, dispatch) = Dispatch::new(DispatchOptions::default(), reader);
        tokio::spawn(dispatch.run());
        (dispatcher, configuration)
    };
    let ((explained, _reader), (untouched, _other)) = (start(), start());
    let account_named = |name: &str| {
        let mut accounts = snapshot.state.accounts.iter();
        accounts.find(|(_, account)| account.name == name).expect("account is configured").0
    };
    let (limited, unlimited) = (account_named("cafe"), account_named("bistro"));
    let priority = snapshot.priority("checks").expect("priority is configured");
    let model = snapshot.model("assistant").expect("model is configured");
    let (mut tickets, mut seen) = (Vec::new(), Vec::new());
    for number in 0..24 {
        let account = if number % 3 == 2 { limited } else { unlimited };
        // Every fourth prompt is too short for a block, so the choice is random. Two prompts of the
        // limited account exceed its burst.
        let prompt_tokens = match account {
            _ if number % 4 == 0 => 20,
            account if account == limited => 100_000,
            _ => 2_000,
        };
        let planned = PlannedRequest {
            snapshot: &snapshot,
            account,
            priority,
            model,
            prompt_tokens,
            max_tokens: 9,
        };
        let explanation = explained.explain(&planned).await.expect("task is running");
        let text = "\0".repeat(prompt_tokens as usize * 4 - 4);
        let prompt = [PromptMessage { role: "", texts: vec![&text] }];
        let request = ScheduleRequest {
            snapshot: &snapshot,
            account,
            priority,
            model,
            prompt: &prompt,
            max_tokens: 9,
        };
        let (taken, expected) =
            (decide(&explained, &request).await, decide(&untouched, &request).await);
        assert_eq!(outcome(&taken), outcome(&expected), "request {number}");
        let explained_outcome = explanation.decision.map_err(|refusal| refusal.code);
        assert_eq!(explained_outcome, outcome(&taken), "request {number}");
        seen.push(explained_outcome);
        tickets.push((taken, expected));
    }
    assert!(seen.iter().any(|outcome| matches!(outcome, Ok(Some(_)))), "{seen:?}");
    assert!(seen.contains(&Ok(None)), "{seen:?}");
    assert!(seen.contains(&Err(ResultCode::RateLimited)), "{seen:?}");
}

/// Returns the ticket of a request, or none if it waits.
async fn decide(
    dispatcher: &Dispatcher,
    request: &ScheduleRequest<'_>,
) -> Result<Option<Ticket>, Refusal> {
    let admitted = tokio::time::timeout(Duration::from_millis(1), dispatcher.admit(request)).await;
    admitted.map_or(Ok(None), |ticket| ticket.map(Some))
}

fn outcome(decided: &Result<Option<Ticket>, Refusal>) -> Result<Option<UpstreamId>, ResultCode> {
    match decided {
        Ok(ticket) => Ok(ticket.as_ref().map(|ticket| ticket.engine().upstream)),
        Err(refusal) => Err(refusal.code),
    }
}
