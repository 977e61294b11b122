//! The service for quotas: limits on the requests of an organisation, summed over all hosts.
//!
//! The crate `quota` decides; this service keeps its timers and carries its messages. Without an
//! organisation with a quota, it sends nothing.

mod report;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ::quota::{
    Action, Admission, BORROW_TIMEOUT, Grant, Host, Presence, REPLY_TIMEOUT, TRANSFER_INTERVAL,
    Ticket, Want,
};
use config::Organisation;
use futures_lite::FutureExt;
use kernel::{Inbox, Kernel, Mailbox, Reply};
use member::{Member, State};
use route::Node;
use wire::{QuotaGrant, QuotaRequest, QuotaWant};

use self::report::Report;
use crate::{membership, names, peers};

/// Shortest time between two requests for the list of members, which is long in a large fleet.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a lender's reply is awaited after [`BORROW_TIMEOUT`].
const LATE_REPLY_LIMIT: Duration = Duration::from_secs(1);
/// Most tokens of one organisation that a message may name, so that a malformed one does not
/// distort the sums.
const MAX_TOKENS: f64 = 1e6;

/// Messages to the service.
pub(crate) enum Message {
    /// These organisations are configured.
    Organisations(Vec<Organisation>),
    /// The list of members has changed.
    MembersChanged,
    /// All members.
    Members(Vec<Member>),
    /// The local host has merged the list of another member into its own.
    ListsCompared,
    /// Another host counts this many hosts in the fleet.
    FleetSize(u32),
    /// Decides whether a request of an organisation may run. `time_left` is the time until its
    /// deadline. The reply is never [`Admission::Pending`].
    Admit { organisation: Box<str>, time_left: Duration, reply: Reply<Admission> },
    /// Another daemon transfers credit, asks for tokens or borrows some.
    Exchange { request: QuotaRequest, reply: Reply<Vec<QuotaGrant>> },
    /// The coordinator has replied to an exchange, or has failed to reply.
    Replied { sequence: u64, grants: Option<Vec<Grant>> },
    /// A lender has replied, or has failed to reply and has lent nothing.
    Lent { lender: Box<str>, grants: Option<Vec<Grant>> },
}

enum Event {
    Message(Message),
    Due,
    Closed,
}

/// Starts the service of the host `local`.
pub(crate) fn start(kernel: &Kernel, local: &Member) {
    let inbox = kernel.register(names::QUOTA);
    let now = kernel.clock().now();
    // Hosts that start together transfer their credit at different times.
    let offset = TRANSFER_INTERVAL.mul_f64(fastrand::f64());
    let task = Task {
        kernel: kernel.clone(),
        mailbox: kernel.service(names::QUOTA),
        node: local.node,
        host: Host::new(now, &local.address, &local.data_centre, offset),
        next_ticket: 0,
        requests: HashMap::new(),
        exchanges: HashMap::new(),
        is_list_outdated: true,
        list_requested_at: None,
        report: Report::default(),
    };
    kernel.start(task.run(inbox));
}

struct Task {
    kernel: Kernel,
    mailbox: Mailbox<Message>,
    node: Node,
    host: Host,
    next_ticket: Ticket,
    /// Requests of callers that wait for a decision.
    requests: HashMap<Ticket, (Box<str>, Reply<Admission>)>,
    /// Exchanges of other daemons that wait for a reply.
    exchanges: HashMap<Ticket, Reply<Vec<QuotaGrant>>>,
    /// Whether the list of members has changed since it was last requested.
    is_list_outdated: bool,
    list_requested_at: Option<Instant>,
    report: Report,
}

impl Task {
    async fn run(mut self, inbox: Inbox<Message>) {
        loop {
            let event = self.wait(&inbox).await;
            let now = self.kernel.clock().now();
            match event {
                Event::Message(message) => self.handle(now, message),
                Event::Due => {}
                Event::Closed => return,
            }
            if self.host.has_limits() {
                self.request_members(now);
                let actions = self.host.advance(now);
                self.execute(now, actions);
                self.report.levels(now, &mut self.host);
            }
        }
    }

    async fn wait(&self, inbox: &Inbox<Message>) -> Event {
        let message = async { inbox.receive().await.map_or(Event::Closed, Event::Message) };
        let Some(due) = self.host.next_due() else {
            return message.await;
        };
        let clock = self.kernel.clock();
        let timer = async {
            clock.sleep(due.saturating_duration_since(clock.now())).await;
            Event::Due
        };
        message.or(timer).await
    }

    fn handle(&mut self, now: Instant, message: Message) {
        match message {
            Message::Organisations(organisations) => {
                self.host.set_limits(now, &organisations);
                if !self.host.has_limits() {
                    // The requests that wait have no quota any more.
                    let actions = self.host.advance(now);
                    self.execute(now, actions);
                    self.announce_size(0);
                }
            }
            Message::MembersChanged => self.is_list_outdated = true,
            Message::Members(members) => self.set_members(now, &members),
            Message::ListsCompared => self.host.fleet().exchanged(now),
            Message::FleetSize(hosts) => self.host.fleet().heard(now, hosts),
            Message::Admit { organisation, time_left, reply } => {
                self.admit(now, organisation, time_left, reply);
            }
            Message::Exchange { request, reply } => self.exchange(now, request, reply),
            Message::Replied { sequence, grants } => {
                if grants.is_none() {
                    metrics::counter!("bronzeport_quota_lost_total", "kind" => "exchange")
                        .increment(1);
                }
                let actions = self.host.replied(now, sequence, grants);
                self.execute(now, actions);
            }
            Message::Lent { lender, grants } => {
                if grants.is_none() {
                    metrics::counter!("bronzeport_quota_lost_total", "kind" => "borrow")
                        .increment(1);
                }
                let grants = grants.unwrap_or_default();
                self.report.borrowed(&grants);
                let actions = self.host.lent(now, &lender, grants);
                self.execute(now, actions);
            }
        }
    }

    /// Requests the list of members if it has changed, at most once per [`LIST_INTERVAL`].
    fn request_members(&mut self, now: Instant) {
        let is_too_soon = |at: Instant| now.saturating_duration_since(at) < LIST_INTERVAL;
        if !self.is_list_outdated || self.list_requested_at.is_some_and(is_too_soon) {
            return;
        }
        self.is_list_outdated = false;
        self.list_requested_at = Some(now);
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        let mailbox = self.mailbox.clone();
        self.kernel.start(async move {
            if let Some(members) =
                membership.request(|reply| membership::Message::All { reply }).await
            {
                mailbox.send(Message::Members(members));
            }
        });
    }

    fn set_members(&mut self, now: Instant, members: &[Member]) {
        let present = |member: &Member| match member.state {
            State::Alive | State::Suspect | State::Leaving => Some(Presence::Present),
            State::Lost => Some(Presence::Lost),
            State::Left => None,
        };
        let members = members.iter().filter_map(|member| {
            let (address, data_centre) = (&*member.address, &*member.data_centre);
            Some(::quota::Member { address, data_centre, presence: present(member)? })
        });
        self.host.set_members(now, &members.collect::<Vec<_>>());
        let count = self.host.fleet().count(now);
        self.announce_size(count);
    }

    /// Lets gossip carry the number of hosts that this one counts.
    fn announce_size(&self, hosts: u32) {
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        membership.send(membership::Message::FleetSize(hosts));
    }

    fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn admit(
        &mut self,
        now: Instant,
        organisation: Box<str>,
        time_left: Duration,
        reply: Reply<Admission>,
    ) {
        let ticket = self.new_ticket();
        match self.host.admit(now, &organisation, ticket, time_left) {
            Admission::Pending => {
                self.requests.insert(ticket, (organisation, reply));
            }
            admission => self.decide(&organisation, admission, reply),
        }
    }

    fn decide(&mut self, organisation: &str, admission: Admission, reply: Reply<Admission>) {
        self.report.decision(organisation, admission);
        reply.send(admission);
    }

    fn exchange(&mut self, now: Instant, request: QuotaRequest, reply: Reply<Vec<QuotaGrant>>) {
        let wants = request
            .wants
            .into_iter()
            .map(|want| Want { organisation: want.organisation, tokens: checked(want.tokens) });
        let wants: Vec<Want> = wants.collect();
        if request.borrows {
            let grants = self.host.lend(now, &wants);
            self.report.lent(&grants);
            reply.send(to_wire(grants));
            return;
        }
        let ticket = self.new_ticket();
        self.exchanges.insert(ticket, reply);
        let actions = self.host.exchange(now, ticket, request.credit, wants);
        self.execute(now, actions);
    }

    fn execute(&mut self, now: Instant, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Decide(verdict) => {
                    if let Some((organisation, reply)) = self.requests.remove(&verdict.ticket) {
                        self.decide(&organisation, verdict.admission, reply);
                    }
                }
                Action::Exchange { to, sequence, credit, wants } => {
                    metrics::counter!("bronzeport_quota_messages_total", "kind" => "exchange")
                        .increment(1);
                    let request = self.request(false, credit, &wants);
                    self.transfer(to, sequence, request);
                }
                Action::Borrow { lender, wants } => {
                    metrics::counter!("bronzeport_quota_messages_total", "kind" => "borrow")
                        .increment(1);
                    let request = self.request(true, 0.0, &wants);
                    self.borrow(lender, request);
                }
                Action::Reply { ticket, grants } => {
                    if let Some(reply) = self.exchanges.remove(&ticket) {
                        reply.send(to_wire(grants));
                    }
                }
            }
        }
        self.report.hosts(self.host.fleet().hosts(now));
    }

    fn request(&self, borrows: bool, credit: f64, wants: &[Want]) -> QuotaRequest {
        let wants = wants
            .iter()
            .map(|want| QuotaWant { organisation: want.organisation.clone(), tokens: want.tokens });
        QuotaRequest { from: self.node, borrows, credit, wants: wants.collect() }
    }

    /// Sends an exchange to a coordinator.
    fn transfer(&self, to: Box<str>, sequence: u64, request: QuotaRequest) {
        let (kernel, mailbox) = (self.kernel.clone(), self.mailbox.clone());
        self.kernel.start(async move {
            let call = call(&kernel, to, &request);
            let grants = kernel.clock().timeout(REPLY_TIMEOUT, call).await.ok().flatten();
            mailbox.send(Message::Replied { sequence, grants });
        });
    }

    /// Asks a lender. A reply that comes after the time limit still moves tokens.
    fn borrow(&self, lender: Box<str>, request: QuotaRequest) {
        let (kernel, mailbox) = (self.kernel.clone(), self.mailbox.clone());
        self.kernel.start(async move {
            let clock = kernel.clock();
            let mut call = std::pin::pin!(call(&kernel, lender.clone(), &request));
            let grants = match clock.timeout(BORROW_TIMEOUT, &mut call).await {
                Ok(grants) => grants,
                Err(_) => {
                    mailbox.send(Message::Lent { lender: lender.clone(), grants: None });
                    let Ok(Some(grants)) = clock.timeout(LATE_REPLY_LIMIT, call).await else {
                        return;
                    };
                    Some(grants)
                }
            };
            mailbox.send(Message::Lent { lender, grants });
        });
    }
}

/// Calls another daemon. Returns `None` if it cannot be reached.
async fn call(kernel: &Kernel, to: Box<str>, request: &QuotaRequest) -> Option<Vec<Grant>> {
    let peers: Mailbox<peers::Message> = kernel.service(names::PEERS);
    let message = |reply| peers::Message::Connect { address: to, reply };
    let client = peers.request(message).await.flatten()?;
    let grants = client.exchange_quota(request).await.ok()?;
    Some(grants.into_iter().map(from_wire).collect())
}

/// Returns a number of tokens from another daemon, or zero if it is not a sensible number.
fn checked(tokens: f64) -> f64 {
    if tokens.is_finite() { tokens.clamp(0.0, MAX_TOKENS) } else { 0.0 }
}

fn from_wire(grant: QuotaGrant) -> Grant {
    let QuotaGrant { organisation, tokens, retry_after } = grant;
    Grant { organisation, tokens: checked(tokens), retry_after }
}

fn to_wire(grants: Vec<Grant>) -> Vec<QuotaGrant> {
    let convert = |Grant { organisation, tokens, retry_after }| QuotaGrant {
        organisation,
        tokens,
        retry_after,
    };
    grants.into_iter().map(convert).collect()
}
