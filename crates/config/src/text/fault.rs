//! Faults in the operator's files.

use std::fmt;

/// The maximum number of faults to print; the rest are only counted.
const REPORTED_LIMIT: usize = 100;

/// A fault: its location, its cause, and a hint on how to fix it.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize)]
pub struct Fault {
    /// The file, as the operator named it.
    pub file: String,
    /// The line number, from 1; zero if the fault concerns the whole file.
    pub line: usize,
    /// The section and key that are invalid, such as `[account cafe] weight`.
    pub subject: String,
    /// The cause.
    pub reason: String,
    /// How to fix it. Serialized as `way_out`, the name in the operator interface.
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

/// All faults in a set of files, sorted by file and line.
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

    /// Returns the value if there is no fault, and all faults in order otherwise.
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
