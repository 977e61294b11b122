//! Reads and checks route tables.

use std::fs;
use std::path::Path;

use config::{Finding, RouteTable, describe_differences, find_contradictions};

/// Whether a path names a route table. Service files end in `.toml`.
pub fn is_table(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == "json")
}

/// Reads a route table as a daemon does. The findings have the name of the file.
pub fn read(path: &Path) -> Result<(RouteTable, Box<str>), Vec<Finding>> {
    let file: Box<str> = path.display().to_string().into();
    let finding =
        |text: &str| Finding { file: file.clone(), line: 1, column: 1, text: text.into() };
    let text = fs::read_to_string(path).map_err(|error| vec![finding(&error.to_string())])?;
    let read_table = platform::adapter().read_route_table;
    let read_table = read_table.ok_or_else(|| vec![finding("the platform has no route table")])?;
    match read_table(&text) {
        Ok(table) => Ok((table, text.into())),
        Err(findings) => {
            let list = findings.list.into_iter();
            Err(list.map(|finding| Finding { file: file.clone(), ..finding }).collect())
        }
    }
}

/// Reads a route table and checks it for contradictions.
pub fn check(path: &Path) -> Result<RouteTable, Vec<Finding>> {
    let (table, text) = read(path)?;
    let file: Box<str> = path.display().to_string().into();
    let findings = find_contradictions(&table).into_iter().map(|contradiction| Finding {
        file: file.clone(),
        line: find_name(&text, &contradiction.name),
        column: 1,
        text: contradiction.text,
    });
    let findings: Vec<Finding> = findings.collect();
    if findings.is_empty() { Ok(table) } else { Err(findings) }
}

/// Returns one line for each difference of the table in `earlier` from `later`.
pub fn differences(earlier: &Path, later: &RouteTable) -> Result<Vec<String>, Vec<Finding>> {
    Ok(describe_differences(&read(earlier)?.0, later))
}

/// Returns the line with the last entry of this name, from 1.
fn find_name(text: &str, name: &str) -> usize {
    let entry = format!("\"name\":\"{name}\"");
    let without_spaces = |line: &str| line.split_whitespace().collect::<String>();
    let lines = text.lines().enumerate();
    let found = lines.filter(|(_, line)| without_spaces(line).contains(&entry)).last();
    found.map_or(1, |(index, _)| index + 1)
}
