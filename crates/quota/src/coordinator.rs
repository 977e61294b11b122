//! The coordinator of a group of hosts.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use config::Organisation;

use crate::bucket::{Bucket, Funds, Urgency};
use crate::recent::Recent;
use crate::{Grant, Ticket, Want};

/// Span over which received credit is measured.
const CREDIT_SPAN: Duration = Duration::from_secs(2);
/// Shortest time over which the credit of a host that has just become a coordinator is measured.
const MIN_CREDIT_SPAN: Duration = Duration::from_millis(250);
/// Shortest time between two requests to one lender.
pub(crate) const BORROW_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two rounds. With many lenders, some of them may always be asked.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which requests wait for a lender's reply. It is below [`crate::REPLY_TIMEOUT`].
pub const BORROW_TIMEOUT: Duration = Duration::from_millis(100);
/// Most lenders that are asked at once. With more data centres, different ones are asked in turn.
const MAX_LENDERS: usize = 4;
/// Number of tokens below which what all lenders gave counts as nothing.
const NOTHING: f64 = 0.1;

/// What a coordinator has to send.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Reply to the entry's request with this ticket.
    Reply {
        /// The ticket.
        ticket: Ticket,
        /// The granted tokens.
        grants: Vec<Grant>,
    },
    /// Ask another coordinator to lend tokens.
    Borrow {
        /// Address of the lender.
        lender: Box<str>,
        /// The tokens that are asked for.
        wants: Vec<Want>,
    },
}

/// Buckets of all organisations with a quota, and the requests that wait for borrowed tokens.
#[derive(Debug)]
pub struct Coordinator {
    buckets: BTreeMap<Box<str>, Bucket>,
    credit: f64,
    received: Recent,
    /// When credit was last received, and since when without a gap of [`CREDIT_SPAN`].
    credited: Option<(Instant, Instant)>,
    /// The other coordinators, those of the own data centre in front.
    lenders: Vec<Box<str>>,
    near: usize,
    /// When each lender was last asked.
    asked: HashMap<Box<str>, Instant>,
    round: Option<Round>,
    round_at: Option<Instant>,
    /// Organisations for which tokens may be borrowed, by the requests since the last round, and
    /// whether one of them needs some.
    low: BTreeSet<Box<str>>,
    is_borrowing_due: bool,
    waiting: Vec<(Ticket, Vec<Want>)>,
}

/// Requests to lenders that have not all replied.
#[derive(Debug)]
struct Round {
    unanswered: BTreeSet<Box<str>>,
    received: BTreeMap<Box<str>, f64>,
}

impl Coordinator {
    /// Creates a coordinator without quotas.
    pub fn new() -> Self {
        Self {
            buckets: BTreeMap::new(),
            credit: 0.0,
            received: Recent::new(CREDIT_SPAN),
            credited: None,
            lenders: Vec::new(),
            near: 0,
            asked: HashMap::new(),
            round: None,
            round_at: None,
            low: BTreeSet::new(),
            is_borrowing_due: false,
            waiting: Vec::new(),
        }
    }

    /// Replaces the quotas. The buckets of new organisations are empty.
    pub fn set_limits(&mut self, now: Instant, organisations: &[Organisation]) {
        let funds = self.funds(now);
        let mut previous = std::mem::take(&mut self.buckets);
        for organisation in organisations {
            let Some(quota) = organisation.quota else { continue };
            let bucket = match previous.remove(&organisation.name) {
                Some(mut bucket) => {
                    bucket.set_quota(now, quota, funds);
                    bucket
                }
                None => Bucket::new(now, quota, funds.credit),
            };
            self.buckets.insert(organisation.name.clone(), bucket);
        }
    }

    /// Replaces the lists of the other coordinators: `near` ones in the own data centre, and `far`
    /// ones, which are asked when the near ones were.
    pub fn set_lenders(&mut self, near: Vec<Box<str>>, far: Vec<Box<str>>) {
        self.near = near.len();
        self.lenders = near;
        self.lenders.extend(far);
        let lenders: BTreeSet<&Box<str>> = self.lenders.iter().collect();
        self.asked.retain(|lender, _| lenders.contains(lender));
    }

    /// Returns the part of the fleet's credit that this coordinator receives.
    pub fn share(&mut self, now: Instant) -> f64 {
        let Some((_, since)) = self.credited else {
            return 0.0;
        };
        let span = now.saturating_duration_since(since).clamp(MIN_CREDIT_SPAN, CREDIT_SPAN);
        (self.received.sum(now) / span.as_secs_f64()).min(1.0)
    }

    /// Returns the number of tokens held for an organisation.
    pub fn level(&mut self, now: Instant, organisation: &str) -> Option<f64> {
        let funds = self.funds(now);
        self.buckets.get_mut(organisation).map(|bucket| bucket.available(now, funds))
    }

    /// Handles a host's request: takes over its credit, in seconds, and grants tokens. The reply
    /// follows now or after [`Coordinator::lent`].
    pub fn exchange(
        &mut self,
        now: Instant,
        ticket: Ticket,
        credit: f64,
        wants: Vec<Want>,
    ) -> Vec<Step> {
        // The limit guards against a sender that counts no other hosts and against NaN.
        let credit = if credit > 0.0 { credit.min(1.0) } else { 0.0 };
        self.credit += credit;
        self.received.add(now, credit);
        if credit > 0.0 {
            let is_recent = |last: Instant| now.saturating_duration_since(last) < CREDIT_SPAN;
            let since = self.credited.filter(|(last, _)| is_recent(*last));
            self.credited = Some((now, since.map_or(now, |(_, since)| since)));
        }
        for want in &wants {
            if let Some(bucket) = self.buckets.get_mut(&want.organisation) {
                bucket.note_demand(now, want.tokens);
            }
        }
        let mut steps = self.start_round(now, &wants);
        self.waiting.push((ticket, wants));
        steps.extend(self.reply(now));
        steps
    }

    /// Lends tokens to another coordinator.
    pub fn lend(&mut self, now: Instant, wants: &[Want]) -> Vec<Grant> {
        let funds = self.funds(now);
        let lend = |want: &Want| {
            let bucket = self.buckets.get_mut(&want.organisation)?;
            let tokens = bucket.lend(now, want.tokens, funds);
            let organisation = want.organisation.clone();
            (tokens > 0.0).then_some(Grant { organisation, tokens, retry_after: Duration::ZERO })
        };
        wants.iter().filter_map(lend).collect()
    }

    /// A lender has replied, or with no grants, has failed to reply within [`BORROW_TIMEOUT`]. A
    /// later reply may follow.
    pub fn lent(&mut self, now: Instant, lender: &str, grants: Vec<Grant>) -> Vec<Step> {
        let funds = self.funds(now);
        let mut round = self.round.take();
        for Grant { organisation, tokens, .. } in grants {
            let Some(bucket) = self.buckets.get_mut(&organisation) else { continue };
            bucket.receive(now, tokens, funds);
            let received = round.as_mut().and_then(|round| round.received.get_mut(&organisation));
            if let Some(received) = received {
                *received += tokens;
            }
        }
        if let Some(mut round) = round {
            round.unanswered.remove(lender);
            match round.unanswered.is_empty() {
                true => self.finish(now, &round),
                false => self.round = Some(round),
            }
        }
        self.reply(now)
    }

    fn finish(&mut self, now: Instant, round: &Round) {
        let empty = round.received.iter().filter(|(_, tokens)| **tokens < NOTHING);
        for (organisation, _) in empty {
            if let Some(bucket) = self.buckets.get_mut(organisation) {
                bucket.set_barren(now);
            }
        }
    }

    fn funds(&mut self, now: Instant) -> Funds {
        Funds { credit: self.credit, share: self.share(now) }
    }

    /// Asks lenders for what the recent demand and `wants` exceed the buckets by, in one message
    /// for all organisations, unless a round is in progress or all lenders were asked just now.
    fn start_round(&mut self, now: Instant, wants: &[Want]) -> Vec<Step> {
        let funds = self.funds(now);
        for want in wants {
            let Some(bucket) = self.buckets.get_mut(&want.organisation) else { continue };
            let urgency = bucket.shortfall(now, want.tokens, funds).urgency;
            if urgency > Urgency::None {
                self.low.insert(want.organisation.clone());
            }
            self.is_borrowing_due |= urgency >= Urgency::Low;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ROUND_INTERVAL;
        let is_too_soon = self.round.is_some() || self.round_at.is_some_and(is_recent);
        if is_too_soon || !self.is_borrowing_due {
            return Vec::new();
        }
        let lenders = self.choose_lenders(now);
        if lenders.is_empty() {
            return Vec::new();
        }
        let mut borrowed = Vec::new();
        self.is_borrowing_due = false;
        for organisation in std::mem::take(&mut self.low) {
            let asked = wants.iter().filter(|want| want.organisation == organisation);
            let asked = asked.map(|want| want.tokens).sum();
            let bucket = self.buckets.get_mut(&organisation);
            let Some(bucket) = bucket else { continue };
            let shortfall = bucket.shortfall(now, asked, funds);
            // A request that waits may be served by any lender. Otherwise, each lends a part.
            let parts = match shortfall.urgency {
                Urgency::None => continue,
                Urgency::Waiting => 1.0,
                Urgency::Low | Urgency::WithOthers => lenders.len() as f64,
            };
            borrowed.push(Want { organisation, tokens: shortfall.tokens / parts });
        }
        if borrowed.is_empty() {
            return Vec::new();
        }
        for lender in &lenders {
            self.asked.insert(lender.clone(), now);
        }
        self.round_at = Some(now);
        self.round = Some(Round {
            unanswered: lenders.iter().cloned().collect(),
            received: borrowed.iter().map(|want| (want.organisation.clone(), 0.0)).collect(),
        });
        let step = |lender| Step::Borrow { lender, wants: borrowed.clone() };
        lenders.into_iter().map(step).collect()
    }

    /// Returns the lenders that may be asked now: near ones first, and of these and of the far ones
    /// those first that were not asked for the longest time.
    fn choose_lenders(&self, now: Instant) -> Vec<Box<str>> {
        let is_due = |asked: &Instant| now.saturating_duration_since(*asked) >= BORROW_INTERVAL;
        let asked = |lender: &str| self.asked.get(lender).copied();
        let (near, far) = self.lenders.split_at(self.near);
        let mut lenders = Vec::new();
        for group in [near, far] {
            let due = group.iter().filter(|lender| asked(lender).is_none_or(|at| is_due(&at)));
            let mut due: Vec<&Box<str>> = due.collect();
            due.sort_by_key(|lender| asked(lender));
            lenders.extend(due.into_iter().take(MAX_LENDERS - lenders.len()).cloned());
        }
        lenders
    }

    /// Replies to the requests that can be granted in full or for which nothing is on its way.
    fn reply(&mut self, now: Instant) -> Vec<Step> {
        let funds = self.funds(now);
        let mut steps = Vec::new();
        for (ticket, wants) in std::mem::take(&mut self.waiting) {
            let is_waiting = wants.iter().any(|want| {
                let is_borrowed = self
                    .round
                    .as_ref()
                    .is_some_and(|round| round.received.contains_key(&want.organisation));
                let bucket = self.buckets.get_mut(&want.organisation).filter(|_| is_borrowed);
                bucket.is_some_and(|bucket| bucket.available(now, funds) < want.tokens)
            });
            if is_waiting {
                self.waiting.push((ticket, wants));
                continue;
            }
            let grant = |want: Want| {
                let bucket = self.buckets.get_mut(&want.organisation)?;
                let (tokens, retry_after) = bucket.grant(now, want.tokens, funds);
                Some(Grant { organisation: want.organisation, tokens, retry_after })
            };
            let grants = wants.into_iter().filter_map(grant).collect();
            steps.push(Step::Reply { ticket, grants });
        }
        steps
    }
}

impl Default for Coordinator {
    fn default() -> Self {
        Self::new()
    }
}
