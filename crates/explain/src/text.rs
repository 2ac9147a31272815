//! The answer as text for people.

use std::fmt;
use std::fmt::Write;

use crate::AccountAnswer;
use crate::Answer;
use crate::Outcome;
use crate::QueueAnswer;
use crate::ServiceAnswer;
use crate::Standing;
use crate::UpstreamAnswer;

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "route {}, asked at node {}", self.route, self.node)?;
        if let Some(account) = &self.account {
            write!(f, "{account}")?;
        }
        for service in &self.services {
            write!(f, "\n{service}")?;
        }
        Ok(())
    }
}

impl fmt::Display for AccountAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "account {}", self.name)?;
        if let Some(quota) = &self.quota {
            write!(f, "quota: {} {} per second", quota.rate_per_s, quota.unit)?;
            if let Some(burst) = quota.burst {
                write!(f, ", burst {burst}")?;
            }
            write!(f, "; costs {}", quota.cost)?;
            match quota.available {
                Some(available) => writeln!(f, ", available {available}")?,
                None => writeln!(f)?,
            }
        }
        if let Some(share) = &self.share {
            let weight = share.weight.map_or("none".to_owned(), |weight| weight.to_string());
            write!(f, "share: weight {weight}")?;
            match share.usage {
                Some(usage) => writeln!(f, ", used {usage:.2} of it")?,
                None => writeln!(f)?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for ServiceAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let class = match self.is_long {
            Some(true) => ", long prompt",
            Some(false) => ", short prompt",
            None => "",
        };
        let late = if self.is_late { ", late" } else { "" };
        writeln!(f, "service {} ({:.0}%){class}{late}", self.service, self.share * 100.0)?;
        match &self.coordinator {
            None => writeln!(f, "decided by: this node")?,
            Some(known) => {
                let node = known.node.as_deref().unwrap_or("unknown");
                let domain = known.failure_domain.as_deref().unwrap_or("all domains");
                let view = match known.is_this_node {
                    true => "",
                    false => " (below: the view of this node, which does not decide)",
                };
                writeln!(f, "decided by: node {node} at {}{view}", known.address)?;
                writeln!(
                    f,
                    "group: {}, of {} of the service; {} engines in {domain}",
                    known.group, known.groups, known.engines
                )?;
            }
        }
        let decision = &self.decision;
        match decision.outcome {
            Outcome::Send => {
                let upstream = decision.upstream.as_deref();
                let upstream = upstream.unwrap_or("one of those compared, at random");
                writeln!(f, "decision: send to {upstream}")?;
            }
            Outcome::Wait => writeln!(f, "decision: wait")?,
            Outcome::Refuse => {
                write!(f, "decision: refuse, {}", decision.reason.as_deref().unwrap_or("-"))?;
                match decision.retry_after_ms {
                    Some(retry_after_ms) => writeln!(f, "; retry after {retry_after_ms} ms")?,
                    None => writeln!(f)?,
                }
            }
        }
        if let Some(queue) = &self.queue {
            writeln!(f, "{queue}")?;
        }
        if self.upstreams.is_empty() {
            return writeln!(f, "no upstreams");
        }
        if self.noise_ms > 0.0 {
            writeln!(f, "random cost: 0 to {:.1} ms for each candidate", self.noise_ms)?;
        }
        write_table(f, &self.upstreams)
    }
}

impl fmt::Display for QueueAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "queue: {} waiting of at most {}", self.waiting, self.limit)?;
        if let Some(expected_wait_ms) = self.expected_wait_ms {
            write!(f, ", expected wait at least {expected_wait_ms} ms")?;
        }
        match self.wait_limit_ms {
            Some(wait_limit_ms) => write!(f, ", may wait {wait_limit_ms} ms"),
            None => Ok(()),
        }
    }
}

/// Writes the upstreams as a table, those with the lowest cost first.
fn write_table(f: &mut fmt::Formatter<'_>, upstreams: &[UpstreamAnswer]) -> fmt::Result {
    let mut sorted: Vec<&UpstreamAnswer> = upstreams.iter().collect();
    sorted.sort_by(|one, other| {
        let cost = |upstream: &UpstreamAnswer| upstream.cost_ms.unwrap_or(f64::INFINITY);
        let by_cost = cost(one).total_cmp(&cost(other));
        rank(one.standing).cmp(&rank(other.standing)).then(by_cost).then(one.id.cmp(&other.id))
    });
    let header = ["upstream", "standing", "cost ms", "load", "prefill ms", "reserved", "domain"];
    let mut rows = vec![header.map(str::to_owned)];
    rows.extend(sorted.iter().map(|upstream| {
        [
            upstream.id.clone(),
            standing(upstream),
            cost(upstream),
            format!("{}/{}", or_dash(upstream.load), or_dash(upstream.slots)),
            or_dash(upstream.pending_prefill_ms.map(|ms| format!("{ms:.1}"))),
            or_dash(upstream.reserved_tokens),
            upstream.failure_domain.clone(),
        ]
    }));
    let widths: [usize; 7] =
        std::array::from_fn(|column| rows.iter().map(|row| row[column].len()).max().unwrap_or(0));
    let marks =
        std::iter::once(String::new()).chain(sorted.iter().map(|known| known.marks.join(", ")));
    for (row, marks) in rows.iter().zip(marks) {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(widths) {
            write!(line, "{cell:width$}  ")?;
        }
        line.push_str(&marks);
        writeln!(f, "{}", line.trim_end())?;
    }
    Ok(())
}

fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
}

fn rank(standing: Standing) -> u8 {
    match standing {
        Standing::Compared => 0,
        Standing::Passed => 1,
        Standing::Full => 2,
        Standing::Ineligible => 3,
    }
}

fn standing(upstream: &UpstreamAnswer) -> String {
    let name = match upstream.standing {
        Standing::Compared => "compared",
        Standing::Passed => "passed",
        Standing::Full => "full",
        Standing::Ineligible => "ineligible",
    };
    match &upstream.reason {
        Some(reason) => format!("{name}: {reason}"),
        None => name.to_owned(),
    }
}

fn cost(upstream: &UpstreamAnswer) -> String {
    let Some(cost_ms) = upstream.cost_ms else { return "-".to_owned() };
    let parts = upstream.costs.iter().map(|part| format!("{} {:.1}", part.name, part.ms));
    let parts: Vec<String> = parts.collect();
    match parts.is_empty() {
        true => format!("{cost_ms:.1}"),
        false => format!("{cost_ms:.1} = {}", parts.join(" + ")),
    }
}
