//! Golden cases of faults in configuration files.
//!
//! Each case is parsed; the expected output is the faults, or the rendered state if there are none.

use redwingrill_config::SourceFile;
use redwingrill_config::parse;
use redwingrill_config::render;
use redwingrill_entity::Names;

const FILE_MARKER: &str = "# file: ";

fn sources(input: &str) -> Vec<SourceFile> {
    let mut sources: Vec<SourceFile> = Vec::new();
    for line in input.lines() {
        match (line.strip_prefix(FILE_MARKER), sources.last_mut()) {
            (Some(name), _) => {
                sources.push(SourceFile { name: name.to_owned(), text: String::new() });
            }
            (None, Some(source)) => source.text.push_str(&format!("{line}\n")),
            (None, None) => {
                sources.push(SourceFile { name: "site.ini".to_owned(), text: format!("{line}\n") });
            }
        }
    }
    sources
}

#[test]
fn faults_report_file_line_reason_and_hint() {
    redwingrill_golden::run_dir("tests/cases/faults", |input| {
        let mut names = Names::default();
        match parse(&sources(input), &mut names) {
            Ok(state) => render(&state, &names),
            Err(faults) => {
                assert!(names.accounts.is_empty(), "rejected files must not intern names");
                faults.to_string()
            }
        }
    });
}
