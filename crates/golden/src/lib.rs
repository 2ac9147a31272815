//! Golden tests: text files that hold an input and its expected output.
//!
//! A case file consists of the input, a line of four or more dashes, and the expected output. A
//! test passes the input of each case in a directory to a function and compares its output. Setting
//! the environment variable `REDWINGRILL_BLESS` to `1` rewrites the expected outputs instead.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// The environment variable that makes [`run_dir`] rewrite expected outputs.
pub const BLESS_VARIABLE: &str = "REDWINGRILL_BLESS";

const SEPARATOR: &str = "----";

/// Runs `run` on the input of every `*.case` file in `dir`, in the order of file names.
///
/// # Panics
///
/// Panics if the directory has no case files, a file has no separator line, or an output differs
/// from the expected one.
pub fn run_dir(dir: impl AsRef<Path>, mut run: impl FnMut(&str) -> String) {
    let paths = case_paths(dir.as_ref());
    assert!(!paths.is_empty(), "no case files in {}", dir.as_ref().display());
    let failures: Vec<String> =
        paths.iter().filter_map(|path| run_file(path, &mut run).err()).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

fn case_paths(dir: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir).unwrap_or_else(|e| panic!("{}: {e}", dir.display()));
    let mut paths: Vec<PathBuf> = entries
        .map(|entry| entry.expect("directory entries are readable").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "case"))
        .collect();
    paths.sort();
    paths
}

fn run_file(path: &Path, run: &mut impl FnMut(&str) -> String) -> Result<(), String> {
    let text = fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let (input, expected) =
        split_case(&text).ok_or_else(|| format!("{}: no separator line", path.display()))?;
    let actual = run(input);
    let actual = actual.trim_end();
    if std::env::var(BLESS_VARIABLE).is_ok_and(|value| value == "1") {
        let blessed = format!("{input}{SEPARATOR}\n{actual}\n");
        return fs::write(path, blessed).map_err(|e| format!("{}: {e}", path.display()));
    }
    if actual == expected.trim_end() {
        return Ok(());
    }
    Err(format!(
        "{}:\n--- expected\n{}\n--- actual\n{actual}\n",
        path.display(),
        expected.trim_end()
    ))
}

fn split_case(text: &str) -> Option<(&str, &str)> {
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        let end = offset + line.len();
        let body = line.trim_end();
        if body.len() >= SEPARATOR.len() && body.bytes().all(|byte| byte == b'-') {
            return Some((&text[..offset], &text[end..]));
        }
        offset = end;
    }
    None
}
