//! What a daemon does in each era of the store: writes its lost rows again, reports this and
//! settles the service of its target.

use std::collections::HashMap;
use std::time::Duration;

use kernel::{Kernel, Mailbox};
use member::Member;
use once::{LoggedRow, Row, settled_key};
use route::Node;
use store::{Cell, CommitResult, Condition, Era, FIRST_ERA, Failure, Tag, Write};

use super::record::{Claimer, read_records, report};
use super::{Message, RowResult, commit, read, read_settled, require_done};
use crate::{membership, names, storage};

/// Pause after a failed call, and first pause between two looks at the records of others.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between two looks at the records of others.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Number of daemons of a service that look at the records often: those with the lowest node
/// numbers. The others do so at long intervals, since each look is two reads.
const SETTLERS: usize = 2;

/// The daemons that may have claimed requests since the service was settled last, by node,
/// with their addresses. `None` if this daemon has never seen the service settled, so that it
/// cannot know them.
type Claimers = Option<HashMap<Node, Box<str>>>;

/// What a daemon knows of the time since the service was settled last.
#[derive(Debug, Default)]
struct Unsettled {
    claimers: Claimers,
    /// Whether the store may have lost rows that this daemon has forgotten.
    lacks_forgotten_rows: bool,
}

/// Result of writing lost rows again.
#[derive(Debug, PartialEq, Eq)]
enum Rewritten {
    /// The store has all rows that this daemon has ever written.
    All,
    /// The copy is older than the rows that this daemon remembers.
    CopyTooOld,
}

/// How far a service is from being settled.
#[derive(Debug)]
enum Progress {
    /// The service is settled.
    Settled,
    /// These daemons have not reported.
    Missing(Vec<String>),
    /// This daemon cannot tell.
    NotKnown,
}

/// Writes again in each era of the store what was lost, and settles the service of the target.
/// `claimer` is `None` if there is no target beside this daemon, so that it claims nothing.
pub(crate) async fn follow_eras(kernel: Kernel, claimer: Option<Claimer>) {
    let mut unsettled = Unsettled::default();
    let mut current = storage::next_era(&kernel, 0).await;
    while let Some(era) = current {
        let work = async {
            work_in_era(&kernel, claimer.as_ref(), &mut unsettled, era).await;
            std::future::pending().await
        };
        current = futures_lite::future::or(storage::next_era(&kernel, era), work).await;
    }
}

/// Does what this daemon has to do in an era.
async fn work_in_era(
    kernel: &Kernel,
    claimer: Option<&Claimer>,
    unsettled: &mut Unsettled,
    era: Era,
) {
    if let (Some(claimer), Some(claimers)) = (claimer, &mut unsettled.claimers) {
        // Members that end from now on are in the list too.
        add_members(kernel, &claimer.service, claimers).await;
        metrics::gauge!("bronzeport_service_unsettled").set(1.0);
    }
    if write_lost_rows(kernel, era).await == Rewritten::CopyTooOld {
        log::error!(
            "the store came back from a copy that is older than the rows of request ids that \
             this daemon remembers; it cannot tell which of them are lost"
        );
        unsettled.lacks_forgotten_rows = true;
    }
    let Some(claimer) = claimer else {
        return;
    };
    if !unsettled.lacks_forgotten_rows {
        let what = "report that no row is missing";
        retry(kernel, what, async || report(kernel, claimer, era).await).await;
    }
    settle(kernel, claimer, &mut unsettled.claimers, era).await;
    *unsettled = Unsettled { claimers: Some(HashMap::new()), lacks_forgotten_rows: false };
    metrics::gauge!("bronzeport_service_unsettled").set(0.0);
}

/// Looks at the records until the service is settled, by this daemon or another.
async fn settle(kernel: &Kernel, claimer: &Claimer, claimers: &mut Claimers, era: Era) {
    let is_earlier = |node: &&Node| **node < claimer.node;
    let earlier = claimers.iter().flat_map(HashMap::keys).filter(is_earlier).count();
    let mut pause = match claimers {
        Some(_) if earlier < SETTLERS => MIN_PAUSE,
        _ => MAX_PAUSE,
    };
    let mut is_logged = false;
    loop {
        if let Some(claimers) = claimers {
            add_members(kernel, &claimer.service, claimers).await;
        }
        match try_settle(kernel, claimer, claimers, era).await {
            Ok(Progress::Settled) => return,
            Ok(Progress::Missing(nodes)) if pause == MAX_PAUSE && !is_logged => {
                log::warn!(
                    "requests of {} that must not be repeated are refused unless the store has \
                     their rows: these daemons have not reported in era {era}: {}",
                    claimer.service,
                    nodes.join(", ")
                );
                is_logged = true;
            }
            Ok(Progress::Missing(_) | Progress::NotKnown) => {}
            Err(failure) => log::info!("cannot settle {}: {failure}", claimer.service),
        }
        kernel.clock().sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// Declares the service settled if all of `claimers` are accounted for.
async fn try_settle(
    kernel: &Kernel,
    claimer: &Claimer,
    claimers: &Claimers,
    era: Era,
) -> Result<Progress, Failure> {
    if era <= FIRST_ERA {
        return Ok(Progress::Settled);
    }
    let (tag, settled) = read_settled(kernel, &claimer.service).await?;
    if settled == era {
        return Ok(Progress::Settled);
    }
    let Some(claimers) = claimers else {
        return Ok(Progress::NotKnown);
    };
    let records = read_records(kernel, &claimer.service).await?;
    let is_accounted_for = |node: Node, address: &str| {
        records.get(address).is_some_and(|record| record.accounts_for(node, era))
    };
    let missing = claimers.iter().filter(|(node, address)| !is_accounted_for(**node, address));
    let missing: Vec<String> =
        missing.map(|(node, address)| format!("{node:016x} at {address}")).collect();
    if !missing.is_empty() {
        return Ok(Progress::Missing(missing));
    }
    let write = Write {
        key: settled_key(&claimer.service),
        condition: Condition::Tag(tag),
        value: era.to_string().into(),
    };
    require_done(commit(kernel, write).await)?;
    log::info!("the rows of request ids of {} are complete in era {era}", claimer.service);
    Ok(Progress::Settled)
}

/// Writes the lost rows again, the newest first, up to those that the copy has.
async fn write_lost_rows(kernel: &Kernel, era: Era) -> Rewritten {
    let settlement: Mailbox<Message> = kernel.service(names::SETTLEMENT);
    let (mut written, mut has_copy_rows) = (0, false);
    while let Some(row) =
        settlement.request(|reply| Message::NextUnseen { era, reply }).await.flatten()
    {
        let key = row.key.clone();
        let result = write_lost_row(kernel, &row, era).await;
        written += usize::from(matches!(result, RowResult::Written(_)));
        let message = |reply| Message::Seen { key, era, result, reply };
        has_copy_rows |= settlement.request(message).await.unwrap_or(false);
    }
    if written > 0 {
        log::warn!(
            "{written} rows of request ids that the store had lost are written in era {era}"
        );
        metrics::counter!("bronzeport_recovered_claims_total").increment(written as u64);
    }
    let is_complete = settlement.request(|reply| Message::IsComplete { reply }).await;
    match has_copy_rows || is_complete == Some(true) {
        true => Rewritten::All,
        false => Rewritten::CopyTooOld,
    }
}

/// Writes a row again if it does not exist.
async fn write_lost_row(kernel: &Kernel, row: &LoggedRow, era: Era) -> RowResult {
    let mut may_be_written = row.may_be_written;
    retry(kernel, "write a lost row again", async || {
        let write = Write {
            key: row.key.clone(),
            condition: Condition::Tag(Tag { era, version: 0 }),
            value: row.text.clone(),
        };
        match commit(kernel, write).await {
            CommitResult::Done(tags) => {
                Ok(tags.first().map_or(RowResult::Unknown, |tag| RowResult::Written(*tag)))
            }
            CommitResult::Conflict(_) if may_be_written => Ok(RowResult::Unknown),
            CommitResult::Conflict(_) => {
                let Cell { tag, value } = read(kernel, row.key.clone()).await?;
                let is_own = value.is_some_and(|text| is_same_attempt(&text, &row.text));
                match tag.era == era && is_own {
                    true => Ok(RowResult::Found),
                    false => Ok(RowResult::Unknown),
                }
            }
            CommitResult::NotSent(failure) => Err(failure),
            CommitResult::Restored | CommitResult::Unknown => {
                may_be_written = true;
                Err(Failure::Down)
            }
        }
    })
    .await
}

/// Whether two texts of a row were written by the same attempt.
fn is_same_attempt(text: &str, other: &str) -> bool {
    let nonce = |text| Row::try_from(text).map(|row| row.nonce).ok();
    nonce(text).is_some() && nonce(text) == nonce(other)
}

/// Adds the members whose targets are of this service, whatever their state.
async fn add_members(kernel: &Kernel, service: &str, claimers: &mut HashMap<Node, Box<str>>) {
    let membership: Mailbox<membership::Message> = kernel.service(names::MEMBERSHIP);
    let members = membership.request(|reply| membership::Message::All { reply }).await;
    let members = members.unwrap_or_default().into_iter();
    let of_service = members.filter(|member| *member.service == *service);
    claimers.extend(of_service.map(|Member { node, address, .. }| (node, address)));
}

/// Repeats `operation` until it succeeds. Each era has its own attempt, which ends with it.
async fn retry<T>(
    kernel: &Kernel,
    what: &str,
    mut operation: impl AsyncFnMut() -> Result<T, Failure>,
) -> T {
    loop {
        match operation().await {
            Ok(result) => return result,
            Err(failure) => log::info!("cannot {what}: {failure}"),
        }
        kernel.clock().sleep(MIN_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}
