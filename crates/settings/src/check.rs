//! Validation of a settings file against the table of keys.
//!
//! Invariant: [`Values`] holds only keys of the table, with parsed values; a key with a default
//! always has a value.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::SECTIONS;
use crate::SectionSpec;
use redwingrill_config::Fault;
use redwingrill_config::Faults;
use redwingrill_config::SourceFile;
use redwingrill_config::text::lines::Property;
use redwingrill_config::text::lines::RawSection;
use redwingrill_config::text::lines::split_sections;
use redwingrill_config::text::spec::Presence;
use redwingrill_config::text::suggest::hint_for_unknown;
use redwingrill_config::text::value;
use redwingrill_config::text::value::Value;

/// The values of all keys by section and key.
#[derive(Debug, Default)]
pub(crate) struct Values {
    values: HashMap<(&'static str, &'static str), Value>,
    section_lines: HashMap<&'static str, usize>,
}

impl Values {
    /// Returns the value of a key, if it has one.
    pub fn get(&self, section: &'static str, key: &'static str) -> Option<&Value> {
        self.values.get(&(section, key))
    }

    /// Returns whether the file has a section.
    pub fn has_section(&self, section: &'static str) -> bool {
        self.section_lines.contains_key(section)
    }
}

/// Parses a settings file and collects its faults.
pub(crate) fn check(source: &SourceFile) -> (Values, Faults) {
    let mut faults = Faults::default();
    let raw = split_sections(0, source, &mut faults);
    let mut checker =
        Checker { source, values: Values::default(), invalid_keys: HashSet::new(), faults };
    for section in &raw {
        checker.check_section(section);
    }
    for spec in SECTIONS {
        checker.check_presence(spec);
    }
    (checker.values, checker.faults)
}

struct Checker<'a> {
    source: &'a SourceFile,
    values: Values,
    // Keys with an invalid value; they are not also reported as missing.
    invalid_keys: HashSet<(&'static str, &'static str)>,
    faults: Faults,
}

impl Checker<'_> {
    fn check_section(&mut self, raw: &RawSection) {
        let subject = format!("[{}]", raw.header);
        let Some(spec) = SECTIONS.iter().find(|spec| spec.name == raw.header) else {
            let known: Vec<&str> = SECTIONS.iter().map(|spec| spec.name).collect();
            let reason = format!("no section is called `{}`", raw.header);
            return self.report_fault(
                raw.line,
                subject,
                reason,
                hint_for_unknown(&raw.header, &known),
            );
        };
        if let Some(first_line) = self.values.section_lines.insert(spec.name, raw.line) {
            let reason = format!("the section is already defined at line {first_line}");
            return self.report_fault(
                raw.line,
                subject,
                reason,
                "merge the two sections".to_owned(),
            );
        }
        for property in &raw.properties {
            self.check_property(spec, property);
        }
    }

    fn check_property(&mut self, section: &'static SectionSpec, property: &Property) {
        let subject = format!("[{}] {}", section.name, property.key);
        let Some(key) = section.keys.iter().find(|spec| spec.key == property.key) else {
            let known: Vec<&str> = section.keys.iter().map(|spec| spec.key).collect();
            let reason = "no key of this name here".to_owned();
            return self.report_fault(
                property.line,
                subject,
                reason,
                hint_for_unknown(&property.key, &known),
            );
        };
        if self.values.get(section.name, key.key).is_some() {
            let reason = "the key is already set in this section".to_owned();
            return self.report_fault(
                property.line,
                subject,
                reason,
                "remove one of the two".to_owned(),
            );
        }
        match value::parse(key.kind, &property.value) {
            Ok(value) => {
                self.values.values.insert((section.name, key.key), value);
            }
            Err(error) => {
                self.invalid_keys.insert((section.name, key.key));
                self.report_fault(property.line, subject, error.reason, error.hint);
            }
        }
    }

    fn check_presence(&mut self, section: &'static SectionSpec) {
        let line = self.values.section_lines.get(section.name).copied();
        if line.is_none() && section.optional && has_required(section) {
            return;
        }
        for key in section.keys {
            let name = (section.name, key.key);
            if self.values.values.contains_key(&name) || self.invalid_keys.contains(&name) {
                continue;
            }
            match key.presence {
                Presence::Optional => {}
                Presence::Default(text) => {
                    let value = value::parse(key.kind, text);
                    let value = value.expect("defaults in the table are valid");
                    self.values.values.insert((section.name, key.key), value);
                }
                Presence::Required => {
                    let subject = format!("[{}] {}", section.name, key.key);
                    let reason = "the key is missing".to_owned();
                    let hint = format!("add a line `{} = ...` to the section", key.key);
                    self.report_fault(line.unwrap_or(0), subject, reason, hint);
                }
            }
        }
    }

    fn report_fault(&mut self, line: usize, subject: String, reason: String, hint: String) {
        let file = self.source.name.clone();
        self.faults.push(Fault { file, line, subject, reason, hint });
    }
}

fn has_required(section: &SectionSpec) -> bool {
    section.keys.iter().any(|key| key.presence == Presence::Required)
}
