//! Reads and checks the service files in given paths and folders.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use config::{Finding, Service, Source};

/// A service file that passed the check.
#[derive(Debug)]
pub struct ServiceFile {
    /// Name of the service.
    pub service: Box<str>,
    /// Text of the file.
    pub body: Box<str>,
}

/// Reads and checks the given files and all `.toml` files in the given folders.
/// The findings of all files are returned together.
pub fn collect(paths: &[PathBuf]) -> Result<Vec<ServiceFile>, Vec<Finding>> {
    let mut files: Vec<(PathBuf, ServiceFile)> = Vec::new();
    let mut findings = Vec::new();
    for path in expand(paths, &mut findings) {
        match read(&path) {
            Ok(file) => {
                let duplicate = files.iter().find(|(_, other)| other.service == file.service);
                if let Some((other, _)) = duplicate {
                    let text =
                        format!("service {} is also defined in {}", file.service, other.display());
                    findings.push(finding(&path, text));
                }
                files.push((path, file));
            }
            Err(found) => findings.extend(found),
        }
    }
    if files.is_empty() && findings.is_empty() {
        let path = paths.first().cloned().unwrap_or_default();
        findings.push(finding(&path, "found no .toml file".into()));
    }
    match findings.is_empty() {
        true => Ok(files.into_iter().map(|(_, file)| file).collect()),
        false => Err(findings),
    }
}

/// Replaces each folder by the `.toml` files in it.
fn expand(paths: &[PathBuf], findings: &mut Vec<Finding>) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for path in paths {
        match path.is_dir() {
            false => files.push(path.clone()),
            true => match list(path) {
                Ok(found) => files.extend(found),
                Err(error) => findings.push(finding(path, error.to_string())),
            },
        }
    }
    files
}

/// Returns the `.toml` files in a folder, in the order of their names.
fn list(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "toml") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn read(path: &Path) -> Result<ServiceFile, Vec<Finding>> {
    let body = fs::read_to_string(path).map_err(|error| vec![finding(path, error.to_string())])?;
    let name = path.display().to_string();
    let service = Service::try_from(Source::new(&name, &body)).map_err(|found| found.list)?;
    Ok(ServiceFile { service: service.name, body: body.into() })
}

/// Returns a finding about a file as a whole.
fn finding(path: &Path, text: String) -> Finding {
    Finding { file: path.display().to_string().into(), line: 1, column: 1, text: text.into() }
}
