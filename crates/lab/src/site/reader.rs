//! Typed values out of INI files.

use std::str::FromStr;

use ini::Ini;
use ini::Properties;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

/// Why a file of the lab cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum IniError {
    /// The text is no INI.
    #[snafu(display("{file}: {source}"))]
    Syntax {
        /// The file.
        file: String,
        /// The cause.
        source: ini::ParseError,
    },
    /// The file cannot be read.
    #[snafu(display("{file}: {source}"))]
    Unreadable {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A section is missing.
    #[snafu(display("{file}: no section [{section}]"))]
    NoSection {
        /// The file.
        file: String,
        /// The section.
        section: String,
    },
    /// A key is missing.
    #[snafu(display("{file}: no key {key} in [{section}]"))]
    NoKey {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A value cannot be read.
    #[snafu(display("{file}: {key} = {value} in [{section}] is not of the expected form"))]
    BadValue {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
}

/// One section of a file.
#[derive(Clone, Debug)]
pub struct Section {
    file: String,
    name: String,
    properties: Properties,
}

/// Reads the file with this path, or else the built-in text of this name.
pub fn load_text(name: &str, built_in: &[(&str, &'static str)]) -> Result<String, IniError> {
    if let Some((_, text)) = built_in.iter().find(|(built_in, _)| *built_in == name) {
        return Ok((*text).to_owned());
    }
    std::fs::read_to_string(name).context(UnreadableSnafu { file: name })
}

/// Splits a text into its sections, in the order of the file.
pub fn sections(file: &str, text: &str) -> Result<Vec<Section>, IniError> {
    let ini = Ini::load_from_str(text).context(SyntaxSnafu { file })?;
    let named = ini.iter().filter_map(|(name, properties)| {
        let (name, properties) = (name?.to_owned(), properties.clone());
        Some(Section { file: file.to_owned(), name, properties })
    });
    Ok(named.collect())
}

/// Finds a section by its name.
pub fn section<'a>(
    file: &str,
    sections: &'a [Section],
    name: &str,
) -> Result<&'a Section, IniError> {
    let found = sections.iter().find(|section| section.name == name);
    found.context(NoSectionSnafu { file, section: name })
}

impl Section {
    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the rest of the name if the section is of this kind, as in `[kind rest]`.
    pub fn name_after(&self, kind: &str) -> Option<&str> {
        self.name.strip_prefix(kind)?.strip_prefix(' ')
    }

    /// Returns whether a key is set.
    pub fn has(&self, key: &str) -> bool {
        self.properties.contains_key(key)
    }

    /// Returns the text of a key.
    pub fn text(&self, key: &str) -> Result<&str, IniError> {
        let (file, section) = (&self.file, &self.name);
        self.properties.get(key).context(NoKeySnafu { file, section, key })
    }

    /// Returns the parsed value of a key.
    pub fn value<T: FromStr>(&self, key: &str) -> Result<T, IniError> {
        let value = self.text(key)?;
        let (file, section) = (&self.file, &self.name);
        value.parse().ok().context(BadValueSnafu { file, section, key, value })
    }

    /// Returns a number of which there is at least one.
    pub fn at_least_one(&self, key: &str) -> Result<usize, IniError> {
        match self.value(key)? {
            0 => Err(self.bad_value(key)),
            number => Ok(number),
        }
    }

    /// Makes the error for a key whose value is none of those known.
    pub fn bad_value(&self, key: &str) -> IniError {
        IniError::BadValue {
            file: self.file.clone(),
            section: self.name.clone(),
            key: key.to_owned(),
            value: self.properties.get(key).unwrap_or_default().to_owned(),
        }
    }

    /// Returns the items of a list.
    pub fn list(&self, key: &str) -> Result<Vec<String>, IniError> {
        let items = self.text(key)?.split(',');
        Ok(items.map(|item| item.trim().to_owned()).collect())
    }
}
