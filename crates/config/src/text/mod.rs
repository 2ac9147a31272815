//! The operator's files: INI text, checked as a whole.
//!
//! Text becomes a [`DesiredState`] in three passes over separate data: lines to raw sections, raw
//! sections to sections checked against the table of keys, and sections to the desired state. Every
//! pass goes on after a fault, so that one check names all of them.

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

/// Reads and checks files that together say one desired state.
///
/// Names are interned only if there is no fault, so that refused files leave nothing behind.
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

/// Reads and checks one text.
pub fn parse_str(name: &str, text: &str, names: &mut Names) -> Result<DesiredState, Faults> {
    let source = SourceFile { name: name.to_owned(), text: text.to_owned() };
    parse(&[source], names)
}
