//! Checks of a route table before it is published: contradictions in it, and its differences
//! from another one.

use std::collections::{BTreeMap, HashSet};
use std::fmt::Debug;
use std::rc::Rc;

use crate::route_table::{PathRule, RouteTable, TargetSettings};

/// A part of a route table that contradicts another one or has no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contradiction {
    /// Name of the rule or service that it is about.
    pub name: Box<str>,
    /// Description, with the location in the table.
    pub text: Box<str>,
}

/// Returns the contradictions in a table, in the order of host names and prefixes.
pub fn find_contradictions(table: &RouteTable) -> Vec<Contradiction> {
    let rules = sorted_rules(table);
    let mut found = Vec::new();
    let mut add = |name: &str, text: String| {
        found.push(Contradiction { name: name.into(), text: text.into() });
    };
    let mut names = HashSet::new();
    let mut earlier: Option<&PathRule> = None;
    for rule in &rules {
        let name = &*rule.name;
        let place = format!("{}{} ({name})", rule.hostname, rule.prefix);
        if !names.insert(name) {
            add(name, format!("{place}: another rule has the same name"));
        }
        let same = earlier.filter(|earlier| is_same_path(earlier, rule));
        if let Some(first) = same {
            add(name, format!("{place}: never matches, {} has the same prefix", first.name));
        }
        // Rules with the same path follow each other, and the first of them matches.
        earlier = same.or(Some(rule));
        if rule.answer_within.is_zero() {
            add(name, format!("{place}: the timeout is 0"));
        }
        if rule.target_latency > rule.answer_within {
            let (latency, timeout) = (rule.target_latency, rule.answer_within);
            add(
                name,
                format!("{place}: the target latency {latency:?} exceeds the timeout {timeout:?}"),
            );
        }
        let mut services = HashSet::new();
        for entry in &rule.traffic_split {
            let service = &*entry.service;
            if !services.insert(service) {
                add(name, format!("{place}: the split lists {service} twice"));
            }
            if entry.weight == 0 {
                add(name, format!("{place}: {service} has the weight 0 and gets no requests"));
            }
            let has_settings = table.find_target_settings(service).is_some();
            if !has_settings && !table.target_settings.is_empty() {
                add(name, format!("{place}: {service} is not among the services"));
            }
        }
    }
    let mut services = HashSet::new();
    for settings in &table.target_settings {
        let service = &*settings.service;
        if !services.insert(service) {
            add(service, format!("service {service}: listed twice, the first entry applies"));
        }
        if settings.connections == Some(0) {
            add(service, format!("service {service}: the maximum number of connections is 0"));
        }
    }
    found
}

/// Describes what differs between an earlier table and a later one, one line for each rule,
/// service or limit.
pub fn describe_differences(earlier: &RouteTable, later: &RouteTable) -> Vec<String> {
    let mut lines = Vec::new();
    lines.extend(change("revision", &earlier.revision, &later.revision));
    let (old, new) = (rules_by_name(earlier), rules_by_name(later));
    compare("route", &old, &new, &mut lines, |name, old, new| {
        let path = |rule: &PathRule| format!("{}{}", rule.hostname, rule.prefix);
        let fields = [
            (path(old) != path(new)).then(|| format!("moved {} -> {}", path(old), path(new))),
            change("timeout", &old.answer_within, &new.answer_within),
            change("target latency", &old.target_latency, &new.target_latency),
            change("repeat", &old.repeat, &new.repeat),
            change("priority", &old.rank, &new.rank),
            change("attempts", &old.max_attempts, &new.max_attempts),
            change("split", &split_text(old), &split_text(new)),
        ];
        describe_fields(&format!("route {name}"), fields)
    });
    let (old, new) = (settings_by_service(earlier), settings_by_service(later));
    compare("service", &old, &new, &mut lines, |name, old, new| {
        let fields = [
            change("health path", &old.health_path, &new.health_path),
            change("connections", &old.connections, &new.connections),
        ];
        describe_fields(&format!("service {name}"), fields)
    });
    let (old, new) = (earlier.limits, later.limits);
    let fields = [
        change("header bytes", &old.max_header_bytes, &new.max_header_bytes),
        change("body bytes", &old.max_body_bytes, &new.max_body_bytes),
        change("header timeout", &old.header_timeout, &new.header_timeout),
        change("idle timeout", &old.idle_timeout, &new.idle_timeout),
    ];
    lines.extend(describe_fields("limits", fields));
    lines
}

/// Compares entries by name: lists those that were added or removed, and describes the others.
fn compare<T>(
    noun: &str,
    old: &BTreeMap<&str, &T>,
    new: &BTreeMap<&str, &T>,
    lines: &mut Vec<String>,
    describe: impl Fn(&str, &T, &T) -> Option<String>,
) {
    for (name, old_entry) in old {
        match new.get(name) {
            None => lines.push(format!("{noun} {name}: removed")),
            Some(new_entry) => lines.extend(describe(name, old_entry, new_entry)),
        }
    }
    let added = new.keys().filter(|name| !old.contains_key(*name));
    lines.extend(added.map(|name| format!("{noun} {name}: added")));
}

fn change<T: PartialEq + Debug>(field: &str, old: &T, new: &T) -> Option<String> {
    (old != new).then(|| format!("{field} {old:?} -> {new:?}"))
}

fn describe_fields<const N: usize>(place: &str, fields: [Option<String>; N]) -> Option<String> {
    let changed: Vec<String> = fields.into_iter().flatten().collect();
    (!changed.is_empty()).then(|| format!("{place}: {}", changed.join(", ")))
}

fn split_text(rule: &PathRule) -> Vec<String> {
    let entries = rule.traffic_split.iter();
    entries.map(|entry| format!("{} {}", entry.service, entry.weight)).collect()
}

fn is_same_path(one: &PathRule, other: &PathRule) -> bool {
    (&one.hostname, &one.prefix) == (&other.hostname, &other.prefix)
}

/// The rules by host name and prefix; those with the same path in the order of the table.
fn sorted_rules(table: &RouteTable) -> Vec<&PathRule> {
    let mut rules: Vec<&PathRule> = table.rules().map(Rc::as_ref).collect();
    rules.sort_by(|a, b| (&a.hostname, &a.prefix).cmp(&(&b.hostname, &b.prefix)));
    rules
}

fn rules_by_name(table: &RouteTable) -> BTreeMap<&str, &PathRule> {
    sorted_rules(table).into_iter().map(|rule| (&*rule.name, rule)).collect()
}

fn settings_by_service(table: &RouteTable) -> BTreeMap<&str, &TargetSettings> {
    table.target_settings.iter().map(|settings| (&*settings.service, settings)).collect()
}
