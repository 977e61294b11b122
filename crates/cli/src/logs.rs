//! Collects the log lines of several daemons about one request.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

use serde_json::{Map, Value};

/// Fields that every line about a request has. Its other fields depend on the event.
const COMMON_FIELDS: [&str; 4] = ["time_ms", "node", "id", "event"];

/// A line about a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Unix time in milliseconds, by the clock of the host that wrote the line.
    pub time_ms: i64,
    /// Node that wrote the line.
    pub node: Box<str>,
    /// Name of the event, which is usually a decision.
    pub event: Box<str>,
    /// Inputs and result of the decision.
    pub fields: Map<String, Value>,
}

/// Reads the lines about a request from log files; `-` is standard input. Skips
/// lines that are not JSON objects or are about something else.
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

/// Parses a line about a request; returns the id of the request and the line. Skips
/// text before the JSON object, since log collectors add a prefix to each line.
pub fn parse(text: &str) -> Option<(Box<str>, Line)> {
    let object = &text[text.find('{')?..];
    let Ok(Value::Object(fields)) = serde_json::from_str(object) else {
        return None;
    };
    let string_field = |key: &str| fields.get(key)?.as_str().map(Box::from);
    let (id, node, event) = (string_field("id")?, string_field("node")?, string_field("event")?);
    let time_ms = fields.get("time_ms")?.as_i64()?;
    let fields =
        fields.into_iter().filter(|(key, _)| !COMMON_FIELDS.contains(&key.as_str())).collect();
    Some((id, Line { time_ms, node, event, fields }))
}

/// Sorts the lines about one request causally. The clocks of hosts differ, so the
/// times of a daemon that was sent the request are shifted: its lines belong between
/// the sender's line about the send and the one about the answer.
pub fn sort_causally(mut lines: Vec<Line>) -> Vec<Line> {
    lines.sort_by_key(|line| line.time_ms);
    let offsets = clock_offsets(&lines);
    let offset_of = |node: &str| offsets.get(node).copied().unwrap_or(0);
    let is_entry = |line: &Line| !offsets.contains_key(&line.node);
    // Of lines with equal times, a send comes before its effects on other nodes, and
    // the line about the answer comes after them.
    let tie_rank = |line: &Line| match (&*line.event, is_entry(line)) {
        ("answered" | "failed" | "hedge-ended" | "ended" | "left", true) => 2,
        (_, true) => 0,
        (_, false) => 1,
    };
    lines.sort_by_key(|line| (line.time_ms + offset_of(&line.node), tie_rank(line)));
    lines
}

/// Returns the milliseconds to add to the times of each node that was sent the
/// request by another node.
fn clock_offsets(lines: &[Line]) -> HashMap<Box<str>, i64> {
    let mut offsets = HashMap::new();
    for sent in lines.iter().filter(|line| matches!(&*line.event, "sent" | "hedged")) {
        let Some(to) = sent.fields.get("to").and_then(Value::as_str) else { continue };
        if *to == *sent.node {
            continue;
        }
        let times = lines.iter().filter(|line| *line.node == *to).map(|line| line.time_ms);
        let (Some(first), Some(last)) = (times.clone().min(), times.max()) else { continue };
        let is_matching_answer = |line: &&Line| {
            line.node == sent.node
                && line.time_ms >= sent.time_ms
                && line.fields.get("from").and_then(Value::as_str) == Some(to)
        };
        let answered = lines.iter().find(is_matching_answer).map(|line| line.time_ms);
        let latest = answered.map_or(i64::MAX, |answered| answered - last);
        let earliest = sent.time_ms - first;
        offsets.insert(to.into(), 0.clamp(earliest.min(latest), latest.max(earliest)));
    }
    offsets
}

impl Line {
    /// Formats the line for an operator.
    pub fn text(&self) -> String {
        let fields = self.fields.iter().map(|(key, value)| match value {
            Value::String(text) => format!(" {key}={text}"),
            value => format!(" {key}={value}"),
        });
        let fields: String = fields.collect();
        format!("{} {} {}{fields}", self.time_ms, self.node, self.event)
    }
}
