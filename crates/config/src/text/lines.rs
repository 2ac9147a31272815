//! Splits text into sections and properties with line numbers.
//!
//! The INI library does not keep line numbers, so each line is parsed separately. This works
//! because quoting and escapes are disabled, so that no value spans lines.

use ini::Ini;
use ini::ParseOption;

use super::Fault;
use super::Faults;
use super::SourceFile;

/// A `key = value` line.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Property {
    /// The key.
    pub key: String,
    /// The value without surrounding whitespace.
    pub value: String,
    /// The line number, from 1.
    pub line: usize,
}

/// A `[header]` line with the properties below it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RawSection {
    /// The index of the file.
    pub file: usize,
    /// The text between the brackets.
    pub header: String,
    /// The line number of the header, from 1.
    pub line: usize,
    /// The properties in file order.
    pub properties: Vec<Property>,
}

enum Line {
    Blank,
    Header(String),
    Property(String, String),
}

/// Splits the file with index `index` into sections.
pub fn split_sections(index: usize, source: &SourceFile, faults: &mut Faults) -> Vec<RawSection> {
    let mut sections: Vec<RawSection> = Vec::new();
    let text = source.text.strip_prefix('\u{feff}').unwrap_or(&source.text);
    for (offset, text) in text.lines().enumerate() {
        let line = offset + 1;
        match parse_line(text) {
            Ok(Line::Blank) => {}
            Ok(Line::Header(header)) => {
                sections.push(RawSection { file: index, header, line, properties: Vec::new() });
            }
            Ok(Line::Property(key, value)) => match sections.last_mut() {
                Some(section) => section.properties.push(Property { key, value, line }),
                None => faults.push(key_outside_section(source, line, &key)),
            },
            Err(_) => faults.push(invalid_line(source, line)),
        }
    }
    sections
}

fn parse_line(text: &str) -> Result<Line, ini::ParseError> {
    let options = ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
    let ini = Ini::load_from_str_opt(text, options)?;
    if let Some((key, value)) = ini.general_section().iter().next() {
        return Ok(Line::Property(key.trim().to_owned(), value.trim().to_owned()));
    }
    let header = ini.sections().flatten().next();
    Ok(header.map_or(Line::Blank, |header| Line::Header(header.trim().to_owned())))
}

fn key_outside_section(source: &SourceFile, line: usize, key: &str) -> Fault {
    Fault {
        file: source.name.clone(),
        line,
        subject: key.to_owned(),
        reason: "the key is outside any section".to_owned(),
        hint: "put it below a header such as [account NAME]".to_owned(),
    }
}

fn invalid_line(source: &SourceFile, line: usize) -> Fault {
    Fault {
        file: source.name.clone(),
        line,
        subject: String::new(),
        reason: "the line is not valid INI".to_owned(),
        hint: "write [KIND NAME], key = value, or a comment after ; or #".to_owned(),
    }
}
