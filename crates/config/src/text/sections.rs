//! Validates each section against the table of keys.
//!
//! Invariant: a [`Section`] contains only keys of its kind, each at most once, with parsed values;
//! keys with a default always have a value.

use std::collections::HashMap;

use super::Fault;
use super::Faults;
use super::SourceFile;
use super::lines::Property;
use super::lines::RawSection;
use super::spec::KeySpec;
use super::spec::Presence;
use super::spec::SECTIONS;
use super::spec::SectionKind;
use super::suggest::hint_for_unknown;
use super::value;
use super::value::Value;

const NAME_LIMIT_BYTES: usize = 128;

/// A value with its line number.
#[derive(Clone, PartialEq, Debug)]
pub struct Located {
    /// The value.
    pub value: Value,
    /// The line number, from 1; for a default, the line of the header.
    pub line: usize,
}

/// A section with validated keys.
#[derive(Clone, Debug)]
pub struct Section {
    /// The kind.
    pub kind: SectionKind,
    /// The name in the header.
    pub name: String,
    /// The index of the file.
    pub file: usize,
    /// The line of the header.
    pub line: usize,
    values: Vec<Located>,
    keys: Vec<&'static str>,
}

impl Section {
    /// Returns the value of a key, if there is one.
    pub fn get(&self, key: &str) -> Option<&Located> {
        let index = self.keys.iter().position(|known| *known == key)?;
        Some(&self.values[index])
    }

    /// Returns the header as the operator wrote it.
    pub fn header(&self) -> String {
        format!("[{} {}]", self.kind.spec().keyword, self.name)
    }

    fn set(&mut self, key: &'static str, value: Value, line: usize) {
        self.keys.push(key);
        self.values.push(Located { value, line });
    }
}

/// Validates raw sections one by one and collects their faults.
pub struct SectionChecker<'a> {
    sources: &'a [SourceFile],
    locations: HashMap<(SectionKind, String), (usize, usize)>,
    faults: &'a mut Faults,
}

impl<'a> SectionChecker<'a> {
    /// Creates a checker that has not checked any section.
    pub fn new(sources: &'a [SourceFile], faults: &'a mut Faults) -> Self {
        Self { sources, locations: HashMap::new(), faults }
    }

    /// Checks one section. Invalid properties are reported and omitted; the rest is kept. Returns
    /// none if the header is invalid.
    pub fn check(&mut self, raw: &RawSection) -> Option<Section> {
        let (kind, name) = self.check_header(raw)?;
        let mut section = Section {
            kind,
            name,
            file: raw.file,
            line: raw.line,
            values: Vec::new(),
            keys: Vec::new(),
        };
        self.check_duplicate(&section);
        for property in &raw.properties {
            self.check_property(&mut section, raw, property);
        }
        for spec in kind.spec().keys {
            self.check_presence(&mut section, raw, spec);
        }
        Some(section)
    }

    fn check_header(&mut self, raw: &RawSection) -> Option<(SectionKind, String)> {
        let (keyword, name) =
            raw.header.split_once(char::is_whitespace).unwrap_or((&raw.header, ""));
        let subject = format!("[{}]", raw.header);
        let Some(kind) = SectionKind::from_keyword(keyword) else {
            let keywords: Vec<&str> = SECTIONS.iter().map(|spec| spec.keyword).collect();
            let reason = format!("unknown section kind `{keyword}`");
            self.report(raw.file, raw.line, subject, reason, hint_for_unknown(keyword, &keywords));
            return None;
        };
        let name = name.trim();
        if let Some(reason) = name_fault(name) {
            let hint = format!(
                "write [{keyword} NAME], where NAME consists of letters, digits, and . _ -"
            );
            self.report(raw.file, raw.line, subject, reason.to_owned(), hint);
            return None;
        }
        Some((kind, name.to_owned()))
    }

    fn check_duplicate(&mut self, section: &Section) {
        let location = (section.file, section.line);
        let earlier = self.locations.insert((section.kind, section.name.clone()), location);
        if let Some((file, line)) = earlier {
            let reason =
                format!("the section is already defined at {}:{line}", self.sources[file].name);
            let hint = "remove or rename one of the two".to_owned();
            self.report(section.file, section.line, section.header(), reason, hint);
        }
    }

    fn check_property(&mut self, section: &mut Section, raw: &RawSection, property: &Property) {
        let subject = format!("{} {}", section.header(), property.key);
        let spec = section.kind.spec();
        let Some(key) = spec.key(&property.key) else {
            let known: Vec<&str> = spec.keys.iter().map(|key| key.key).collect();
            let reason = "unknown key".to_owned();
            let hint = hint_for_unknown(&property.key, &known);
            return self.report(raw.file, property.line, subject, reason, hint);
        };
        if let Some(earlier) = section.get(key.key) {
            let reason = format!("the key is already set at line {}", earlier.line);
            let hint = "remove one of the two".to_owned();
            return self.report(raw.file, property.line, subject, reason, hint);
        }
        match value::parse(key.kind, &property.value) {
            Ok(value) => section.set(key.key, value, property.line),
            Err(error) => self.report(raw.file, property.line, subject, error.reason, error.hint),
        }
    }

    fn check_presence(&mut self, section: &mut Section, raw: &RawSection, spec: &'static KeySpec) {
        if raw.properties.iter().any(|property| property.key == spec.key) {
            return;
        }
        match spec.presence {
            Presence::Optional => {}
            Presence::Default(text) => {
                let value = value::parse(spec.kind, text).expect("defaults in the table are valid");
                section.set(spec.key, value, raw.line);
            }
            Presence::Required => {
                let subject = format!("{} {}", section.header(), spec.key);
                let hint = format!("add a line `{} = ...` to the section", spec.key);
                self.report(raw.file, raw.line, subject, "the key is missing".to_owned(), hint);
            }
        }
    }

    fn report(&mut self, file: usize, line: usize, subject: String, reason: String, hint: String) {
        let file = self.sources[file].name.clone();
        self.faults.push(Fault { file, line, subject, reason, hint });
    }
}

fn name_fault(name: &str) -> Option<&'static str> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if name.is_empty() {
        return Some("the section has no name");
    }
    if name.len() > NAME_LIMIT_BYTES {
        return Some("the name is longer than 128 bytes");
    }
    if !name.chars().all(allowed) {
        return Some("the name contains an invalid character");
    }
    None
}
