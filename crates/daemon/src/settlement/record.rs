//! Records in the store of the daemons that claim requests.

use std::collections::HashMap;
use std::time::Duration;

use kernel::{Kernel, Mailbox};
use route::Node;
use serde::{Deserialize, Serialize};
use store::{Cell, Condition, Era, Failure, Tag, Write};

use super::{commit, read, require_done};
use crate::{names, storage};

/// Time limit for the record of a planned stop.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Most earlier daemons of an address in its record.
pub(super) const MAX_EARLIER: usize = 32;
/// Most records of one service that are read at once.
const MAX_RECORDS: usize = 499;
/// Prefix of the keys of the records.
const RECORD_PREFIX: &str = "claimers/";

/// The daemon of this process, as it appears in its record.
#[derive(Debug, Clone)]
pub(crate) struct Claimer {
    pub(crate) node: Node,
    /// Address for other daemons. At any time only one process has it.
    pub(crate) address: Box<str>,
    /// Service of the target beside this daemon.
    pub(crate) service: Box<str>,
}

/// Record of the daemon at an address.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Record {
    pub(super) node: Node,
    /// Latest era in which the daemon has written again what was lost.
    pub(super) era: Era,
    /// Whether the daemon has stopped and claims nothing any more.
    #[serde(default)]
    pub(super) has_stopped: bool,
    /// Daemons that had this address before and whose rows were complete when their successor
    /// started, each with the era of that start.
    #[serde(default)]
    pub(super) earlier: Vec<(Node, Era)>,
}

impl Record {
    /// Returns the record that follows this one of the same address when `node` reports.
    pub(super) fn next(mut self, node: Node, era: Era) -> Self {
        if self.node == node {
            return Self { era, ..self };
        }
        // A daemon that had not reported in this era may have left lost rows behind.
        if self.era == era || self.has_stopped {
            self.earlier.push((self.node, era));
            let excess = self.earlier.len().saturating_sub(MAX_EARLIER);
            self.earlier.drain(..excess);
        }
        Self { node, era, has_stopped: false, earlier: self.earlier }
    }

    /// Whether the store has all rows that `node` has written, in `era`. A record that is
    /// itself from an earlier era is in the copy, and so are all rows written before it.
    pub(super) fn accounts_for(&self, node: Node, era: Era) -> bool {
        let is_reported = self.node == node && (self.era == era || self.has_stopped);
        is_reported || self.earlier.iter().any(|(earlier, since)| *earlier == node && *since < era)
    }
}

/// Records a planned stop. Call this when this daemon claims nothing any more.
pub(crate) async fn close(kernel: &Kernel, claimer: &Claimer) {
    let write = async {
        let (tag, record) = read_record(kernel, claimer).await?;
        if (record.node, record.era) != (claimer.node, tag.era) {
            log::info!("the stop is not recorded in the store: rows may have to be written again");
            return Ok(());
        }
        write_record(kernel, claimer, tag, &Record { has_stopped: true, ..record }).await
    };
    match kernel.clock().timeout(CLOSE_TIMEOUT, write).await {
        Ok(Ok(())) => {}
        Ok(Err(failure)) => log::info!("the stop is not recorded in the store: {failure}"),
        Err(_) => log::info!("the stop is not recorded in the store: it is not responding"),
    }
}

/// Records that all rows which this daemon has written are in the store.
pub(super) async fn report(kernel: &Kernel, claimer: &Claimer, era: Era) -> Result<(), Failure> {
    let (tag, record) = read_record(kernel, claimer).await?;
    write_record(kernel, claimer, tag, &record.next(claimer.node, era)).await
}

async fn read_record(kernel: &Kernel, claimer: &Claimer) -> Result<(Tag, Record), Failure> {
    let Cell { tag, value } = read(kernel, record_key(claimer)).await?;
    let record = value.map(|text| serde_json::from_str(&text)).transpose();
    Ok((tag, record.map_err(|_| Failure::Garbled)?.unwrap_or_default()))
}

async fn write_record(
    kernel: &Kernel,
    claimer: &Claimer,
    tag: Tag,
    record: &Record,
) -> Result<(), Failure> {
    let value = serde_json::to_string(record).map_err(|_| Failure::Garbled)?;
    let key = record_key(claimer);
    let write = Write { key, condition: Condition::Tag(tag), value: value.into() };
    require_done(commit(kernel, write).await)
}

/// Reads the records of all daemons of a service by address.
pub(super) async fn read_records(
    kernel: &Kernel,
    service: &str,
) -> Result<HashMap<Box<str>, Record>, Failure> {
    let store: Mailbox<storage::Message> = kernel.service(names::STORE);
    let prefix: Box<str> = format!("{RECORD_PREFIX}{service}/").into();
    let mut records = HashMap::new();
    let mut after: Box<str> = "".into();
    loop {
        let message = |reply| storage::Message::List {
            prefix: prefix.clone(),
            after: after.clone(),
            limit: MAX_RECORDS,
            reply,
        };
        let rows = store.request(message).await.unwrap_or(Err(Failure::Down))?;
        let is_last = rows.len() < MAX_RECORDS;
        for row in rows {
            let record = serde_json::from_str(&row.value).map_err(|_| Failure::Garbled)?;
            let address = row.key.strip_prefix(&*prefix).ok_or(Failure::Garbled)?;
            records.insert(address.into(), record);
            after = row.key;
        }
        if is_last {
            return Ok(records);
        }
    }
}

fn record_key(Claimer { service, address, .. }: &Claimer) -> Box<str> {
    format!("{RECORD_PREFIX}{service}/{address}").into()
}
