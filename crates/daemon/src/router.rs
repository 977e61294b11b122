//! The service that tracks the targets of all services and chooses targets for calls.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admit::{Hold, HoldTracker};
use config::Service;
use kernel::{Inbox, Kernel, Mailbox, Reply};
use member::{DataCentres, Member};
use route::{
    AttemptHistory, AttemptId, AttemptResult, Budget, BudgetShares, Budgets, Call, Choice,
    DataCentre, Departure, Failure, HedgeDecision, HedgeLimit, HedgeRefusal, Load, Node, Policy,
    Pool, RetryContext, RetryDecision, Target, decide_retry, pick_subset,
};

use crate::journal::TargetEstimate;
use crate::settings::Settings;
use crate::{membership, names, peers};

/// Time limit of a load probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Approximate number of bytes of a load probe and its reply.
const PROBE_BYTES: usize = 250;
/// Budgets for services that the route table leads to. The platform limits all requests
/// beyond the first attempt to a fifth of the calls, and counts the calls to other services
/// that a repeated request makes.
const ROUTE_TABLE_SHARES: BudgetShares =
    BudgetShares { probes: 0.0, retries: 0.03, hedges: 0.01, burst: 2.0 };
/// Maximum share of retries and hedges together, as in [`ROUTE_TABLE_SHARES`], which holds also
/// if an operator allows more hedges. An entry does not know the depth of a call in its chain,
/// so the share must be allowed at each depth: five times 0.04 is the platform's limit of 0.2.
const ROUTE_TABLE_TOTAL_SHARE: f64 = 0.04;
/// Interval at which load reports are polled under the two-choices policy.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time from hearing of an evacuation to the first refusal of calls because all targets are
/// evacuated. A daemon that joins hears of the evacuation from the first member that it meets, and
/// of some members later.
const EVACUATION_GRACE: Duration = Duration::from_millis(750);

/// Messages to the service.
pub(crate) enum Message {
    /// Choose a target for an attempt.
    Choose {
        service: Box<str>,
        /// Targets of earlier attempts.
        history: AttemptHistory,
        /// Whether this is the first attempt of a call, which is deposited in the budgets.
        is_first: bool,
        /// Properties of the call that the choice depends on.
        call: Call,
        reply: Reply<Option<Route>>,
    },
    /// Choose a target for a hedge, other than those in `tried`.
    Hedge {
        service: Box<str>,
        /// Properties of the call that the choice depends on.
        call: Call,
        tried: Vec<Node>,
        /// Whether the answer is very late, so that the retry budget pays for the hedge unless
        /// an operator's limit applies.
        is_very_late: bool,
        reply: Reply<Option<Route>>,
    },
    /// An attempt has ended.
    AttemptEnded {
        service: Box<str>,
        kind: Box<str>,
        node: Node,
        attempt: AttemptId,
        result: AttemptResult,
        load: Option<Load>,
        /// Sizes of the request and of the answer's body in bytes.
        request_bytes: usize,
        bytes: usize,
    },
    /// Decide whether a call is sent to another target.
    Retry { service: Box<str>, context: RetryContext, reply: Reply<RetryDecision> },
    /// A probe has returned a load report.
    Probed { service: Box<str>, node: Node, load: Load },
    /// A guard has sent its load by gossip.
    LoadReported { node: Node, load: Load },
    /// Return how much longer a request is held; `None` if it is not held.
    HeldFor { fingerprint: u64, reply: Reply<Option<Duration>> },
    /// A request was answered, which shows that it does not crash targets.
    Harmless { fingerprint: u64 },
    /// Requests that were in flight at crashes.
    Holds(Vec<Hold>),
    /// All members, each with the round-trip time to its data centre.
    Members(Vec<(Member, Duration)>),
    /// Names of the evacuated data centres, whose targets get no requests.
    Evacuated(DataCentres),
    /// Returns whether the service has targets, all of them are in evacuated data centres, and
    /// that may be relied on: the grace time is over.
    IsEvacuated { service: Box<str>, reply: Reply<bool> },
    /// All services of the configuration in force.
    Services(Vec<Rc<Service>>),
    /// Names of the services that the route table leads to.
    RoutedServices(Vec<Box<str>>),
    /// Return the address of a node.
    Address { node: Node, reply: Reply<Option<Box<str>>> },
    /// Poll load reports; only under the two-choices policy.
    Poll,
}

/// Target of an attempt.
#[derive(Debug, Clone)]
pub(crate) struct Route {
    pub(crate) node: Node,
    pub(crate) address: Box<str>,
    pub(crate) attempt: AttemptId,
    pub(crate) may_queue: bool,
    /// Why the call leaves its data centre; `None` if it stays or no data centre is far.
    pub(crate) departure: Option<Departure>,
    /// Estimate of the target at the time of the choice.
    pub(crate) estimate: TargetEstimate,
    /// When a hedge is sent; `None` if there are no hedges.
    pub(crate) hedge: Option<HedgePlan>,
}

/// When a hedge is sent beside an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HedgePlan {
    pub(crate) after: Duration,
    /// Whether an operator's limit applies, which also covers hedges of very late answers.
    pub(crate) is_limited: bool,
}

/// Target that was chosen for an attempt.
struct Chosen {
    node: Node,
    may_queue: bool,
    departure: Option<Departure>,
}

/// Starts the service.
pub(crate) fn start(kernel: &Kernel, node: Node, settings: &Settings, seed: u64) {
    let policy = settings.policy;
    let inbox = kernel.register::<Message>(names::ROUTER);
    let mailbox = kernel.service::<Message>(names::ROUTER);
    let task = Task {
        kernel: kernel.clone(),
        mailbox: mailbox.clone(),
        node,
        policy,
        data_centre: settings.data_centre.clone(),
        transfer_cost: settings.transfer_cost,
        locality_rtt: settings.locality_rtt,
        data_centre_numbers: HashMap::new(),
        hedge_limit: settings.hedge_share.map(|share| HedgeLimit {
            share: share.min(ROUTE_TABLE_TOTAL_SHARE),
            max_rtt: settings.locality_rtt.unwrap_or(Duration::MAX),
        }),
        random: fastrand::Rng::with_seed(seed),
        members: HashMap::new(),
        evacuated: DataCentres::new(),
        evacuated_at: None,
        pools: HashMap::new(),
        services: HashMap::new(),
        routed_services: Vec::new(),
        holds: HoldTracker::default(),
    };
    kernel.start(task.run(inbox));
    if policy == Policy::TwoChoices {
        let clock = *kernel.clock();
        kernel.start(async move {
            loop {
                clock.sleep(POLL_INTERVAL).await;
                mailbox.send(Message::Poll);
            }
        });
    }
}

struct Task {
    kernel: Kernel,
    mailbox: Mailbox<Message>,
    node: Node,
    policy: Policy,
    data_centre: Box<str>,
    /// Cost of transferring one megabyte between data centres, as time in seconds.
    transfer_cost: f64,
    /// Round-trip time from which on a data centre is far; `None` if none is.
    locality_rtt: Option<Duration>,
    /// Numbers of the data centres that are or were far. A number is never used again.
    data_centre_numbers: HashMap<Box<str>, DataCentre>,
    /// The operator's limit on hedges for the services of the route table.
    hedge_limit: Option<HedgeLimit>,
    random: fastrand::Rng,
    members: HashMap<Node, (Member, Duration)>,
    evacuated: DataCentres,
    /// When the evacuated data centres were last reported.
    evacuated_at: Option<Instant>,
    pools: HashMap<Box<str>, Pool>,
    services: HashMap<Box<str>, Rc<Service>>,
    routed_services: Vec<Box<str>>,
    holds: HoldTracker,
}

/// Records the age of the load report behind a prediction, and returns the prediction as it
/// is logged.
fn observe_prediction(prediction: route::Prediction) -> TargetEstimate {
    if prediction.report_age < Duration::MAX {
        metrics::histogram!("bronzeport_report_age_seconds")
            .record(prediction.report_age.as_secs_f64());
    }
    TargetEstimate {
        pace: prediction.pace,
        report_age_ms: u64::try_from(prediction.report_age.as_millis()).ok(),
        occupancy: prediction.occupancy,
        expected_ms: prediction.time.as_secs_f64() * 1e3,
    }
}

fn route_table_shares(limit: Option<HedgeLimit>) -> BudgetShares {
    let hedges = limit.map_or(ROUTE_TABLE_SHARES.hedges, |limit| limit.share);
    BudgetShares { hedges, ..ROUTE_TABLE_SHARES }
}

fn apply_hedge_limit(pool: &mut Pool, limit: Option<HedgeLimit>) {
    if let Some(limit) = limit {
        pool.budgets.set_total(ROUTE_TABLE_TOTAL_SHARE);
        pool.set_hedge_limit(limit);
    }
}

fn count_hedge_refusal(refusal: HedgeRefusal) {
    let reason = match refusal {
        HedgeRefusal::ServiceFull => "service-full",
        HedgeRefusal::NoFreeSlot => "no-free-slot",
        HedgeRefusal::Budget => "budget",
    };
    metrics::counter!("bronzeport_hedges_refused_total", "reason" => reason).increment(1);
}

fn budget_shares(service: &Service) -> BudgetShares {
    BudgetShares {
        probes: service.probe_share,
        retries: service.retry_share,
        hedges: service.hedge_share,
        burst: Budget::MAX_TOKENS,
    }
}

impl Task {
    async fn run(mut self, inbox: Inbox<Message>) {
        while let Some(message) = inbox.receive().await {
            self.handle(message);
        }
    }

    fn now(&self) -> Instant {
        self.kernel.clock().now()
    }

    fn handle(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Choose { service, history, is_first, call, reply } => {
                let route = self.choose(now, &service, &history, is_first, &call);
                self.begin_attempt(now, service, route, &call, reply);
            }
            Message::Hedge { service, call, tried, is_very_late, reply } => {
                let pool = self.pool(&service);
                let node = match pool.decide_hedge_within_limit(now, &tried, &call) {
                    None => pool.decide_hedge(now, &tried, &call, is_very_late),
                    Some(HedgeDecision::Send(node)) => Some(node),
                    Some(HedgeDecision::Refuse(refusal)) => {
                        count_hedge_refusal(refusal);
                        None
                    }
                };
                let route = node.map(|node| Chosen { node, may_queue: false, departure: None });
                self.begin_attempt(now, service, route, &call, reply);
            }
            Message::AttemptEnded {
                service,
                kind,
                node,
                attempt,
                result,
                load,
                request_bytes,
                bytes,
            } => {
                let pool = self.pool(&service);
                pool.end(now, node, attempt, result);
                if matches!(result, AttemptResult::Answered(_)) {
                    pool.observe_request_size(&kind, request_bytes);
                    pool.observe_answer_size(&kind, bytes);
                }
                if let Some(load) = load {
                    pool.observe_load(now, node, load);
                }
            }
            Message::Retry { service, context, reply } => {
                let budgets = &mut self.pool(&service).budgets;
                let decision = decide_retry(context, &mut budgets.retries);
                let is_redirect = matches!(context.failure, Failure::Busy | Failure::Leaving);
                if decision == RetryDecision::AnotherTarget && !is_redirect {
                    budgets.charge_retry();
                }
                reply.send(decision);
            }
            Message::Probed { service, node, load } => {
                self.pool(&service).observe_load(now, node, load);
            }
            Message::LoadReported { node, load } => {
                let service = self.members.get(&node).map(|(member, _)| member.service.clone());
                if let Some(service) = service {
                    self.pool(&service).observe_load(now, node, load);
                }
            }
            Message::HeldFor { fingerprint, reply } => {
                reply.send(self.holds.held_for(now, fingerprint));
            }
            Message::Harmless { fingerprint } => self.holds.observe_answer(now, fingerprint),
            Message::Holds(holds) => {
                for hold in holds {
                    self.holds.apply(now, hold);
                }
            }
            Message::Members(members) => self.set_members(members),
            Message::Evacuated(data_centres) => {
                self.evacuated = data_centres;
                self.evacuated_at = Some(now);
                self.update_targets();
            }
            Message::IsEvacuated { service, reply } => {
                reply.send(self.is_service_evacuated(now, &service));
            }
            Message::Services(services) => self.set_services(services),
            Message::RoutedServices(routed_services) => {
                self.routed_services = routed_services;
                let pools = self.pools.iter_mut();
                for (_, pool) in pools.filter(|(name, _)| self.routed_services.contains(name)) {
                    pool.budgets.set_shares(route_table_shares(self.hedge_limit));
                    apply_hedge_limit(pool, self.hedge_limit);
                }
            }
            Message::Address { node, reply } => {
                let member = self.members.get(&node);
                reply.send(member.map(|(member, _)| member.address.clone()));
            }
            Message::Poll => self.poll(),
        }
    }

    fn choose(
        &mut self,
        now: Instant,
        service: &str,
        history: &AttemptHistory,
        is_first: bool,
        call: &Call,
    ) -> Option<Chosen> {
        if is_first {
            self.pool(service).budgets.deposit();
        }
        let mut random = self.random.fork();
        let pool = self.pool(service);
        let (choice, departure) = pool.choose_with_departure(now, &mut random, history, call);
        if is_first && self.policy == Policy::Bronzeport {
            let probed = self.pool(service).decide_probe(now);
            if let Some(node) = probed {
                self.probe(service, node);
            }
        }
        match choice {
            Choice::Send { node, may_queue } => Some(Chosen { node, may_queue, departure }),
            Choice::NoTarget => None,
        }
    }

    fn begin_attempt(
        &mut self,
        now: Instant,
        service: Box<str>,
        chosen: Option<Chosen>,
        call: &Call,
        reply: Reply<Option<Route>>,
    ) {
        let route = chosen.and_then(|Chosen { node, may_queue, departure }| {
            let address = self.members.get(&node)?.0.address.clone();
            let hedges = self.policy == Policy::Bronzeport;
            let pool = self.pool(&service);
            let (attempt, prediction) = pool.begin(now, node, call);
            Some(Route {
                node,
                address,
                estimate: observe_prediction(prediction),
                attempt,
                may_queue,
                departure,
                hedge: pool
                    .hedge_delay(call)
                    .filter(|_| hedges)
                    .map(|after| HedgePlan { after, is_limited: pool.has_hedge_limit() }),
            })
        });
        if let Some(departure) = route.as_ref().and_then(|route| route.departure) {
            metrics::counter!("bronzeport_calls_left_total", "reason" => departure.name())
                .increment(1);
        }
        let begun = route.as_ref().map(|route| (route.node, route.attempt));
        let was_delivered = reply.send(route);
        if let (Some((node, attempt)), false) = (begun, was_delivered) {
            self.pool(&service).end(now, node, attempt, AttemptResult::Inconclusive);
        }
    }

    fn pool(&mut self, service: &str) -> &mut Pool {
        if !self.pools.contains_key(service) {
            let mut pool = Pool::new(self.policy, self.budgets(service));
            let targets = self.targets(service);
            let far = self.far_nodes(&targets);
            pool.set_targets(targets);
            pool.set_far(&far);
            pool.set_transfer_cost(self.transfer_cost);
            if self.is_routed(service) {
                apply_hedge_limit(&mut pool, self.hedge_limit);
            }
            self.pools.insert(service.into(), pool);
        }
        self.pools.get_mut(service).expect("inserted above")
    }

    fn budgets(&self, service: &str) -> Budgets {
        match self.services.get(service) {
            Some(s) => Budgets::new(budget_shares(s)),
            None if self.is_routed(service) => Budgets::new(route_table_shares(self.hedge_limit)),
            None => Budgets::default(),
        }
    }

    /// Whether the route table leads to a service.
    fn is_routed(&self, service: &str) -> bool {
        self.routed_services.iter().any(|known| **known == *service)
    }

    /// The members that serve a service, whether or not their data centre is evacuated.
    fn serving(&self, service: &str) -> impl Iterator<Item = &(Member, Duration)> {
        let members = self.members.values();
        members.filter(move |(m, _)| *m.service == *service && m.state.takes_calls())
    }

    fn is_evacuated(&self, member: &Member) -> bool {
        self.evacuated.contains(&member.data_centre)
    }

    /// Whether the service has targets, all of them are in evacuated data centres, and the grace
    /// time since the last report of evacuations is over.
    fn is_service_evacuated(&self, now: Instant, service: &str) -> bool {
        let is_due = |since: Instant| now.saturating_duration_since(since) >= EVACUATION_GRACE;
        let mut serving = self.serving(service).peekable();
        self.evacuated_at.is_some_and(is_due)
            && serving.peek().is_some()
            && serving.all(|(member, _)| self.is_evacuated(member))
    }

    fn targets(&self, service: &str) -> Vec<Target> {
        let serving = self.serving(service).filter(|(member, _)| !self.is_evacuated(member));
        let targets = serving.map(|(member, rtt)| Target {
            node: member.node,
            rtt: *rtt,
            slots: member.slots,
            in_local_data_centre: member.data_centre == self.data_centre,
        });
        pick_subset(self.node, targets)
    }

    fn set_members(&mut self, members: Vec<(Member, Duration)>) {
        let members = members.into_iter().map(|(member, rtt)| (member.node, (member, rtt)));
        self.members = members.collect();
        self.update_targets();
    }

    fn update_targets(&mut self) {
        let services: Vec<Box<str>> = self.pools.keys().cloned().collect();
        for service in services {
            let targets = self.targets(&service);
            let far = self.far_nodes(&targets);
            let pool = self.pool(&service);
            pool.set_targets(targets);
            pool.set_far(&far);
        }
    }

    /// Returns those of the targets that are in far data centres, each with the number of its
    /// data centre. One whose round-trip time is not known yet counts as far.
    fn far_nodes(&mut self, targets: &[Target]) -> HashMap<Node, DataCentre> {
        let Some(limit) = self.locality_rtt else {
            return HashMap::new();
        };
        let is_far = |target: &&Target| {
            !target.in_local_data_centre && (target.rtt >= limit || target.rtt.is_zero())
        };
        let far = targets.iter().filter(is_far).map(|target| target.node);
        let members = &self.members;
        let numbers = &mut self.data_centre_numbers;
        let numbered = far.filter_map(|node| {
            let data_centre = &members.get(&node)?.0.data_centre;
            let next = numbers.len() as DataCentre;
            Some((node, *numbers.entry(data_centre.clone()).or_insert(next)))
        });
        numbered.collect()
    }

    fn set_services(&mut self, services: Vec<Rc<Service>>) {
        let services = services.into_iter().map(|service| (service.name.clone(), service));
        self.services = services.collect();
        for (name, pool) in &mut self.pools {
            if let Some(service) = self.services.get(name) {
                pool.budgets.set_shares(budget_shares(service));
            }
        }
    }

    /// Requests the load of a target from its guard. The target itself receives no request.
    fn probe(&self, service: &str, node: Node) {
        let Some((member, _)) = self.members.get(&node) else {
            return;
        };
        metrics::counter!("bronzeport_probes_total").increment(1);
        let address = member.address.clone();
        let (kernel, mailbox, service) =
            (self.kernel.clone(), self.mailbox.clone(), service.into());
        self.kernel.start(async move {
            let peers: Mailbox<peers::Message> = kernel.service(names::PEERS);
            let client =
                peers.request(|reply| peers::Message::Connect { address, reply }).await.flatten();
            let Some(client) = client else {
                return;
            };
            let (kind, peer, bytes) = ("probes", membership::Peer::Node(node), PROBE_BYTES);
            let membership: Mailbox<membership::Message> = kernel.service(names::MEMBERSHIP);
            membership.send(membership::Message::Transferred { kind, peer, bytes });
            if let Ok(Ok(load)) = kernel.clock().timeout(PROBE_TIMEOUT, client.load()).await {
                mailbox.send(Message::Probed { service, node, load });
            }
        });
    }

    fn poll(&mut self) {
        let pools = self.pools.iter();
        let nodes = pools.flat_map(|(service, pool)| pool.nodes().map(move |node| (service, node)));
        for (service, node) in nodes {
            self.probe(service, node);
        }
    }
}
