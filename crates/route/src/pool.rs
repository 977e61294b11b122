//! The targets of one service as one entry sees them.

use std::time::{Duration, Instant};

use crate::budget::Budgets;
use crate::estimate::{Estimate, Load, Prior, Target};
use crate::policy::Policy;
use crate::retry::MAX_REDIRECTS;
use crate::work::{Works, guess_work};
use crate::{Attempt, Node};

/// Knowledge older than this is worth a probe.
const PROBE_AGE: Duration = Duration::from_secs(1);
/// Share of calls that are answered before a hedge is considered.
const HEDGE_QUANTILE: f64 = 0.95;
/// Time before a hedge where the usual time of a kind is known, in such times.
const HEDGE_FACTOR: f64 = 2.5;
/// Shortest time before a hedge.
const HEDGE_MIN: Duration = Duration::from_millis(2);
/// Most targets whose cost is worked out for one choice.
pub(crate) const MAX_COMPARED: usize = 16;

const BYTES_PER_MEGABYTE: f64 = 1e6;
/// Random part of a cost.
const COST_JITTER: f64 = 0.02;

/// What the choice of a target depends on.
#[derive(Debug, Clone)]
pub struct Call {
    /// Whether it may wait behind others.
    pub may_wait: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Name of its rule or path: calls of one kind take about the same work.
    pub kind: Box<str>,
    /// Time within which its answer is of full use, counted from its arrival.
    pub aim: Duration,
}

/// Where a call has been.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Past {
    /// Targets that it may have reached, or that take no work.
    pub reached: Vec<Node>,
    /// Targets whose guards refused it because of their load.
    pub refused: Vec<Node>,
}

/// What is expected of a call to one target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Expected {
    /// Pace that the target has told last, in percent of the usual; 0 if none.
    pub pace: u16,
    /// Age of what it has told.
    pub report_age: Duration,
    /// Requests there.
    pub occupancy: f64,
    /// Time until the answer.
    pub time: Duration,
}

/// Where a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// To this target.
    Send {
        /// The target's node.
        node: Node,
        /// Whether it may wait in the guard's queue. If not, the guard refuses
        /// it when no slot is free, and another target is tried.
        may_queue: bool,
    },
    /// No target is left to try.
    Nowhere,
}

/// How an attempt ended, as far as the choice of targets is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A good answer, with the time that the target took.
    Answered(Duration),
    /// The target or its host failed.
    Failed,
    /// It was given up, because another attempt was faster or the caller had
    /// gone.
    Abandoned,
    /// It says nothing about the target.
    Nothing,
}

/// The targets of one service.
#[derive(Debug)]
pub struct Pool {
    policy: Policy,
    estimates: Vec<Estimate>,
    turn: usize,
    attempts: Attempt,
    hedge_after: Duration,
    works: Works,
    transfer_cost: f64,
    /// What this service may spend beyond one attempt for each call.
    pub budgets: Budgets,
}

impl Pool {
    /// A pool without targets.
    pub fn new(policy: Policy, budgets: Budgets) -> Self {
        Self {
            policy,
            estimates: Vec::new(),
            turn: 0,
            attempts: 0,
            hedge_after: Duration::from_millis(50),
            works: Works::default(),
            transfer_cost: 0.0,
            budgets,
        }
    }

    /// Sets what a megabyte between data centres counts for in the choice, as time
    /// in seconds.
    pub fn set_transfer_cost(&mut self, transfer_cost: f64) {
        self.transfer_cost = transfer_cost;
    }

    /// Takes in the size of an answer to a call of this kind.
    pub fn observe_bytes(&mut self, kind: &str, bytes: usize) {
        self.works.observe_bytes(kind, bytes);
    }

    /// Replaces the list of targets; what is known of those that stay is kept.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = Target>) {
        let mut earlier = std::mem::take(&mut self.estimates);
        for target in targets {
            let known = earlier.iter().position(|e| e.target.node == target.node);
            let mut estimate = match known {
                Some(index) => earlier.swap_remove(index),
                None => Estimate::new(target),
            };
            estimate.target = target;
            self.estimates.push(estimate);
        }
    }

    /// Number of targets known.
    pub fn len(&self) -> usize {
        self.estimates.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }

    /// All nodes known.
    pub fn nodes(&self) -> impl Iterator<Item = Node> {
        self.estimates.iter().map(|estimate| estimate.target.node)
    }

    /// Chooses a target that the call has not reached. One whose guard refused is
    /// chosen again only when all others are worse as they are known now; it may
    /// let the call wait then.
    pub fn choose(
        &mut self,
        now: Instant,
        random: &mut fastrand::Rng,
        past: &Past,
        call: &Call,
    ) -> Choice {
        let candidates = self.candidates(now, &past.reached);
        if candidates.is_empty() {
            return Choice::Nowhere;
        }
        let index = match self.policy {
            Policy::Random => candidates[random.usize(..candidates.len())],
            Policy::RoundRobin => self.next_in_turn(&candidates),
            Policy::LeastInFlight => self.least(&candidates, random, Estimate::own_in_flight),
            Policy::TwoChoices => {
                let pair = pick_some(candidates, 2, random);
                self.least(&pair, random, Estimate::reported_load)
            }
            Policy::Bronzeport => match self.find_trial(now, &candidates, call) {
                Some(index) => index,
                None => return self.cheapest(now, candidates, past, call, random),
            },
        };
        Choice::Send { node: self.estimates[index].target.node, may_queue: true }
    }

    /// Notes that an attempt was sent to `node`, and tells what is expected of it.
    pub fn begin(&mut self, now: Instant, node: Node, call: &Call) -> (Attempt, Expected) {
        self.attempts += 1;
        let attempt = self.attempts;
        let prior = self.prior_of(call);
        let expected = match self.find(node) {
            Some(estimate) => estimate.begin(now, attempt, prior, call),
            None => Expected::default(),
        };
        (attempt, expected)
    }

    /// Notes how an attempt at `node` ended.
    pub fn end(&mut self, now: Instant, node: Node, attempt: Attempt, ending: Ending) {
        if let Ending::Answered(service) = ending {
            self.learn_hedge_time(service);
        }
        let prior = self.prior("");
        let Some(estimate) = self.find(node) else {
            return;
        };
        let kind = estimate.end(now, attempt, ending == Ending::Abandoned);
        let pace = estimate.known_pace();
        match ending {
            Ending::Answered(service) => estimate.observe_success(now, service, prior),
            Ending::Failed => estimate.observe_failure(now),
            Ending::Abandoned | Ending::Nothing => estimate.observe_nothing(),
        }
        if let (Ending::Answered(service), Some(kind)) = (ending, kind) {
            self.works.observe(&kind, service, pace);
        }
    }

    fn prior_of(&self, call: &Call) -> Prior {
        let prior = self.prior(&call.kind);
        Prior { work: prior.work.or(Some(guess_work(call.aim))), ..prior }
    }

    fn prior(&self, kind: &str) -> Prior {
        let transfer = self.works.bytes(kind) / BYTES_PER_MEGABYTE * self.transfer_cost;
        Prior { work: self.works.usual(kind), transfer, ..Prior::of(self.estimates.iter()) }
    }

    /// Takes in a guard's report, from an answer or a probe.
    pub fn observe_load(&mut self, now: Instant, node: Node, load: Load) {
        if let Some(estimate) = self.find(node) {
            estimate.observe_load(now, load);
        }
    }

    /// The target whose load is worth a probe now, if the budget has one left.
    pub fn decide_probe(&mut self, now: Instant) -> Option<Node> {
        let worth_it = self.estimates.iter_mut().filter(|e| !e.is_leaving());
        let stalest = worth_it.max_by_key(|estimate| estimate.report_age(now))?;
        if stalest.report_age(now) <= PROBE_AGE || !self.budgets.probes.spend() {
            return None;
        }
        stalest.note_probe(now);
        Some(stalest.target.node)
    }

    /// How long to wait for an answer before a second attempt beside it.
    pub fn hedge_after(&self, call: &Call) -> Duration {
        let usual = self.works.usual(&call.kind).filter(|_| self.knows_pace());
        let late = usual.map_or(self.hedge_after, |usual| usual.mul_f64(HEDGE_FACTOR));
        late.max(HEDGE_MIN)
    }

    fn knows_pace(&self) -> bool {
        self.estimates.iter().any(|estimate| estimate.known_pace() > 0)
    }

    /// The target for a hedge beside `tried`: one with a free slot, if the hedge
    /// budget has one left; the retry budget pays when the answer is very late.
    pub fn decide_hedge(
        &mut self,
        now: Instant,
        tried: &[Node],
        call: &Call,
        is_very_late: bool,
    ) -> Option<Node> {
        let candidates = self.candidates(now, tried);
        let prior = self.prior_of(call);
        let free = candidates.into_iter().map(|index| &self.estimates[index]);
        let free = free.filter(|estimate| estimate.has_free_slot(now, prior));
        let best =
            free.min_by(|a, b| a.cost(now, prior, false).total_cmp(&b.cost(now, prior, false)))?;
        let node = best.target.node;
        let budget = match is_very_late {
            true => &mut self.budgets.retries,
            false => &mut self.budgets.hedges,
        };
        budget.spend().then_some(node)
    }

    /// Targets to choose from. Ejected ones count only when no other is left.
    fn candidates(&self, now: Instant, tried: &[Node]) -> Vec<usize> {
        let untried =
            |estimate: &Estimate| !tried.contains(&estimate.target.node) && !estimate.is_leaving();
        let indices = 0..self.estimates.len();
        let untried: Vec<usize> = indices.filter(|i| untried(&self.estimates[*i])).collect();
        let is_open = |index: &usize| self.estimates[*index].is_open(now);
        let open: Vec<usize> = untried.iter().copied().filter(is_open).collect();
        if open.is_empty() { untried } else { open }
    }

    /// A target whose ejection is over gets one call to show that it works. A
    /// call that may not be repeated is not put at that risk.
    fn find_trial(&self, now: Instant, candidates: &[usize], call: &Call) -> Option<usize> {
        let is_due = |index: &&usize| self.estimates[**index].is_due_for_trial(now);
        candidates.iter().find(is_due).copied().filter(|_| call.repeatable)
    }

    fn cheapest(
        &mut self,
        now: Instant,
        candidates: Vec<usize>,
        past: &Past,
        call: &Call,
        random: &mut fastrand::Rng,
    ) -> Choice {
        let prior = self.prior_of(call);
        let has_alternative = candidates.len() > 1 && past.refused.len() < MAX_REDIRECTS;
        let compared = pick_some(candidates, MAX_COMPARED, random);
        let costs = compared.into_iter().map(|index| {
            // Entries that know the same must not all choose the same target.
            let jitter = 1.0 + COST_JITTER * random.f64();
            (self.estimates[index].cost(now, prior, call.may_wait) * jitter, index)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, index)) = best else {
            return Choice::Nowhere;
        };
        let estimate = &self.estimates[index];
        let is_free = estimate.has_free_slot(now, prior);
        let has_refused = past.refused.contains(&estimate.target.node);
        let may_queue = has_refused || !(is_free && has_alternative);
        Choice::Send { node: estimate.target.node, may_queue }
    }

    fn next_in_turn(&mut self, candidates: &[usize]) -> usize {
        self.turn += 1;
        candidates[self.turn % candidates.len()]
    }

    fn least<K: Ord>(
        &self,
        candidates: &[usize],
        random: &mut fastrand::Rng,
        key: impl Fn(&Estimate) -> K,
    ) -> usize {
        let keyed = candidates.iter().map(|index| {
            let tie_break = random.u32(..);
            (key(&self.estimates[*index]), tie_break, *index)
        });
        keyed.min().map_or(0, |(_, _, index)| index)
    }

    fn find(&mut self, node: Node) -> Option<&mut Estimate> {
        self.estimates.iter_mut().find(|estimate| estimate.target.node == node)
    }

    /// Follows the quantile of service times by small steps.
    fn learn_hedge_time(&mut self, service: Duration) {
        let step = self.hedge_after.mul_f64(0.1);
        if service > self.hedge_after {
            self.hedge_after += step.mul_f64(HEDGE_QUANTILE);
        } else {
            self.hedge_after -= step.mul_f64(1.0 - HEDGE_QUANTILE);
        }
    }
}

fn pick_some(mut items: Vec<usize>, count: usize, random: &mut fastrand::Rng) -> Vec<usize> {
    if items.len() > count {
        random.shuffle(&mut items);
        items.truncate(count);
    }
    items
}
