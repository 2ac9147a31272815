//! Tests of the parser of settings files.

use quickcheck::Gen;
use quickcheck::QuickCheck;

use redwingrill_config::SourceFile;
use redwingrill_settings::parse;

fn source(text: &str) -> SourceFile {
    SourceFile { name: "node.ini".to_owned(), text: text.to_owned() }
}

#[test]
fn settings_files_match_expected_output() {
    redwingrill_golden::run_dir("tests/cases", |input| match parse(&source(input)) {
        Ok(settings) => format!("{settings:#?}"),
        Err(faults) => faults.to_string(),
    });
}

#[test]
fn arbitrary_text_parses_or_returns_faults() {
    fn property(text: String) -> bool {
        match parse(&source(&text)) {
            Ok(settings) => !settings.node.name.is_empty(),
            Err(faults) => !faults.found.is_empty(),
        }
    }
    let mut quickcheck = QuickCheck::new().rng(Gen::from_size_and_seed(100, 1)).tests(500);
    quickcheck.quickcheck(property as fn(String) -> bool);
}
