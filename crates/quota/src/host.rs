//! One host: its share of the quotas, its entry, and its part as a coordinator.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use config::Organisation;

use crate::coordinator::{Coordinator, Step};
use crate::entry::{Admission, Entry, Ticket, Verdict};
use crate::fleet::{Fleet, Presence};
use crate::group::{list_coordinators, rank_candidates};
use crate::{Accrual, Grant, TRANSFER_INTERVAL, Want};

/// Time limit of the coordinator's reply. It is below half of the time for which a request waits,
/// so that a second coordinator can be asked.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// Time for which a coordinator that did not reply is not asked again.
const AVOIDANCE: Duration = Duration::from_secs(1);
/// Ticket of the local host's own requests to its coordinator role.
const OWN: Ticket = Ticket::MAX;

/// A member of the fleet that has not left.
#[derive(Debug, Clone, Copy)]
pub struct Member<'a> {
    /// Address of the member's daemon.
    pub address: &'a str,
    /// Data centre of the member.
    pub data_centre: &'a str,
    /// Whether the member is present.
    pub presence: Presence,
}

/// What a host has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Carry out the decision about a request.
    Decide(Verdict),
    /// Transfer credit to a coordinator and ask it for tokens. [`Host::replied`] follows.
    Exchange {
        /// Address of the coordinator.
        to: Box<str>,
        /// Number of the exchange.
        sequence: u64,
        /// Credit, in seconds.
        credit: f64,
        /// The tokens that are asked for.
        wants: Vec<Want>,
    },
    /// Ask another coordinator to lend tokens. [`Host::lent`] follows.
    Borrow {
        /// Address of the lender.
        lender: Box<str>,
        /// The tokens that are asked for.
        wants: Vec<Want>,
    },
    /// Reply to the exchange of another host that has this ticket.
    Reply {
        /// The ticket.
        ticket: Ticket,
        /// The granted tokens.
        grants: Vec<Grant>,
    },
}

/// The exchange for whose reply the host waits.
#[derive(Debug)]
struct Exchange {
    sequence: u64,
    to: Box<str>,
    at: Instant,
    wants: Vec<Want>,
}

/// Decisions of one host.
#[derive(Debug)]
pub struct Host {
    address: Box<str>,
    data_centre: Box<str>,
    fleet: Fleet,
    accrual: Accrual,
    entry: Entry,
    coordinator: Coordinator,
    /// Hosts that may coordinate the local host's group, the first choice first.
    candidates: Vec<Box<str>>,
    /// When a candidate last failed to reply.
    failed: HashMap<Box<str>, Instant>,
    exchange: Option<Exchange>,
    sequence: u64,
    next_transfer: Instant,
}

impl Host {
    /// Creates a host that starts now and knows no others. The first transfer of credit comes
    /// after `offset`, by which the hosts of a fleet should differ.
    pub fn new(now: Instant, address: &str, data_centre: &str, offset: Duration) -> Self {
        Self {
            address: address.into(),
            data_centre: data_centre.into(),
            fleet: Fleet::new(now),
            accrual: Accrual::new(now),
            entry: Entry::default(),
            coordinator: Coordinator::new(),
            candidates: vec![address.into()],
            failed: HashMap::new(),
            exchange: None,
            sequence: 0,
            next_transfer: now + offset,
        }
    }

    /// Returns the number of hosts among which quotas are divided.
    pub fn fleet(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// Returns the buckets that the local host keeps as a coordinator.
    pub fn coordinator(&mut self) -> &mut Coordinator {
        &mut self.coordinator
    }

    /// Whether some organisation has a quota. Without one, the host sends nothing.
    pub fn has_limits(&self) -> bool {
        self.entry.has_limits()
    }

    /// Replaces the quotas.
    pub fn set_limits(&mut self, now: Instant, organisations: &[Organisation]) {
        self.entry.set_limits(organisations);
        self.coordinator.set_limits(now, organisations);
        let hosts = self.fleet.hosts(now);
        // What accrued without quotas does not count for the first ones.
        if !self.has_limits() {
            self.accrual.take(now, hosts);
        }
    }

    /// Replaces the list of members, which includes the local host.
    pub fn set_members(&mut self, now: Instant, members: &[Member<'_>]) {
        self.fleet.set_members(now, members.iter().map(|member| (member.address, member.presence)));
        let mut data_centres: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for member in members.iter().filter(|member| member.presence == Presence::Present) {
            data_centres.entry(member.data_centre).or_default().push(member.address);
        }
        let local = data_centres.remove(&*self.data_centre).unwrap_or_default();
        self.candidates = rank_candidates(&self.address, &local);
        self.failed.retain(|address, _| self.candidates.contains(address));
        let mut near = list_coordinators(&local);
        near.retain(|lender| *lender != self.address);
        let far = data_centres.values().flat_map(|members| list_coordinators(members));
        self.coordinator.set_lenders(near, far.collect());
    }

    /// Decides about a request that enters here with `remaining` time until its deadline.
    /// [`Host::advance`] must follow.
    pub fn admit(
        &mut self,
        now: Instant,
        organisation: &str,
        ticket: Ticket,
        remaining: Duration,
    ) -> Admission {
        self.entry.admit(now, organisation, ticket, remaining)
    }

    /// Handles an exchange that another host has started with this one.
    pub fn exchange(
        &mut self,
        now: Instant,
        ticket: Ticket,
        credit: f64,
        wants: Vec<Want>,
    ) -> Vec<Action> {
        let steps = self.coordinator.exchange(now, ticket, credit, wants);
        self.carry_out(now, steps)
    }

    /// Lends tokens to another coordinator.
    pub fn lend(&mut self, now: Instant, wants: &[Want]) -> Vec<Grant> {
        self.coordinator.lend(now, wants)
    }

    /// A lender has replied, or with no grants, has failed to reply within
    /// [`crate::BORROW_TIMEOUT`]. A later reply may follow.
    pub fn lent(&mut self, now: Instant, lender: &str, grants: Vec<Grant>) -> Vec<Action> {
        let steps = self.coordinator.lent(now, lender, grants);
        self.carry_out(now, steps)
    }

    /// The coordinator has replied to an exchange, or has failed to (`None`).
    pub fn replied(
        &mut self,
        now: Instant,
        sequence: u64,
        grants: Option<Vec<Grant>>,
    ) -> Vec<Action> {
        let is_current = |exchange: &mut Exchange| exchange.sequence == sequence;
        // Tokens of a late reply are lost.
        let Some(exchange) = self.exchange.take_if(is_current) else {
            return Vec::new();
        };
        // A coordinator without the configuration names none of the organisations. It is a daemon
        // that has just started.
        let knows_some = |grants: &Vec<Grant>| exchange.wants.is_empty() || !grants.is_empty();
        let mut actions = match grants.filter(knows_some) {
            Some(grants) => {
                let verdicts = self.entry.receive(now, &exchange.wants, &grants);
                verdicts.into_iter().map(Action::Decide).collect()
            }
            None => {
                self.failed.insert(exchange.to, now);
                Vec::new()
            }
        };
        actions.extend(self.advance(now));
        actions
    }

    /// Does what is due: transfers credit, asks for tokens, and refuses requests that have waited
    /// too long.
    pub fn advance(&mut self, now: Instant) -> Vec<Action> {
        let mut actions: Vec<Action> =
            self.entry.expire(now).into_iter().map(Action::Decide).collect();
        let is_late =
            |exchange: &mut Exchange| now.saturating_duration_since(exchange.at) >= REPLY_TIMEOUT;
        if let Some(late) = self.exchange.take_if(is_late) {
            self.failed.insert(late.to, now);
        }
        if !self.has_limits() || self.exchange.is_some() {
            return actions;
        }
        let is_due = now >= self.next_transfer;
        if !is_due && !self.entry.has_waiting() {
            return actions;
        }
        // Each exchange transfers credit.
        self.next_transfer = now + TRANSFER_INTERVAL;
        let hosts = self.fleet.hosts(now);
        let credit = self.accrual.take(now, hosts);
        let wants = self.entry.wants(now);
        if credit > 0.0 || !wants.is_empty() {
            actions.extend(self.start_exchange(now, credit, wants));
        }
        actions
    }

    /// Returns the time at which [`Host::advance`] is due next, if nothing happens before.
    pub fn next_due(&self) -> Option<Instant> {
        let transfer = match &self.exchange {
            Some(exchange) => exchange.at + REPLY_TIMEOUT,
            None => self.next_transfer,
        };
        self.has_limits().then(|| self.entry.next_expiry().map_or(transfer, |at| at.min(transfer)))
    }

    fn start_exchange(&mut self, now: Instant, credit: f64, wants: Vec<Want>) -> Vec<Action> {
        let to = self.choose_coordinator(now);
        self.sequence += 1;
        let sequence = self.sequence;
        let exchange = Exchange { sequence, to: to.clone(), at: now, wants: wants.clone() };
        self.exchange = Some(exchange);
        if to != self.address {
            return vec![Action::Exchange { to, sequence, credit, wants }];
        }
        let steps = self.coordinator.exchange(now, OWN, credit, wants);
        self.carry_out(now, steps)
    }

    /// Returns the first candidate that has not just failed to reply. A host that reaches none
    /// is its own coordinator.
    fn choose_coordinator(&self, now: Instant) -> Box<str> {
        let is_recent = |failed: &Instant| now.saturating_duration_since(*failed) < AVOIDANCE;
        let has_failed = |address: &str| self.failed.get(address).is_some_and(is_recent);
        let candidate = self.candidates.iter().find(|address| !has_failed(address));
        candidate.unwrap_or(&self.address).clone()
    }

    fn carry_out(&mut self, now: Instant, steps: Vec<Step>) -> Vec<Action> {
        let mut actions = Vec::new();
        for step in steps {
            match step {
                Step::Reply { ticket: OWN, grants } => {
                    let sequence = self.exchange.as_ref().map(|exchange| exchange.sequence);
                    let is_own = self.exchange.as_ref().is_some_and(|own| own.to == self.address);
                    if let Some(sequence) = sequence.filter(|_| is_own) {
                        actions.extend(self.replied(now, sequence, Some(grants)));
                    }
                }
                Step::Reply { ticket, grants } => actions.push(Action::Reply { ticket, grants }),
                Step::Borrow { lender, wants } => actions.push(Action::Borrow { lender, wants }),
            }
        }
        actions
    }
}
