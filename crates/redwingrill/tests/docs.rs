//! Checks that the generated sections of the operating page are up to date.
//!
//! With `REDWINGRILL_BLESS=1` the test rewrites them.

use std::fmt::Write;
use std::path::Path;

use redwingrill_codes::ResultCode;

const PAGE: &str = "../../docs/OPERATING.md";

struct GeneratedSection {
    name: &'static str,
    text: String,
}

fn code_table() -> String {
    let mut table = String::from(
        "| number | name | HTTP status | ran | meaning |\n| --- | --- | --- | --- | --- |\n",
    );
    for code in ResultCode::ALL {
        let info = code.info();
        let (number, name, status) = (info.number, info.name, info.http_status);
        let (ran, summary) = (info.ran.as_str(), info.summary);
        writeln!(table, "| {number} | `{name}` | {status} | {ran} | {summary} |")
            .expect("writing to a string cannot fail");
    }
    table
}

fn replace_section(page: &str, section: &GeneratedSection) -> String {
    let begin = format!("<!-- begin {} -->\n", section.name);
    let end = format!("<!-- end {} -->", section.name);
    let (before, rest) = page.split_once(&begin).expect("page has the begin marker of the section");
    let (_, after) = rest.split_once(&end).expect("page has the end marker of the section");
    format!("{before}{begin}{}{end}{after}", section.text)
}

#[test]
fn operating_page_lists_all_settings_and_codes() {
    let sections = [
        GeneratedSection { name: "settings", text: redwingrill_settings::reference() },
        GeneratedSection { name: "codes", text: code_table() },
    ];
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(PAGE);
    let page = std::fs::read_to_string(&path).expect("page is readable");
    let expected =
        sections.iter().fold(page.clone(), |page, section| replace_section(&page, section));
    if std::env::var(redwingrill_golden::BLESS_VARIABLE).is_ok_and(|value| value == "1") {
        std::fs::write(&path, &expected).expect("page is writable");
        return;
    }
    assert!(
        page == expected,
        "run with {}=1 to rewrite the page",
        redwingrill_golden::BLESS_VARIABLE
    );
}

#[test]
fn code_numbers_and_names_are_unique() {
    let mut numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let mut names: Vec<&str> = ResultCode::ALL.iter().map(|code| code.info().name).collect();
    let count = ResultCode::ALL.len();
    numbers.sort_unstable();
    numbers.dedup();
    names.sort_unstable();
    names.dedup();
    assert_eq!((numbers.len(), names.len()), (count, count));
    assert!(
        ResultCode::ALL.iter().all(|code| ResultCode::from_number(code.number()) == Some(*code))
    );
}
