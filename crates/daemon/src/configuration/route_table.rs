//! Reads the route table from the store.
//!
//! Each call to the store costs money, so a few daemons read for all. They wait for changes in
//! a call to the store's feed, and gossip announces a new revision to the others. A call whose
//! response is lost looks the same as one without changes, and so does a reader that is lost or
//! frozen. Gossip therefore also tells when the store was last read ([`member::Freshness`]).
//! A daemon that finds this too long ago reads the table itself, whatever the member list says
//! of the readers.
//!
//! The same table names the evacuated data centres, which the membership service passes on.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use kernel::{Kernel, Mailbox};
use member::{DataCentres, EvacuationRead};
use store::{Failure, Position, Rows};

use super::Message;
use crate::membership::ReadDuty;
use crate::{membership, names, storage};

/// Time for which a call to the feed waits for a change.
const FEED_WAIT: Duration = Duration::from_secs(20);
/// Number of daemons per data centre that wait for changes: those that started first. Each data
/// centre has its own, so that one that is cut off from the others hears of changes at once.
const FEED_READERS: usize = 1;
/// Time since the last read of the store by any daemon after which the daemon that started first
/// of all reads the table without waiting.
const FIRST_READ_AGE: Duration = Duration::from_millis(700);
/// The same for the feed readers, and the time over which they spread their reads.
const READER_READ_AGE: Duration = Duration::from_millis(900);
const READER_SPREAD: Duration = Duration::from_millis(150);
/// The same for all other daemons. A change has to be in force 2 s after its acknowledgement;
/// the rest of this time is for the read and for gossip.
const READ_AGE: Duration = Duration::from_millis(1100);
const SPREAD: Duration = Duration::from_millis(400);
/// Time since the last read after which a newer revision may be in force elsewhere.
pub(super) const MAX_READ_AGE: Duration = Duration::from_secs(3);
/// Mean time between the attempts of one daemon while its reads fail: this time for each
/// member, within limits. From the upper limit on, the share of the read budget bounds the
/// attempts of the fleet.
const RETRY_PAUSE_PER_MEMBER: Duration = Duration::from_millis(120);
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(500);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);
/// Time in which a starting daemon exchanges member lists with others. After this time the
/// feed readers are known.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time after which a daemon that has not received the configuration from its peers reads
/// the store itself.
const PEER_CONFIG_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without gossip from any other daemon after which a daemon waits for changes itself.
const MAX_GOSSIP_AGE: Duration = Duration::from_secs(2);
/// Interval at which a daemon checks whether it is a feed reader.
const FEED_READER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Most rows that are read from the store's table that holds the route table.
const MAX_ROWS: usize = 500;
/// Mean pause of a feed reader after a failed call to the feed.
const FEED_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Reads one row of the store and installs it as the route table.
#[derive(Clone)]
pub(super) struct Reader {
    kernel: Kernel,
    configuration: Mailbox<Message>,
    row: &'static str,
    /// Prefix of the keys of rows that name evacuated data centres.
    evacuation_prefix: &'static str,
    /// Position up to which the table has been read.
    position: Rc<Cell<Option<Position>>>,
}

/// What a daemon does about the time of the last read of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Checks again after this time.
    Wait(Duration),
    /// Reads the table after this time, unless another daemon has read it by then.
    ReadAfter(Duration),
}

impl Reader {
    pub(super) fn new(
        kernel: &Kernel,
        configuration: Mailbox<Message>,
        row: &'static str,
        evacuation_prefix: &'static str,
    ) -> Self {
        let (kernel, position) = (kernel.clone(), Rc::default());
        Self { kernel, configuration, row, evacuation_prefix, position }
    }

    /// Starts to wait for changes and to watch the time of the last read.
    ///
    /// A daemon that is restarted reads the table at once. When a whole fleet starts for the
    /// first time and `join_within` spreads out its joining, only the feed readers read it.
    pub(super) fn start(self, join_within: Duration) {
        let kernel = self.kernel.clone();
        kernel.start(self.clone().follow_feed(join_within));
        kernel.start(self.watch_reads(join_within));
    }

    /// Waits for changes in calls to the feed while this daemon is a feed reader.
    async fn follow_feed(self, join_within: Duration) {
        let clock = *self.kernel.clock();
        let started = clock.now();
        let mut wait = FEED_WAIT;
        let mut must_read = join_within.is_zero();
        if !must_read {
            clock.sleep(join_within + MEMBERSHIP_SETTLE_TIME).await;
        }
        loop {
            let is_first_read = self.position.get().is_none();
            let is_overdue = is_first_read && clock.now() - started > PEER_CONFIG_TIMEOUT;
            let should_read = must_read
                || self.is_feed_reader().await
                || (is_overdue && !self.is_ready_for_calls().await);
            if !should_read {
                clock.sleep(FEED_READER_CHECK_INTERVAL).await;
                continue;
            }
            must_read = false;
            match self.read(wait).await {
                Ok(()) => {
                    wait = FEED_WAIT;
                    if is_first_read {
                        clock.sleep(MEMBERSHIP_SETTLE_TIME).await;
                    }
                }
                Err(Failure::Compacted) => {}
                Err(_) => {
                    // The store may have come back from an older copy. The next response tells,
                    // so it must not wait for a change.
                    wait = Duration::ZERO;
                    must_read = is_first_read && join_within.is_zero();
                    clock.sleep(FEED_RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
                }
            }
        }
    }

    /// Reads the table whenever the last read by any daemon is too long ago.
    async fn watch_reads(self, join_within: Duration) {
        let clock = *self.kernel.clock();
        clock.sleep(join_within + MEMBERSHIP_SETTLE_TIME).await;
        let started = clock.now();
        loop {
            let Some(duty) = self.read_duty().await else { return };
            let age = clock.now() - duty.read_at.unwrap_or(started);
            metrics::gauge!("bronzeport_store_read_age_seconds").set(age.as_secs_f64());
            match next_step(age, duty, fastrand::f64()) {
                Step::Wait(time) => clock.sleep(time).await,
                Step::ReadAfter(time) => {
                    clock.sleep(time).await;
                    let is_read =
                        self.read_duty().await.is_none_or(|now| now.read_at != duty.read_at);
                    if !is_read && self.read_overdue(age + time).await.is_err() {
                        clock.sleep(retry_pause(duty.members).mul_f64(0.5 + fastrand::f64())).await;
                    }
                }
            }
        }
    }

    /// Reads the table without waiting, because the last read is `age` ago.
    async fn read_overdue(&self, age: Duration) -> Result<(), Failure> {
        let result = match self.read(Duration::ZERO).await {
            // The position is from an earlier era or too old.
            Err(Failure::Compacted) => self.read(Duration::ZERO).await,
            result => result,
        };
        let label = if result.is_ok() { "ok" } else { "failed" };
        metrics::counter!("bronzeport_overdue_reads_total", "result" => label).increment(1);
        if age > MAX_READ_AGE {
            log::warn!("no daemon is known to have read the configuration for {age:?}");
        }
        result
    }

    /// Reads the whole table, or its changes after the known position for up to `wait`, and
    /// installs the route table.
    async fn read(&self, wait: Duration) -> Result<(), Failure> {
        let clock = *self.kernel.clock();
        let known = self.position.get();
        // Without a position, the store responds at once with the whole table.
        let wait = known.map_or(Duration::ZERO, |_| wait);
        let sent_at = clock.now();
        match self.request_rows(known, wait).await {
            Ok(rows) => {
                self.advance(rows.position);
                self.report_evacuation(&rows, known.is_none());
                for row in rows.rows.into_iter().filter(|found| *found.key == *self.row) {
                    self.configuration.send(Message::RouteTableRead { text: row.value });
                }
                // The store has looked for changes until the end of the wait, if not longer.
                let read_at = clock.now().min(sent_at + wait);
                self.configuration.send(Message::Confirmed { read_at });
                Ok(())
            }
            Err(failure) => {
                if failure == Failure::Compacted && self.position.get() == known {
                    log::info!(
                        "the feed of {} has lost its history and is read anew",
                        self.table()
                    );
                    self.position.set(None);
                }
                log::debug!("cannot read the feed of {}: {failure}", self.table());
                Err(failure)
            }
        }
    }

    async fn request_rows(&self, known: Option<Position>, wait: Duration) -> Result<Rows, Failure> {
        let store: Mailbox<storage::Message> = self.kernel.service(names::STORE);
        let table = self.table().into();
        let read = match known {
            None => {
                let message = |reply| storage::Message::ReadTable { table, limit: MAX_ROWS, reply };
                store.request(message).await
            }
            Some(after) => {
                store.request(|reply| storage::Message::Feed { table, after, wait, reply }).await
            }
        };
        read.unwrap_or(Err(Failure::Down))
    }

    /// Reports the rows of evacuated data centres. `is_whole` says whether the rows are those of
    /// the whole table, and not the changes since an earlier read.
    fn report_evacuation(&self, rows: &Rows, is_whole: bool) {
        let Some(read) = read_evacuation(rows, self.evacuation_prefix, is_whole) else {
            log::warn!("the table {} has too many rows to find evacuations", self.table());
            return;
        };
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        let at = (rows.position.era, rows.position.version);
        membership.send(membership::Message::EvacuationRead { at, read });
    }

    /// Moves the position forward. Another call may have moved it further meanwhile.
    fn advance(&self, to: Position) {
        let is_ahead =
            self.position.get().is_some_and(|at| (at.era, at.version) >= (to.era, to.version));
        if !is_ahead {
            self.position.set(Some(to));
        }
    }

    fn table(&self) -> &'static str {
        self.row.split('/').next().unwrap_or(self.row)
    }

    async fn is_ready_for_calls(&self) -> bool {
        let state = self.configuration.request(|reply| Message::State { reply }).await;
        state.is_some_and(|state| state.is_ready_for_calls())
    }

    /// Whether this daemon waits for changes: it is among those of its data centre that started
    /// first, or it receives no gossip from any other daemon.
    async fn is_feed_reader(&self) -> bool {
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        let seniority = membership.request(|reply| membership::Message::Seniority { reply }).await;
        seniority.is_none_or(|own| own.earlier < FEED_READERS || own.gossip_age > MAX_GOSSIP_AGE)
    }

    /// Returns what decides whether this daemon reads, and reports it to the configuration.
    async fn read_duty(&self) -> Option<ReadDuty> {
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        let duty = membership.request(|reply| membership::Message::ReadDuty { reply }).await?;
        self.configuration.send(Message::FleetConfirmed { read_at: duty.read_at });
        Some(duty)
    }
}

/// Returns what rows say about evacuated data centres; `None` if a list of the whole table may
/// have been cut off. A row requests an evacuation whatever its value is.
fn read_evacuation(rows: &Rows, prefix: &str, is_whole: bool) -> Option<EvacuationRead> {
    let name = |key: &str| key.strip_prefix(prefix).map(Box::from);
    let written = rows.rows.iter().map(|row| &row.key).chain(&rows.unreadable);
    let added: DataCentres = written.filter_map(|key| name(key)).collect();
    if is_whole {
        let is_cut_off = rows.rows.len() + rows.unreadable.len() >= MAX_ROWS;
        return (!is_cut_off).then_some(EvacuationRead::All(added));
    }
    let removed = rows.deleted.iter().filter_map(|key| name(key)).collect();
    Some(EvacuationRead::Changes { added, removed })
}

/// Decides what to do if the store was last read `age` ago. `random` is a number from 0 to 1.
fn next_step(age: Duration, duty: ReadDuty, random: f64) -> Step {
    let (limit, spread) = match (duty.is_first, duty.earlier < FEED_READERS) {
        (true, _) => (FIRST_READ_AGE, Duration::ZERO),
        (false, true) => (READER_READ_AGE, READER_SPREAD),
        (false, false) => (READ_AGE, SPREAD),
    };
    match age < limit {
        true => Step::Wait(limit - age),
        false => Step::ReadAfter(spread_delay(spread, duty.members, random)),
    }
}

/// Returns a random delay of at most `spread`. The delays of `members` daemons grow denser
/// towards the end, so that few daemons read before the others have heard of the first read,
/// and all do by the end if there is none (Nonnenmacher and Biersack, 1999).
fn spread_delay(spread: Duration, members: usize, random: f64) -> Duration {
    let density = (members.max(1) as f64).ln() + 1.0;
    spread.mul_f64((random * density.exp_m1()).ln_1p() / density)
}

/// Returns the mean time between the attempts of one of `members` daemons to read the table.
fn retry_pause(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    RETRY_PAUSE_PER_MEMBER.saturating_mul(members).clamp(MIN_RETRY_PAUSE, MAX_RETRY_PAUSE)
}

#[cfg(test)]
mod tests;
