//! Reads the audit trail of publications.

use config::stored;
use error_stack::{Report, ResultExt};
use serde_json::Value;
use store::{Failure, Store};

use crate::publish::read_head;

/// An entry of the audit trail, as JSON.
#[derive(Debug)]
pub struct Entry(pub Value);

/// Returns the newest `limit` entries, oldest first.
pub async fn read(store: &Store, limit: usize) -> Result<Vec<Entry>, Report<Failure>> {
    let mut revision = read_head(store).await?.revision;
    let mut entries = Vec::new();
    // Revisions have gaps, so each entry names the one before it.
    while revision > 0 && entries.len() < limit {
        let row = store.read(&stored::log_key(revision)).await.map_err(Report::new)?;
        let Some(row) = row else {
            break;
        };
        let value: Value = serde_json::from_str(&row.value).change_context(Failure::Garbled)?;
        revision = value["from"].as_u64().unwrap_or(0);
        entries.push(Entry(value));
    }
    entries.reverse();
    Ok(entries)
}

impl Entry {
    /// Formats the entry as one line: revision, time, publisher and services. A removed
    /// service has a minus sign before its name.
    pub fn line(&self) -> String {
        let value = &self.0;
        let services = value["changes"].as_array().into_iter().flatten().map(|change| {
            let name = change["service"].as_str().unwrap_or("?");
            match change["body"].as_str() {
                Some("") => format!("-{name}"),
                _ => name.to_owned(),
            }
        });
        format!(
            "{:>6} (from {}) at {} by {}: {}",
            value["revision"],
            value["from"],
            value["when"],
            value["who"].as_str().unwrap_or("?"),
            services.collect::<Vec<_>>().join(" ")
        )
    }
}
