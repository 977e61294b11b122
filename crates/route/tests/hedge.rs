//! Hedges within an operator's limit, simulated without a network.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use route::{
    AttemptHistory, AttemptId, AttemptResult, BudgetShares, Budgets, Call, Choice, Failure,
    HedgeDecision, HedgeLimit, HedgeRefusal, Load, Node, Policy, Pool, RetryContext, RetryDecision,
    Target, decide_retry,
};

const SLOTS: usize = 4;
const BURST: f64 = 2.0;
/// Limit on retries and hedges together, as the daemon sets it for route tables.
const TOTAL: f64 = 0.04;

fn call(kind: &str) -> Call {
    let target_latency = Duration::from_millis(200);
    Call { may_wait: false, repeatable: true, kind: kind.into(), target_latency }
}

fn pool(targets: u64, share: f64) -> Pool {
    let shares = BudgetShares { probes: 0.0, retries: 0.03, hedges: share, burst: BURST };
    let mut pool = Pool::new(Policy::Bronzeport, Budgets::new(shares));
    pool.budgets.set_total(TOTAL);
    pool.set_hedge_limit(HedgeLimit { share, max_rtt: Duration::MAX });
    pool.set_targets((1..=targets).map(|node| Target {
        node,
        rtt: Duration::from_micros(300),
        slots: SLOTS as u16,
        in_local_data_centre: true,
    }));
    pool
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    HedgeDue { call: usize },
    Done { attempt: usize },
}

#[derive(Debug)]
struct SimulatedCall {
    call: Call,
    arrived: Instant,
    attempts: Vec<usize>,
    latency: Option<Duration>,
}

#[derive(Debug)]
struct Attempt {
    call: usize,
    node: Node,
    id: AttemptId,
    work: Duration,
    started: Option<Instant>,
    is_over: bool,
}

/// One entry and the targets of one service, which run a bounded number of requests at a time
/// and queue the others.
struct Simulation {
    start: Instant,
    now: Instant,
    pool: Pool,
    random: fastrand::Rng,
    events: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    calls: Vec<SimulatedCall>,
    attempts: Vec<Attempt>,
    running: BTreeMap<Node, usize>,
    queues: BTreeMap<Node, VecDeque<usize>>,
    /// Time of work of answers, and of attempts that were cancelled.
    useful: Duration,
    wasted: Duration,
    hedged: Vec<(Instant, usize)>,
    refused: Vec<HedgeRefusal>,
    /// Factor on the work at a target, by a random number below 1.
    slowness: fn(Node, f64) -> f64,
    /// Kind and work of a call, by a random number.
    work: fn(&mut fastrand::Rng) -> (&'static str, f64),
}

impl Simulation {
    fn new(share: f64, work: fn(&mut fastrand::Rng) -> (&'static str, f64)) -> Self {
        let start = Instant::now();
        Self {
            start,
            now: start,
            pool: pool(10, share),
            random: fastrand::Rng::with_seed(11),
            events: BinaryHeap::new(),
            calls: Vec::new(),
            attempts: Vec::new(),
            running: BTreeMap::new(),
            queues: BTreeMap::new(),
            useful: Duration::ZERO,
            wasted: Duration::ZERO,
            hedged: Vec::new(),
            refused: Vec::new(),
            slowness: |_, _| 1.0,
            work,
        }
    }

    /// Runs calls that arrive at a rate per second, which depends on the time, until `end`.
    fn run(mut self, end: Duration, rate: fn(Duration) -> f64) -> Self {
        self.schedule(Duration::ZERO, Event::Arrive);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive if at < self.start + end => {
                    let gap = -(1.0 - self.random.f64()).ln() / rate(at - self.start);
                    self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
                    self.arrive();
                }
                Event::Arrive => {}
                Event::HedgeDue { call } => self.decide_hedge(call),
                Event::Done { attempt } => self.finish(attempt),
            }
        }
        self
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        let number = self.events.len() + self.attempts.len() * 1000;
        self.events.push(Reverse((self.now + after, number, event)));
    }

    fn arrive(&mut self) {
        let (kind, millis) = (self.work)(&mut self.random);
        let (call, arrived) = (call(kind), self.now);
        self.pool.budgets.deposit();
        let mut history = AttemptHistory::default();
        let number = self.calls.len();
        loop {
            let choice = self.pool.choose(self.now, &mut self.random.fork(), &history, &call);
            let Choice::Send { node, may_queue } = choice else {
                panic!("there are always targets");
            };
            if !may_queue && self.running(node) >= SLOTS {
                self.observe_load(node);
                history.refused.push(node);
                continue;
            }
            let delay = self.pool.hedge_delay(&call);
            self.calls.push(SimulatedCall { call, arrived, attempts: Vec::new(), latency: None });
            self.send(number, node, Duration::from_secs_f64(millis / 1e3));
            if let Some(delay) = delay {
                self.schedule(delay, Event::HedgeDue { call: number });
            }
            return;
        }
    }

    fn running(&self, node: Node) -> usize {
        self.running.get(&node).copied().unwrap_or(0)
    }

    fn send(&mut self, call: usize, node: Node, work: Duration) {
        let (id, _) = self.pool.begin(self.now, node, &self.calls[call].call);
        let attempt = self.attempts.len();
        self.calls[call].attempts.push(attempt);
        self.attempts.push(Attempt { call, node, id, work, started: None, is_over: false });
        self.queues.entry(node).or_default().push_back(attempt);
        self.start_queued(node);
    }

    fn start_queued(&mut self, node: Node) {
        while self.running(node) < SLOTS {
            let queue = self.queues.entry(node).or_default();
            let Some(attempt) = queue.pop_front() else {
                return;
            };
            if self.attempts[attempt].is_over {
                continue;
            }
            *self.running.entry(node).or_default() += 1;
            let factor = (self.slowness)(node, self.random.f64());
            let work = self.attempts[attempt].work.mul_f64(factor);
            self.attempts[attempt].started = Some(self.now);
            self.schedule(work, Event::Done { attempt });
        }
    }

    fn decide_hedge(&mut self, number: usize) {
        let SimulatedCall { call, attempts, latency: None, .. } = &self.calls[number] else {
            return;
        };
        let tried: Vec<Node> = attempts.iter().map(|id| self.attempts[*id].node).collect();
        let call = call.clone();
        match self.pool.decide_hedge_within_limit(self.now, &tried, &call) {
            None => panic!("a limit is set"),
            Some(HedgeDecision::Refuse(refusal)) => self.refused.push(refusal),
            Some(HedgeDecision::Send(node)) => {
                self.hedged.push((self.now, number));
                // Another run of a slow request is not slow again.
                let millis = (self.work)(&mut self.random.fork()).1.min(150.0);
                self.send(number, node, Duration::from_secs_f64(millis / 1e3));
            }
        }
    }

    fn finish(&mut self, attempt: usize) {
        if self.attempts[attempt].is_over {
            return;
        }
        let spent = self.end(attempt, true);
        self.useful += spent;
        let number = self.attempts[attempt].call;
        self.calls[number].latency = Some(self.now - self.calls[number].arrived);
        for other in self.calls[number].attempts.clone() {
            if !self.attempts[other].is_over {
                let wasted = self.end(other, false);
                self.wasted += wasted;
            }
        }
    }

    /// Ends an attempt, frees its slot, and returns the time that it has run.
    fn end(&mut self, attempt: usize, is_answered: bool) -> Duration {
        let Attempt { node, id, started, .. } = self.attempts[attempt];
        self.attempts[attempt].is_over = true;
        let spent = started.map_or(Duration::ZERO, |started| self.now - started);
        if started.is_some() {
            *self.running.entry(node).or_default() -= 1;
        }
        self.start_queued(node);
        if is_answered {
            self.observe_load(node);
        }
        let result = match is_answered {
            true => AttemptResult::Answered(spent),
            false => AttemptResult::Abandoned,
        };
        self.pool.end(self.now, node, id, result);
        spent
    }

    fn observe_load(&mut self, node: Node) {
        let queued = self.queues.get(&node).map_or(0, VecDeque::len);
        let load = Load {
            in_flight: self.running(node) as u16,
            queued: queued as u16,
            slots: SLOTS as u16,
            // The slowness of a target does not show in its reports.
            pace: 100,
            ..Load::default()
        };
        self.pool.observe_load(self.now, node, load);
    }

    /// The latency below which 99% of the calls are.
    fn p99(&self) -> Duration {
        let mut latencies: Vec<Duration> =
            self.calls.iter().filter_map(|call| call.latency).collect();
        assert_eq!(latencies.len(), self.calls.len(), "each call is answered once");
        latencies.sort_unstable();
        latencies[latencies.len() * 99 / 100]
    }

    fn hedged_share(&self) -> f64 {
        self.hedged.len() as f64 / self.calls.len() as f64
    }

    /// Work of all targets for each call.
    fn work_per_call(&self) -> f64 {
        (self.useful + self.wasted).as_secs_f64() / self.calls.len() as f64
    }
}

/// One request of fifty takes eight times as long, and another run of it does not.
fn with_stragglers(random: &mut fastrand::Rng) -> (&'static str, f64) {
    let (kind, millis) = ten_millis(random);
    (kind, if random.u8(..50) == 0 { millis * 8.0 } else { millis })
}

fn ten_millis(random: &mut fastrand::Rng) -> (&'static str, f64) {
    ("read", 8.0 + 4.0 * random.f64())
}

/// One of ten targets takes seven times as long for most of its requests.
fn one_slow_of_ten(node: Node, random: f64) -> f64 {
    if node == 1 && random < 0.6 { 7.0 } else { 1.0 }
}

/// More calls are slow than the limit allows hedges for, so that a hedge has to be due at the
/// end of the usual answers, and not only for the slowest of the slow ones.
#[test]
fn hedges_shorten_the_tail_that_one_slow_target_of_ten_causes() {
    let run = |share| {
        let simulation =
            Simulation { slowness: one_slow_of_ten, ..Simulation::new(share, ten_millis) };
        simulation.run(Duration::from_secs(20), |_| 1500.0)
    };
    let (without, with) = (run(0.0), run(0.03));
    assert_eq!(without.hedged.len(), 0, "0% switches hedges off");
    assert!(with.p99() < without.p99().mul_f64(0.45), "{:?} {:?}", without.p99(), with.p99());
    assert!(with.hedged_share() <= 0.03, "{}", with.hedged_share());
    let extra_work = with.work_per_call() / without.work_per_call() - 1.0;
    assert!(extra_work <= 0.03, "{extra_work}");
}

#[test]
fn a_full_service_gets_no_hedges() {
    let simulation = Simulation::new(0.03, ten_millis).run(Duration::from_secs(5), |_| 4400.0);
    assert_eq!(simulation.hedged.len(), 0);
}

#[test]
fn a_burst_gets_no_hedges_until_it_is_over() {
    let in_burst = |at: Duration| (2.0..2.5).contains(&at.as_secs_f64());
    let rate = |at: Duration| if (2.0..2.5).contains(&at.as_secs_f64()) { 8000.0 } else { 1500.0 };
    let simulation = Simulation::new(0.03, with_stragglers).run(Duration::from_secs(8), rate);
    let start = simulation.start;
    let early = simulation.hedged.iter().filter(|(at, _)| in_burst(*at - start)).count();
    assert!(early <= BURST as usize, "{early} hedges during the burst");
    let share = simulation.hedged_share();
    assert!((0.005..=0.03).contains(&share), "{share}");
}

/// Slow kinds used up the share: the delay of all kinds was one multiple of a nominal time.
#[test]
fn a_slow_kind_gets_no_more_than_its_share_of_the_hedges() {
    let work = |random: &mut fastrand::Rng| {
        let (kind, millis) = if random.u8(..5) == 0 { ("report", 60.0) } else { ("read", 5.0) };
        let factor = if random.u8(..50) == 0 { 8.0 } else { 0.8 + 0.4 * random.f64() };
        (kind, millis * factor)
    };
    let simulation = Simulation::new(0.03, work).run(Duration::from_secs(30), |_| 800.0);
    let is_report = |number: &usize| &*simulation.calls[*number].call.kind == "report";
    let reports = (0..simulation.calls.len()).filter(is_report).count() as f64;
    let hedged = simulation.hedged.iter().filter(|(_, number)| is_report(number)).count() as f64;
    assert!(hedged / reports < 0.05, "{}", hedged / reports);
    let reads = simulation.calls.len() as f64 - reports;
    let hedged_reads = simulation.hedged.len() as f64 - hedged;
    assert!(hedged_reads / reads > 0.01, "{}", hedged_reads / reads);
}

/// Attempts that are cancelled for a hedge were missing from the response times, so that the
/// delay became shorter with each of them.
#[test]
fn cancelled_attempts_do_not_shorten_the_delay() {
    let mut pool = pool(2, 0.2);
    let (mut now, mut random) = (Instant::now(), fastrand::Rng::with_seed(5));
    for _ in 0..20_000 {
        let (attempt, _) = pool.begin(now, 1, &call("read"));
        let (time, delay) = (random.u64(1..=100), pool.hedge_delay(&call("read")));
        let delay = delay.map_or(100, |delay| delay.as_millis() as u64);
        let result = match time > delay + 1 {
            true => AttemptResult::Abandoned,
            false => AttemptResult::Answered(Duration::from_millis(time)),
        };
        now += Duration::from_millis(time.min(delay + 1));
        pool.end(now, 1, attempt, result);
    }
    let delay = pool.hedge_delay(&call("read")).expect("hedges are allowed");
    assert!(delay > Duration::from_millis(60), "{delay:?}");
}

/// Calls of a chain of services of which a fifth of the attempts fails and a third is late, so
/// that each budget is used up. Each run of a request makes a call to the next service.
struct Chain {
    pools: Vec<Pool>,
    now: Instant,
    random: fastrand::Rng,
    requests: usize,
    extra: usize,
}

impl Chain {
    fn call(&mut self, layer: usize, is_repeat: bool) {
        if layer == self.pools.len() {
            return;
        }
        // A call of a repeated run is an arrival beyond the first of its request.
        match is_repeat {
            true => self.extra += 1,
            false => self.requests += 1,
        }
        self.pools[layer].budgets.deposit();
        let mut history = AttemptHistory::default();
        let mut retries = 0;
        loop {
            let (late, fails) = (self.random.u8(..3) == 0, self.random.u8(..5) == 0);
            let result = match fails {
                true => AttemptResult::Failed,
                false => AttemptResult::Answered(Duration::from_millis(10)),
            };
            let node = self.attempt(layer, &mut history, result, is_repeat || retries > 0);
            if late {
                let now = self.now;
                let hedge =
                    self.pools[layer].decide_hedge_within_limit(now, &[node], &call("read"));
                if matches!(hedge, Some(HedgeDecision::Send(_))) {
                    self.extra += 1;
                    self.call(layer + 1, true);
                }
            }
            retries += 1;
            let budgets = &mut self.pools[layer].budgets;
            let context = RetryContext {
                failure: Failure::MayHaveRun,
                repeatable: true,
                may_have_run: true,
                redirects: 0,
                retries,
                crashes: 0,
                attempts_left: 3,
                remaining: Duration::from_secs(1),
                min_attempt_time: Duration::ZERO,
            };
            if !fails || decide_retry(context, &mut budgets.retries) == RetryDecision::GiveUp {
                return;
            }
            budgets.charge_retry();
            self.extra += 1;
        }
    }

    fn attempt(
        &mut self,
        layer: usize,
        history: &mut AttemptHistory,
        result: AttemptResult,
        is_repeat: bool,
    ) -> Node {
        let (now, pool) = (self.now, &mut self.pools[layer]);
        let choice = pool.choose(now, &mut self.random, history, &call("read"));
        let Choice::Send { node, .. } = choice else {
            panic!("there are always targets");
        };
        let (id, _) = pool.begin(now, node, &call("read"));
        self.call(layer + 1, is_repeat);
        self.now += Duration::from_millis(1);
        self.pools[layer].end(self.now, node, id, result);
        history.reached = vec![node];
        node
    }
}

/// The platform limits arrivals beyond the first of each request to a fifth of the requests,
/// with the calls that repeated runs make.
#[test]
fn retries_and_hedges_of_a_chain_stay_within_a_fifth_of_its_requests() {
    for share in [0.01, 0.05, 0.2] {
        let mut chain = Chain {
            pools: (0..5).map(|_| pool(10, share)).collect(),
            now: Instant::now(),
            random: fastrand::Rng::with_seed(3),
            requests: 0,
            extra: 0,
        };
        for _ in 0..5000 {
            chain.call(0, false);
        }
        let extra = chain.extra as f64 / chain.requests as f64;
        assert!(extra <= 0.2, "{extra} at a share of {share}");
        assert!(extra > 0.05, "the budgets are used, {extra} at a share of {share}");
    }
}

/// Where locality applies, a hedge does not leave the data centre.
#[test]
fn a_target_that_is_too_far_away_gets_no_hedge() {
    let now = Instant::now();
    let mut pool = pool(2, 0.05);
    let far = Duration::from_millis(9);
    let target = |node, rtt| Target { node, rtt, slots: 4, in_local_data_centre: rtt < far };
    pool.set_targets([target(1, Duration::from_micros(300)), target(2, far)]);
    for _ in 0..100 {
        pool.budgets.deposit();
    }
    let mut decide = |max_rtt| {
        pool.set_hedge_limit(HedgeLimit { share: 0.05, max_rtt });
        pool.decide_hedge_within_limit(now, &[1], &call("read"))
    };
    assert_eq!(decide(far), Some(HedgeDecision::Refuse(HedgeRefusal::NoFreeSlot)));
    assert_eq!(decide(Duration::MAX), Some(HedgeDecision::Send(2)));
}
