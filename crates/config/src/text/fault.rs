//! What is wrong with the operator's files.

use std::fmt;

/// The most faults that one check reports; the rest are counted.
const REPORTED_LIMIT: usize = 100;

/// One fault: where it is, why it is one, and how to mend it.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize)]
pub struct Fault {
    /// The file as the operator named it.
    pub file: String,
    /// The line, from 1; zero if the fault concerns the whole file.
    pub line: usize,
    /// The section and key at fault, such as `[account cafe] weight`.
    pub subject: String,
    /// Why it is a fault.
    pub reason: String,
    /// What to do about it.
    #[serde(rename = "way_out")]
    pub hint: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: ", self.file)?,
            line => write!(f, "{}:{line}: ", self.file)?,
        }
        if !self.subject.is_empty() {
            write!(f, "{}: ", self.subject)?;
        }
        write!(f, "{}; {}", self.reason, self.hint)
    }
}

/// All faults of a set of files, in the order of files and lines.
#[derive(Clone, PartialEq, Eq, Debug, Default, snafu::Snafu, serde::Serialize)]
#[snafu(display("{}", render(found)))]
pub struct Faults {
    /// The faults.
    pub found: Vec<Fault>,
}

impl Faults {
    /// Adds a fault.
    pub fn push(&mut self, fault: Fault) {
        self.found.push(fault);
    }

    /// Returns the value if there is no fault, and otherwise all faults in order.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.found.is_empty() {
            return Ok(value);
        }
        self.found.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
        Err(self)
    }
}

fn render(found: &[Fault]) -> String {
    let mut lines: Vec<String> = found.iter().take(REPORTED_LIMIT).map(Fault::to_string).collect();
    if found.len() > REPORTED_LIMIT {
        lines.push(format!("and {} more faults", found.len() - REPORTED_LIMIT));
    }
    lines.join("\n")
}
