//! What log files of several daemons tell of one request.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

use serde_json::{Map, Value};

/// Fields that each line about a request has; the others depend on its event.
const COMMON: [&str; 4] = ["time_ms", "node", "id", "event"];

/// A line about a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Time by the clock of its host, in milliseconds since 1970.
    pub time_ms: i64,
    /// Node that wrote it.
    pub node: Box<str>,
    /// What was decided.
    pub event: Box<str>,
    /// The inputs of the decision.
    pub fields: Map<String, Value>,
}

/// The lines about a request in log files; `-` is the standard input. Lines that
/// are no JSON objects, or about something else, are passed over.
pub fn read(files: &[impl AsRef<Path>], id: &str) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for file in files {
        let file = file.as_ref();
        let reader: Box<dyn BufRead> = match file.as_os_str() == "-" {
            true => Box::new(io::stdin().lock()),
            false => Box::new(BufReader::new(std::fs::File::open(file)?)),
        };
        for text in reader.lines() {
            lines.extend(parse(&text?).filter(|(found, _)| **found == *id).map(|(_, line)| line));
        }
    }
    Ok(lines)
}

/// Reads a line and the id that it is about. A collector may have put its own
/// words before the object.
pub fn parse(text: &str) -> Option<(Box<str>, Line)> {
    let object = &text[text.find('{')?..];
    let Ok(Value::Object(fields)) = serde_json::from_str(object) else {
        return None;
    };
    let text_of = |key: &str| fields.get(key)?.as_str().map(Box::from);
    let (id, node, event) = (text_of("id")?, text_of("node")?, text_of("event")?);
    let time_ms = fields.get("time_ms")?.as_i64()?;
    let fields = fields.into_iter().filter(|(key, _)| !COMMON.contains(&key.as_str())).collect();
    Some((id, Line { time_ms, node, event, fields }))
}

/// Puts the lines of one request in the order of cause and effect. Clocks differ:
/// what a daemon did for another lies between the send and the answer there.
pub fn order(mut lines: Vec<Line>) -> Vec<Line> {
    lines.sort_by_key(|line| line.time_ms);
    let shifts = shifts_of(&lines);
    let shift_of = |node: &str| shifts.get(node).copied().unwrap_or(0);
    let is_entry = |line: &Line| !shifts.contains_key(&line.node);
    // At the same time a send goes before what it causes, an answer after.
    let place = |line: &Line| match (&*line.event, is_entry(line)) {
        ("answered" | "failed" | "ended" | "left", true) => 2,
        (_, true) => 0,
        (_, false) => 1,
    };
    lines.sort_by_key(|line| (line.time_ms + shift_of(&line.node), place(line)));
    lines
}

/// The time to add to the lines of each node that was sent the request by another.
fn shifts_of(lines: &[Line]) -> HashMap<Box<str>, i64> {
    let mut shifts = HashMap::new();
    for sent in lines.iter().filter(|line| matches!(&*line.event, "sent" | "hedged")) {
        let Some(to) = sent.fields.get("to").and_then(Value::as_str) else { continue };
        if *to == *sent.node {
            continue;
        }
        let times = lines.iter().filter(|line| *line.node == *to).map(|line| line.time_ms);
        let (Some(first), Some(last)) = (times.clone().min(), times.max()) else { continue };
        let is_answer = |line: &&Line| {
            line.node == sent.node
                && line.time_ms >= sent.time_ms
                && line.fields.get("from").and_then(Value::as_str) == Some(to)
        };
        let answered = lines.iter().find(is_answer).map(|line| line.time_ms);
        let latest = answered.map_or(i64::MAX, |answered| answered - last);
        let earliest = sent.time_ms - first;
        shifts.insert(to.into(), 0.clamp(earliest.min(latest), latest.max(earliest)));
    }
    shifts
}

impl Line {
    /// One line for people.
    pub fn text(&self) -> String {
        let fields = self.fields.iter().map(|(key, value)| match value {
            Value::String(text) => format!(" {key}={text}"),
            value => format!(" {key}={value}"),
        });
        let fields: String = fields.collect();
        format!("{} {} {}{fields}", self.time_ms, self.node, self.event)
    }
}
