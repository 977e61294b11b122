//! Parses and validates a service file. All problems of a file are reported
//! together.

use std::ops::Range;
use std::time::Duration;

use toml_edit::{Document, Item, Table, Value};

use crate::finding::{Finding, Findings};
use crate::scanners::{is_method, is_name, scan_duration, scan_share};
use crate::service::{Pattern, Repeat, Rule, Service, Share};

const MAX_FILE_BYTES: usize = 64 * 1024;
const MAX_RULES: usize = 256;
const MIN_DEADLINE: Duration = Duration::from_millis(1);
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
const DEFAULT_PROBE_SHARE: Share = 0.01;
const DEFAULT_RETRY_SHARE: Share = 0.10;
const DEFAULT_HEDGE_SHARE: Share = 0.02;

const SERVICE_KEYS: [&str; 6] =
    ["service", "answer_within", "probe_share", "retry_share", "hedge_share", "request"];
const RULE_KEYS: [&str; 6] = ["name", "method", "path", "repeat", "wait", "answer_within"];

/// Name and text of a service file that has not been validated yet.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl<'a> Source<'a> {
    /// Returns a source; findings show `file` as the name of the file.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text }
    }
}

impl TryFrom<Source<'_>> for Service {
    type Error = Findings;

    fn try_from(source: Source<'_>) -> Result<Self, Findings> {
        let mut validator = Validator { source, findings: Vec::new() };
        if source.text.len() > MAX_FILE_BYTES {
            validator.add(0..0, format!("file is larger than {MAX_FILE_BYTES} bytes"));
            return Err(validator.into_findings());
        }
        let document = match Document::parse(source.text) {
            Ok(document) => document,
            Err(error) => {
                validator.add(error.span().unwrap_or(0..0), error.message());
                return Err(validator.into_findings());
            }
        };
        let service = validator.service(document.as_table());
        match service {
            Some(service) if validator.findings.is_empty() => Ok(service),
            _ => Err(validator.into_findings()),
        }
    }
}

struct Validator<'a> {
    source: Source<'a>,
    findings: Vec<Finding>,
}

impl Validator<'_> {
    fn add(&mut self, span: Range<usize>, text: impl Into<Box<str>>) {
        let Source { file, text: source } = self.source;
        self.findings.push(Finding::at(file, source, span.start, text));
    }

    fn into_findings(mut self) -> Findings {
        self.findings.sort_by_key(|finding| (finding.line, finding.column));
        Findings { list: self.findings }
    }

    fn service(&mut self, table: &Table) -> Option<Service> {
        self.unknown_keys(table, &SERVICE_KEYS);
        let name = self.name(table, "service");
        let deadline = self.deadline(table);
        let probe_share = self.share(table, "probe_share", DEFAULT_PROBE_SHARE);
        let retry_share = self.share(table, "retry_share", DEFAULT_RETRY_SHARE);
        let hedge_share = self.share(table, "hedge_share", DEFAULT_HEDGE_SHARE);
        if deadline.is_none() && !table.contains_key("answer_within") {
            self.add(0..0, "answer_within: missing");
        }
        let rules = self.rules(table, deadline.unwrap_or(MAX_DEADLINE));
        Some(Service {
            name: name?,
            answer_within: deadline?,
            probe_share: probe_share?,
            retry_share: retry_share?,
            hedge_share: hedge_share?,
            rules,
        })
    }

    fn rules(&mut self, table: &Table, deadline: Duration) -> Vec<Rule> {
        let mut rules: Vec<Rule> = Vec::new();
        let Some(item) = table.get("request") else {
            self.add(0..0, "request: missing; at least one [[request]] table is required");
            return rules;
        };
        let Some(tables) = item.as_array_of_tables() else {
            self.add(span_of(item), "request: expected [[request]] tables");
            return rules;
        };
        for table in tables.iter() {
            let span = table.span().unwrap_or(0..0);
            let Some(rule) = self.rule(table, deadline) else {
                continue;
            };
            if rules.iter().any(|earlier| earlier.name == rule.name) {
                self.add(span.clone(), format!("request: duplicate name {}", rule.name));
            }
            rules.push(rule);
        }
        if rules.len() > MAX_RULES {
            self.add(span_of(item), format!("request: more than {MAX_RULES} [[request]] tables"));
        }
        rules
    }

    fn rule(&mut self, table: &Table, deadline: Duration) -> Option<Rule> {
        self.unknown_keys(table, &RULE_KEYS);
        let name = self.name(table, "name");
        let method = self.validated(table, "method", "an HTTP method in upper case", is_method);
        let path =
            self.validated(table, "path", "a path starting with /", |text| text.starts_with('/'));
        let repeat = self.choice(table, "repeat", &["safe", "never", "attempt"]);
        let wait = match table.contains_key("wait") {
            true => self.choice(table, "wait", &["yes", "no"]),
            false => Some(1),
        };
        let rule_deadline = self.deadline(table);
        if rule_deadline.is_none() && table.contains_key("answer_within") {
            return None;
        }
        Some(Rule {
            name: name?,
            method: method?,
            path: Pattern::from(&*path?),
            repeat: [Repeat::Safe, Repeat::Never, Repeat::Attempt][repeat?],
            may_wait: wait? == 0,
            answer_within: rule_deadline.unwrap_or(deadline),
        })
    }

    fn unknown_keys(&mut self, table: &Table, allowed: &[&str]) {
        for (key, item) in table.iter().filter(|(key, _)| !allowed.contains(key)) {
            let span = table.key(key).and_then(|key| key.span());
            let span = span.unwrap_or_else(|| span_of(item));
            self.add(span, format!("{key}: unknown key; expected one of {}", allowed.join(", ")));
        }
    }

    fn string(&mut self, table: &Table, key: &str) -> Option<(Box<str>, Range<usize>)> {
        let Some(item) = table.get(key) else {
            self.add(table.span().unwrap_or(0..0), format!("{key}: missing"));
            return None;
        };
        match item.as_value() {
            Some(Value::String(text)) => Some((text.value().as_str().into(), span_of(item))),
            _ => {
                self.add(span_of(item), format!("{key}: expected a string"));
                None
            }
        }
    }

    fn validated(
        &mut self,
        table: &Table,
        key: &str,
        expected: &str,
        is_valid: impl Fn(&str) -> bool,
    ) -> Option<Box<str>> {
        let (text, span) = self.string(table, key)?;
        if is_valid(&text) {
            return Some(text);
        }
        self.add(span, format!("{key}: expected {expected}"));
        None
    }

    fn name(&mut self, table: &Table, key: &str) -> Option<Box<str>> {
        let expected = "a name of lower-case letters, digits and hyphens between them";
        self.validated(table, key, expected, is_name)
    }

    fn choice(&mut self, table: &Table, key: &str, choices: &[&str]) -> Option<usize> {
        let (text, span) = self.string(table, key)?;
        let index = choices.iter().position(|choice| **choice == *text);
        if index.is_none() {
            self.add(span, format!("{key}: expected one of {}", choices.join(", ")));
        }
        index
    }

    fn deadline(&mut self, table: &Table) -> Option<Duration> {
        if !table.contains_key("answer_within") {
            return None;
        }
        let (text, span) = self.string(table, "answer_within")?;
        match scan_duration(&text) {
            Some(time) if (MIN_DEADLINE..=MAX_DEADLINE).contains(&time) => Some(time),
            _ => {
                self.add(
                    span,
                    "answer_within: expected a time from 1ms to 60m, such as 250ms or 3s",
                );
                None
            }
        }
    }

    fn share(&mut self, table: &Table, key: &str, default: Share) -> Option<Share> {
        if !table.contains_key(key) {
            return Some(default);
        }
        let (text, span) = self.string(table, key)?;
        let share = scan_share(&text);
        if share.is_none() {
            self.add(span, format!("{key}: expected a percentage from 0% to 100%, such as 3%"));
        }
        share
    }
}

fn span_of(item: &Item) -> Range<usize> {
    item.span().unwrap_or(0..0)
}
