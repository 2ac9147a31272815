//! The INI format of the operator's files.
//!
//! Text is converted into a [`DesiredState`] in three passes: lines to raw sections, raw sections
//! to sections validated against the table of keys, and sections to the desired state. Every pass
//! continues after a fault, so that one run reports all faults.

mod build;
mod fault;
pub mod lines;
pub mod reference;
mod render;
mod sections;
mod source;
pub mod spec;
pub mod suggest;
pub mod value;

pub use fault::Fault;
pub use fault::Faults;
pub use reference::reference;
pub use render::render;
pub use source::SourceFile;
pub use source::read_files;
pub use value::KEY_HASH_PREFIX;

use crate::DesiredState;
use redwingrill_entity::Names;

/// Parses and validates files that together describe one desired state.
///
/// Names are interned only if there is no fault, so that rejected files have no side effect.
///
/// # Errors
///
/// Returns all faults in the files.
pub fn parse(sources: &[SourceFile], names: &mut Names) -> Result<DesiredState, Faults> {
    let mut faults = Faults::default();
    let mut raw = Vec::new();
    for (index, source) in sources.iter().enumerate() {
        raw.extend(lines::split_sections(index, source, &mut faults));
    }
    let mut checker = sections::SectionChecker::new(sources, &mut faults);
    let checked: Vec<sections::Section> = raw.iter().filter_map(|r| checker.check(r)).collect();
    let mut new_names = names.clone();
    let builder = build::Builder::new(sources, &checked, &mut new_names, &mut faults);
    let state = builder.build(&checked);
    let state = faults.into_result(state)?;
    *names = new_names;
    Ok(state)
}

/// Parses and validates one text, as [`parse`] does for files.
pub fn parse_str(name: &str, text: &str, names: &mut Names) -> Result<DesiredState, Faults> {
    let source = SourceFile { name: name.to_owned(), text: text.to_owned() };
    parse(&[source], names)
}
