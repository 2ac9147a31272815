//! Tests of the settings file.

use quickcheck::quickcheck;

use redwingrill_config::SourceFile;
use redwingrill_settings::parse;

fn source(text: &str) -> SourceFile {
    SourceFile { name: "node.ini".to_owned(), text: text.to_owned() }
}

#[test]
fn files_are_accepted_or_their_faults_named() {
    redwingrill_golden::run_dir("tests/cases", |input| match parse(&source(input)) {
        Ok(settings) => format!("{settings:#?}"),
        Err(faults) => faults.to_string(),
    });
}

quickcheck! {
    fn any_text_is_accepted_or_refused_with_a_fault(text: String) -> bool {
        match parse(&source(&text)) {
            Ok(settings) => !settings.node.name.is_empty(),
            Err(faults) => !faults.found.is_empty(),
        }
    }
}
