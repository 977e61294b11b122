//! Reads the audit trail of publications.

use config::Revision;
use error_stack::{Report, ResultExt};
use serde_json::Value;
use store::{Failure, Store};

use crate::publish::{LOG_PREFIX, read_head};

/// An entry of the audit trail, as JSON.
#[derive(Debug)]
pub struct Entry(pub Value);

/// Returns the newest `limit` entries, oldest first.
pub async fn read(store: &Store, limit: usize) -> Result<Vec<Entry>, Report<Failure>> {
    let head: Revision = read_head(store).await?.revision;
    let after = head.saturating_sub(limit as u64);
    let after = format!("{LOG_PREFIX}{after:012}");
    let rows = store.list(LOG_PREFIX, &after, limit).await.map_err(Report::new)?;
    let mut entries = Vec::with_capacity(rows.len());
    for row in rows {
        let value = serde_json::from_str(&row.value).change_context(Failure::Garbled)?;
        entries.push(Entry(value));
    }
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
