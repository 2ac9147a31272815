//! What callers and upstreams saw against what the pages promise.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;

use super::callers::Asked;
use super::callers::body;
use super::callers::target;
use super::site::Kind;
use crate::on_platform::StreamText;
use crate::site_upstream::EVENTS;
use crate::site_upstream::SeenRequest;

/// The statuses that promise that the request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A promise that did not hold.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Finding {
    /// Which promise.
    pub rule: &'static str,
    /// The request, if it is about one, and what was seen.
    pub seen: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.seen)
    }
}

/// Checks all requests. `seen` is what the upstreams saw, all together.
pub fn check(asked: &[Asked], seen: &[SeenRequest]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let by_id: HashMap<&str, &Asked> = asked.iter().map(|a| (a.id.as_str(), a)).collect();
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for request in seen {
        let id = request.header("x-request-id").unwrap_or_default();
        match by_id.get(id) {
            Some(asked) => findings.extend(altered(asked, request)),
            None => findings.push(Finding { rule: "unasked", seen: format!("id {id:?}") }),
        }
        *runs.entry(id).or_default() += u32::from(request.has_run);
    }
    for one in asked {
        let runs = runs.get(one.id.as_str()).copied().unwrap_or(0);
        findings.extend(repeated(one, runs));
        findings.extend(untrue_refusal(one, runs));
        findings.extend(mixed(one));
    }
    findings.extend(join_attempts(asked).values().filter_map(joined));
    findings
}

/// A stream as its caller received it, over all attempts.
#[derive(Clone, Debug)]
pub(super) struct JoinedStream<'a> {
    attempts: Vec<&'a Asked>,
    text: StreamText,
}

impl JoinedStream<'_> {
    /// Returns whether the caller took it up after an interruption.
    pub fn is_taken_up(&self) -> bool {
        self.attempts.len() > 1
    }

    /// Returns whether all of its events came once, in order.
    pub fn is_whole(&self) -> bool {
        self.text.ids().eq(1..=EVENTS)
    }
}

/// Joins the attempts of each stream, by the one that began it.
pub(super) fn join_attempts(asked: &[Asked]) -> BTreeMap<&str, JoinedStream<'_>> {
    let mut streams: BTreeMap<&str, JoinedStream<'_>> = BTreeMap::new();
    for one in asked.iter().filter(|one| one.kind.is_stream()) {
        let first = one.resumes.as_ref().unwrap_or(&one.id);
        let empty = JoinedStream { attempts: Vec::new(), text: StreamText::default() };
        let stream = streams.entry(first).or_insert(empty);
        stream.attempts.push(one);
        if let Some(answer) = &one.answer {
            stream.text.append(answer.events.clone());
        }
    }
    streams
}

/// What two versions of the software wrote does not fit together.
fn joined(stream: &JoinedStream<'_>) -> Option<Finding> {
    let software = stream.text.software();
    if software.len() < 2 {
        return None;
    }
    let within = stream
        .attempts
        .iter()
        .find(|one| one.answer.as_ref().is_some_and(|answer| answer.events.software().len() > 1));
    let (one, place) = match within {
        Some(one) => (one, "within an answer"),
        None => (stream.attempts.last()?, "over attempts"),
    };
    Some(finding("joined versions", one, format!("{software:?} {place}")))
}

fn finding(rule: &'static str, asked: &Asked, seen: impl fmt::Display) -> Finding {
    Finding { rule, seen: format!("{} {}: {seen}", asked.kind.route(), asked.id) }
}

fn altered(asked: &Asked, request: &SeenRequest) -> Option<Finding> {
    let is_same = request.target == target(asked.kind)
        && request.body == body(&asked.id)
        && request.header("x-tenant") == Some("cafe")
        && request.header("authorization").is_none();
    (!is_same).then(|| finding("altered", asked, format!("{request:?}")))
}

fn repeated(asked: &Asked, runs: u32) -> Option<Finding> {
    let is_repeated = asked.kind.runs_once() && runs > 1;
    is_repeated.then(|| finding("repeated", asked, format!("{runs} runs")))
}

fn untrue_refusal(asked: &Asked, runs: u32) -> Option<Finding> {
    let answer = asked.answer.as_ref()?;
    let is_untrue = asked.kind.runs_once() && runs > 0 && NOT_RUN.contains(&answer.status);
    is_untrue.then(|| finding("untrue refusal", asked, format!("{} after a run", answer.status)))
}

/// A success must be signed, of this request, and whole; a whole stream has each event once.
fn mixed(asked: &Asked) -> Option<Finding> {
    let answer = asked.answer.as_ref()?;
    if answer.request_id.as_ref().is_some_and(|id| *id != asked.id) {
        return Some(finding("mixed", asked, format!("answers {:?}", answer.request_id)));
    }
    if !(200..300).contains(&answer.status) {
        return None;
    }
    let Some(stamp) = &answer.stamp else {
        return Some(finding("mixed", asked, "success without a signature"));
    };
    let body = answer.body.as_ref()?;
    let is_whole = match asked.kind {
        Kind::Safe | Kind::Unsafe => Some(body.as_str()) == whole_body(stamp).as_deref(),
        Kind::Stream | Kind::Resumable => {
            body.ends_with("\n\n") && answer.events.ids().eq(asked.after + 1..=EVENTS)
        }
    };
    (!is_whole).then(|| finding("mixed", asked, format!("{body:?} signed {stamp}")))
}

fn whole_body(stamp: &str) -> Option<String> {
    Some(format!("answer of {}", stamp.strip_prefix("stamp-")?))
}
