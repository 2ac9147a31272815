//! Reads the operator's files from disk.
//!
//! A directory stands for all its `*.ini` files, sorted by name, so that a desired state can be
//! split into any number of files.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use super::Fault;
use super::Faults;

/// The maximum size of a file.
const FILE_LIMIT_BYTES: u64 = 64 << 20;

/// A file with its text.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SourceFile {
    /// The name that faults show.
    pub name: String,
    /// The text.
    pub text: String,
}

/// Reads files and directories.
///
/// # Errors
///
/// Returns a fault for each path that cannot be read.
pub fn read_files(paths: &[PathBuf]) -> Result<Vec<SourceFile>, Faults> {
    let mut faults = Faults::default();
    let mut sources = Vec::new();
    for path in paths {
        match read_path(path) {
            Ok(found) => sources.extend(found),
            Err(error) => faults.push(unreadable_file(path, &error)),
        }
    }
    faults.into_result(sources)
}

fn read_path(path: &Path) -> io::Result<Vec<SourceFile>> {
    if !path.is_dir() {
        return Ok(vec![read_file(path)?]);
    }
    let entries: io::Result<Vec<PathBuf>> =
        fs::read_dir(path)?.map(|entry| entry.map(|e| e.path())).collect();
    let mut files = entries?;
    files.retain(|file| file.extension().is_some_and(|extension| extension == "ini"));
    files.sort();
    if files.is_empty() {
        return Err(io::Error::new(io::ErrorKind::NotFound, "no *.ini file in this directory"));
    }
    files.iter().map(|file| read_file(file)).collect()
}

fn read_file(path: &Path) -> io::Result<SourceFile> {
    if fs::metadata(path)?.len() > FILE_LIMIT_BYTES {
        return Err(io::Error::new(io::ErrorKind::FileTooLarge, "larger than 64 MiB"));
    }
    let text = fs::read_to_string(path)?;
    Ok(SourceFile { name: path.display().to_string(), text })
}

fn unreadable_file(path: &Path, error: &io::Error) -> Fault {
    Fault {
        file: path.display().to_string(),
        line: 0,
        subject: String::new(),
        reason: format!("cannot be read: {error}"),
        hint: "name a readable UTF-8 file, or a directory with *.ini files".to_owned(),
    }
}
