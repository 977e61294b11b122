//! The service that knows the targets of every service and chooses among them.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admit::{Hold, HoldTracker};
use config::Service;
use kernel::{Inbox, Kernel, Mailbox, Reply};
use member::Member;
use route::{
    AttemptHistory, AttemptId, AttemptResult, Budget, BudgetShares, Budgets, Call, Choice, Load,
    Node, Policy, Pool, RetryContext, RetryDecision, Target, decide_retry, pick_subset,
};

use crate::journal::Belief;
use crate::settings::Settings;
use crate::{names, peers};

/// Time limit of a probe.
const PROBE_TIME: Duration = Duration::from_millis(500);
/// What the services of a table of paths may spend beyond one attempt for each
/// call. The platform bounds all arrivals beyond the first to a fifth of the
/// calls; calls that a repeated run makes count, too.
const TABLE_SHARES: BudgetShares =
    BudgetShares { probes: 0.0, retries: 0.03, hedges: 0.01, burst: 2.0 };
/// Age of polled reports under the two-choices policy.
const POLL_EVERY: Duration = Duration::from_millis(100);

/// What the service is asked and told.
pub(crate) enum Ask {
    /// Choose a target for an attempt.
    Choose {
        service: Box<str>,
        /// Where the call has been.
        past: AttemptHistory,
        /// Whether this is the first attempt of a call.
        is_first: bool,
        /// What the choice depends on.
        call: Call,
        reply: Reply<Option<Route>>,
    },
    /// Choose a target for a hedge beside `tried`.
    Hedge {
        service: Box<str>,
        /// What the choice depends on.
        call: Call,
        tried: Vec<Node>,
        /// Whether the retry budget may pay for it.
        is_very_late: bool,
        reply: Reply<Option<Route>>,
    },
    /// An attempt has ended.
    End {
        service: Box<str>,
        kind: Box<str>,
        node: Node,
        attempt: AttemptId,
        ending: AttemptResult,
        load: Option<Load>,
        /// Bytes of the answer.
        bytes: usize,
    },
    /// Decide whether a call is sent again.
    Retry { service: Box<str>, situation: RetryContext, reply: Reply<RetryDecision> },
    /// A probe has brought a report.
    Probed { service: Box<str>, node: Node, load: Load },
    /// A guard has told its load.
    Heard { node: Node, load: Load },
    /// Whether a request is held back, and for how long.
    Held { fingerprint: u64, reply: Reply<Option<Duration>> },
    /// A request was answered: it crashes nothing.
    Harmless { fingerprint: u64 },
    /// News of crashes.
    Holds(Vec<Hold>),
    /// All members, each with the round trip to its data centre.
    Members(Vec<(Member, Duration)>),
    /// All services in force.
    Services(Vec<Rc<Service>>),
    /// Services that paths of the table lead to.
    Endpoints(Vec<Box<str>>),
    /// Find the address of a node.
    Address { node: Node, reply: Reply<Option<Box<str>>> },
    /// Time to poll reports, under the two-choices policy.
    Poll,
}

/// Where an attempt goes.
#[derive(Debug, Clone)]
pub(crate) struct Route {
    pub(crate) node: Node,
    pub(crate) address: Box<str>,
    pub(crate) attempt: AttemptId,
    pub(crate) may_queue: bool,
    /// What is believed of the target.
    pub(crate) belief: Belief,
    /// When a hedge is due; `None` when this policy does not hedge.
    pub(crate) hedge_after: Option<Duration>,
}

/// Starts the service.
pub(crate) fn start(kernel: &Kernel, node: Node, settings: &Settings, seed: u64) {
    let policy = settings.policy;
    let inbox = kernel.register::<Ask>(names::ROUTER);
    let mailbox = kernel.service::<Ask>(names::ROUTER);
    let task = Task {
        kernel: kernel.clone(),
        mailbox: mailbox.clone(),
        node,
        policy,
        data_centre: settings.data_centre.clone(),
        transfer_cost: settings.transfer_cost,
        random: fastrand::Rng::with_seed(seed),
        members: HashMap::new(),
        pools: HashMap::new(),
        services: HashMap::new(),
        endpoints: Vec::new(),
        holds: HoldTracker::default(),
    };
    kernel.start(task.run(inbox));
    if policy == Policy::TwoChoices {
        let clock = *kernel.clock();
        kernel.start(async move {
            loop {
                clock.sleep(POLL_EVERY).await;
                mailbox.send(Ask::Poll);
            }
        });
    }
}

struct Task {
    kernel: Kernel,
    mailbox: Mailbox<Ask>,
    node: Node,
    policy: Policy,
    data_centre: Box<str>,
    /// What a megabyte between data centres counts for, in seconds.
    transfer_cost: f64,
    random: fastrand::Rng,
    members: HashMap<Node, (Member, Duration)>,
    pools: HashMap<Box<str>, Pool>,
    services: HashMap<Box<str>, Rc<Service>>,
    endpoints: Vec<Box<str>>,
    holds: HoldTracker,
}

/// What is believed of a target at the moment of its use.
fn observe_belief(expected: route::Prediction) -> Belief {
    if expected.report_age < Duration::MAX {
        metrics::histogram!("bronzeport_report_age_seconds")
            .record(expected.report_age.as_secs_f64());
    }
    Belief {
        pace: expected.pace,
        report_age_ms: u64::try_from(expected.report_age.as_millis()).ok(),
        occupancy: expected.occupancy,
        expected_ms: expected.time.as_secs_f64() * 1e3,
    }
}

fn shares_of(service: &Service) -> BudgetShares {
    BudgetShares {
        probes: service.probe_share,
        retries: service.retry_share,
        hedges: service.hedge_share,
        burst: Budget::MAX_TOKENS,
    }
}

impl Task {
    async fn run(mut self, inbox: Inbox<Ask>) {
        while let Some(ask) = inbox.receive().await {
            self.take(ask);
        }
    }

    fn now(&self) -> Instant {
        self.kernel.clock().now()
    }

    fn take(&mut self, ask: Ask) {
        let now = self.now();
        match ask {
            Ask::Choose { service, past, is_first, call, reply } => {
                let route = self.choose(now, &service, &past, is_first, &call);
                self.give(now, service, route, &call, reply);
            }
            Ask::Hedge { service, call, tried, is_very_late, reply } => {
                let node = self.pool(&service).decide_hedge(now, &tried, &call, is_very_late);
                let route = node.map(|node| (node, false));
                self.give(now, service, route, &call, reply);
            }
            Ask::End { service, kind, node, attempt, ending, load, bytes } => {
                let pool = self.pool(&service);
                pool.end(now, node, attempt, ending);
                if matches!(ending, AttemptResult::Answered(_)) {
                    pool.observe_answer_size(&kind, bytes);
                }
                if let Some(load) = load {
                    pool.observe_load(now, node, load);
                }
            }
            Ask::Retry { service, situation, reply } => {
                let budget = &mut self.pool(&service).budgets.retries;
                reply.send(decide_retry(situation, budget));
            }
            Ask::Probed { service, node, load } => {
                self.pool(&service).observe_load(now, node, load);
            }
            Ask::Heard { node, load } => {
                let service = self.members.get(&node).map(|(member, _)| member.service.clone());
                if let Some(service) = service {
                    self.pool(&service).observe_load(now, node, load);
                }
            }
            Ask::Held { fingerprint, reply } => {
                reply.send(self.holds.held_for(now, fingerprint));
            }
            Ask::Harmless { fingerprint } => self.holds.observe_answer(now, fingerprint),
            Ask::Holds(holds) => {
                for hold in holds {
                    self.holds.apply(now, hold);
                }
            }
            Ask::Members(members) => self.set_members(members),
            Ask::Services(services) => self.set_services(services),
            Ask::Endpoints(endpoints) => {
                self.endpoints = endpoints;
                let pools = self.pools.iter_mut();
                for (_, pool) in pools.filter(|(name, _)| self.endpoints.contains(name)) {
                    pool.budgets.set_shares(TABLE_SHARES);
                }
            }
            Ask::Address { node, reply } => {
                let member = self.members.get(&node);
                reply.send(member.map(|(member, _)| member.address.clone()));
            }
            Ask::Poll => self.poll(),
        }
    }

    fn choose(
        &mut self,
        now: Instant,
        service: &str,
        past: &AttemptHistory,
        is_first: bool,
        call: &Call,
    ) -> Option<(Node, bool)> {
        if is_first {
            self.pool(service).budgets.deposit();
        }
        let mut random = self.random.fork();
        let pool = self.pool(service);
        let choice = pool.choose(now, &mut random, past, call);
        if is_first && self.policy == Policy::Bronzeport {
            let stale = self.pool(service).decide_probe(now);
            if let Some(node) = stale {
                self.probe(service, node);
            }
        }
        match choice {
            Choice::Send { node, may_queue } => Some((node, may_queue)),
            Choice::NoTarget => None,
        }
    }

    fn give(
        &mut self,
        now: Instant,
        service: Box<str>,
        chosen: Option<(Node, bool)>,
        call: &Call,
        reply: Reply<Option<Route>>,
    ) {
        let route = chosen.and_then(|(node, may_queue)| {
            let address = self.members.get(&node)?.0.address.clone();
            let hedges = self.policy == Policy::Bronzeport;
            let pool = self.pool(&service);
            let (attempt, expected) = pool.begin(now, node, call);
            Some(Route {
                node,
                address,
                belief: observe_belief(expected),
                attempt,
                may_queue,
                hedge_after: hedges.then(|| pool.hedge_after(call)),
            })
        });
        let given = route.as_ref().map(|route| (route.node, route.attempt));
        let was_taken = reply.send(route);
        if let (Some((node, attempt)), false) = (given, was_taken) {
            self.pool(&service).end(now, node, attempt, AttemptResult::Inconclusive);
        }
    }

    fn pool(&mut self, service: &str) -> &mut Pool {
        if !self.pools.contains_key(service) {
            let mut pool = Pool::new(self.policy, self.budgets(service));
            pool.set_targets(self.targets(service));
            pool.set_transfer_cost(self.transfer_cost);
            self.pools.insert(service.into(), pool);
        }
        self.pools.get_mut(service).expect("inserted above")
    }

    fn budgets(&self, service: &str) -> Budgets {
        match self.services.get(service) {
            Some(s) => Budgets::new(shares_of(s)),
            None if self.endpoints.iter().any(|known| **known == *service) => {
                Budgets::new(TABLE_SHARES)
            }
            None => Budgets::default(),
        }
    }

    fn targets(&self, service: &str) -> Vec<Target> {
        let members = self.members.values();
        let serving = members.filter(|(m, _)| *m.service == *service && m.state.takes_calls());
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
        let services: Vec<Box<str>> = self.pools.keys().cloned().collect();
        for service in services {
            let targets = self.targets(&service);
            self.pool(&service).set_targets(targets);
        }
    }

    fn set_services(&mut self, services: Vec<Rc<Service>>) {
        let services = services.into_iter().map(|service| (service.name.clone(), service));
        self.services = services.collect();
        for (name, pool) in &mut self.pools {
            if let Some(service) = self.services.get(name) {
                pool.budgets.set_shares(shares_of(service));
            }
        }
    }

    /// Asks a guard for its load; the target itself is not involved.
    fn probe(&self, service: &str, node: Node) {
        let Some((member, _)) = self.members.get(&node) else {
            return;
        };
        metrics::counter!("bronzeport_probes_total").increment(1);
        let address = member.address.clone();
        let (kernel, mailbox, service) =
            (self.kernel.clone(), self.mailbox.clone(), service.into());
        self.kernel.start(async move {
            let peers: Mailbox<peers::Ask> = kernel.service(names::PEERS);
            let link = peers.request(|reply| peers::Ask::Link { address, reply }).await.flatten();
            let Some(link) = link else {
                return;
            };
            if let Ok(Ok(load)) = kernel.clock().timeout(PROBE_TIME, link.load()).await {
                mailbox.send(Ask::Probed { service, node, load });
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
