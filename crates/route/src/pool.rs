//! The targets of one service as seen by one entry, and the choice among them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::budget::Budgets;
use crate::estimate::{Estimate, Load, Prior, Target};
use crate::hedge::{
    Candidate, HedgeDecision, HedgeLimit, HedgeRefusal, Hedges, is_short_of_capacity,
};
use crate::locality::{DataCentre, Demand, Departure, Home, Locality, suffices};
use crate::policy::Policy;
use crate::request_stats::{RequestStats, default_nominal_time};
use crate::retry::MAX_REDIRECTS;
use crate::{AttemptId, Node};

/// Age above which a load report is stale, so that a probe of the target is due.
const STALE_REPORT_AGE: Duration = Duration::from_secs(1);
/// Fraction of the calls that are answered before a hedge is considered.
const HEDGE_QUANTILE: f64 = 0.95;
/// Delay of a hedge as a multiple of the nominal time of the call's kind, if known.
const HEDGE_FACTOR: f64 = 2.5;
/// Minimum delay of a hedge.
const HEDGE_MIN: Duration = Duration::from_millis(2);
/// Maximum number of targets whose costs are compared for one choice.
pub(crate) const MAX_COMPARED: usize = 16;

const BYTES_PER_MEGABYTE: f64 = 1e6;
/// Maximum random increase of a cost, as a fraction of the cost.
const COST_JITTER: f64 = 0.02;

/// Properties of a call that the choice of its target depends on.
#[derive(Debug, Clone)]
pub struct Call {
    /// Whether the call is patient: it may wait behind calls that are not.
    pub may_wait: bool,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Name of the call's rule or path. Calls of one kind take about the same time.
    pub kind: Box<str>,
    /// Time from arrival within which the answer is of full use to the caller.
    pub target_latency: Duration,
}

/// Targets that earlier attempts of a call were sent to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Targets that the call may have reached, or that accept no requests.
    pub reached: Vec<Node>,
    /// Targets whose guards refused the call because of their load.
    pub refused: Vec<Node>,
}

/// What is predicted for an attempt when it is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Prediction {
    /// Last reported pace of the target, in percent of nominal; 0 if there is none.
    pub pace: u16,
    /// Time since the target's last load report or probe; the maximum if there was
    /// none.
    pub report_age: Duration,
    /// Expected number of requests at the target.
    pub occupancy: f64,
    /// Expected time until the answer, with the transfer cost.
    pub time: Duration,
}

/// Where a call is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Send the call to this target.
    Send {
        /// The target's node.
        node: Node,
        /// Whether the call may wait in the guard's queue. Otherwise, the guard
        /// refuses it if no slot is free, and another target is tried.
        may_queue: bool,
    },
    /// There is no target left to try.
    NoTarget,
}

/// What the end of an attempt shows about its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered without an error of its own, after this service time.
    Answered(Duration),
    /// The target or its host failed.
    Failed,
    /// The attempt was cancelled, because another attempt was faster or the caller
    /// disconnected.
    Abandoned,
    /// The result says nothing about the target.
    Inconclusive,
}

/// The targets of one service.
#[derive(Debug)]
pub struct Pool {
    policy: Policy,
    estimates: Vec<Estimate>,
    round_robin_turn: usize,
    last_attempt: AttemptId,
    hedge_after: Duration,
    /// `None` if no operator's limit is set.
    hedges: Option<Hedges>,
    request_stats: RequestStats,
    transfer_cost: f64,
    locality: Locality,
    /// Budgets of this service for probes, retries and hedges.
    pub budgets: Budgets,
}

impl Pool {
    /// Creates a pool without targets.
    pub fn new(policy: Policy, budgets: Budgets) -> Self {
        Self {
            policy,
            estimates: Vec::new(),
            round_robin_turn: 0,
            last_attempt: 0,
            hedge_after: Duration::from_millis(50),
            hedges: None,
            request_stats: RequestStats::default(),
            transfer_cost: 0.0,
            locality: Locality::default(),
            budgets,
        }
    }

    /// Sets the cost of transferring one megabyte between data centres, as time in
    /// seconds.
    pub fn set_transfer_cost(&mut self, transfer_cost: f64) {
        self.transfer_cost = transfer_cost;
    }

    /// Sets which targets are in far data centres, with the number of each one's data centre.
    /// They receive calls only when the others lack capacity. Initially, none is far.
    pub fn set_far(&mut self, far: &HashMap<Node, DataCentre>) {
        for estimate in &mut self.estimates {
            estimate.data_centre = far.get(&estimate.target.node).copied();
        }
    }

    fn has_far(&self) -> bool {
        self.estimates.iter().any(|estimate| estimate.data_centre.is_some())
    }

    /// Records the size in bytes of a call of this kind.
    pub fn observe_request_size(&mut self, kind: &str, bytes: usize) {
        self.request_stats.observe_request_size(kind, bytes);
    }

    /// Sets an operator's limit on the hedges, which are then decided by
    /// [`Pool::decide_hedge_within_limit`].
    pub fn set_hedge_limit(&mut self, limit: HedgeLimit) {
        self.hedges.get_or_insert_with(|| Hedges::new(limit)).set_limit(limit);
    }

    /// Whether an operator's limit on the hedges is set.
    pub fn has_hedge_limit(&self) -> bool {
        self.hedges.is_some()
    }

    /// Records the size in bytes of an answer to a call of this kind.
    pub fn observe_answer_size(&mut self, kind: &str, bytes: usize) {
        self.request_stats.observe_answer_size(kind, bytes);
    }

    /// Replaces the list of targets and keeps the state of those that remain.
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

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.estimates.len()
    }

    /// Whether the pool has no targets.
    pub fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }

    /// The nodes of all targets.
    pub fn nodes(&self) -> impl Iterator<Item = Node> {
        self.estimates.iter().map(|estimate| estimate.target.node)
    }

    /// Chooses a target that the call has not reached. A target whose guard refused
    /// the call is chosen again only if all others now have a higher expected cost.
    /// In that case, the call may wait in the guard's queue.
    pub fn choose(
        &mut self,
        now: Instant,
        random: &mut fastrand::Rng,
        history: &AttemptHistory,
        call: &Call,
    ) -> Choice {
        self.choose_with_departure(now, random, history, call).0
    }

    /// Chooses a target as [`Pool::choose`] does. If it is in a far data centre, also returns
    /// why the call leaves its own.
    pub fn choose_with_departure(
        &mut self,
        now: Instant,
        random: &mut fastrand::Rng,
        history: &AttemptHistory,
        call: &Call,
    ) -> (Choice, Option<Departure>) {
        let candidates = self.candidates(now, &history.reached);
        if self.policy != Policy::Bronzeport || !self.has_far() {
            return (self.choose_among(now, candidates, random, history, call), None);
        }
        let is_near = |index: &usize| self.estimates[*index].data_centre.is_none();
        let (near, far): (Vec<usize>, Vec<usize>) = candidates.into_iter().partition(is_near);
        let demand = self.demand(call, history);
        // Until it is ejected, a failing target is a candidate, but it is no capacity.
        let is_sound = |index: &&usize| !self.estimates[**index].is_failing(now);
        let sound: Vec<usize> = near.iter().filter(is_sound).copied().collect();
        let home = self.home(now, &sound, &demand, history);
        if home.is_some_and(|home| suffices(home, &demand)) {
            return (self.choose_among(now, near, random, history, call), None);
        }
        let far_estimates: Vec<&Estimate> = far.iter().map(|i| &self.estimates[*i]).collect();
        // A call that a far guard has refused returns home if it is not late there.
        let has_returned = far_estimates.iter().any(|e| history.refused.contains(&e.target.node));
        let chosen = match home {
            Some(home) if has_returned && !home.is_urgent(&demand) => None,
            // Nothing waits in the queue of a far target while there is one at home.
            Some(_) if !demand.has_alternative => None,
            _ => self.locality.choose_far(
                now,
                random,
                &far_estimates,
                &history.refused,
                &demand,
                home,
            ),
        };
        let departure = home.map_or(Departure::NoTarget, |home| home.departure());
        match (chosen, home) {
            (Some(node), _) => {
                let may_queue = !demand.has_alternative;
                (Choice::Send { node, may_queue }, Some(departure))
            }
            (None, _) if !near.is_empty() => {
                (self.choose_among(now, near, random, history, call), None)
            }
            (None, _) => {
                let choice = self.choose_among(now, far, random, history, call);
                let leaves = choice != Choice::NoTarget;
                (choice, leaves.then_some(departure))
            }
        }
    }

    /// Returns what the data centre of the entry offers a call: the least expected time of the
    /// targets in `near` whose guards have not refused it, or of all if all have.
    fn home(
        &self,
        now: Instant,
        near: &[usize],
        demand: &Demand,
        history: &AttemptHistory,
    ) -> Option<Home> {
        let estimates = near.iter().map(|index| &self.estimates[*index]);
        let (refused, untried): (Vec<&Estimate>, Vec<&Estimate>) =
            estimates.partition(|estimate| history.refused.contains(&estimate.target.node));
        let considered = if untried.is_empty() { &refused } else { &untried };
        let times = considered.iter().map(|estimate| {
            let is_free = estimate.has_free_slot(now, demand.prior);
            (!is_free, estimate.expected_time(now, demand.prior))
        });
        let (is_full, time) = times.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let has_free = considered.iter().any(|e| e.has_free_slot(now, demand.prior));
        // One refusal may only show that the report about a free slot was out of date.
        let has_refused = untried.is_empty() || (refused.len() > 1 && !has_free);
        Some(Home { time, is_free: !is_full, has_refused })
    }

    fn demand(&self, call: &Call, history: &AttemptHistory) -> Demand {
        let bytes = self.request_stats.mean_size(&call.kind);
        Demand {
            target_latency: call.target_latency,
            transfer_cost: bytes / BYTES_PER_MEGABYTE * self.transfer_cost,
            prior: self.prior_for_call(call),
            has_alternative: history.refused.len() < MAX_REDIRECTS,
        }
    }

    fn choose_among(
        &mut self,
        now: Instant,
        candidates: Vec<usize>,
        random: &mut fastrand::Rng,
        history: &AttemptHistory,
        call: &Call,
    ) -> Choice {
        if candidates.is_empty() {
            return Choice::NoTarget;
        }
        let index = match self.policy {
            Policy::Random => candidates[random.usize(..candidates.len())],
            Policy::RoundRobin => self.next_round_robin(&candidates),
            Policy::LeastInFlight => self.least(&candidates, random, Estimate::outstanding_count),
            Policy::TwoChoices => {
                let pair = sample(candidates, 2, random);
                self.least(&pair, random, Estimate::reported_load)
            }
            Policy::Bronzeport => match self.find_trial(now, &candidates, call) {
                Some(index) => index,
                None => return self.choose_cheapest(now, candidates, history, call, random),
            },
        };
        Choice::Send { node: self.estimates[index].target.node, may_queue: true }
    }

    /// Records that an attempt was sent to `node`, and returns its identifier and what
    /// is predicted for it.
    pub fn begin(&mut self, now: Instant, node: Node, call: &Call) -> (AttemptId, Prediction) {
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let prior = self.prior_for_call(call);
        let prediction = match self.estimate_mut(node) {
            Some(estimate) => estimate.begin(now, attempt, prior, call),
            None => Prediction::default(),
        };
        (attempt, prediction)
    }

    /// Records how an attempt at `node` ended.
    pub fn end(&mut self, now: Instant, node: Node, attempt: AttemptId, result: AttemptResult) {
        if let AttemptResult::Answered(service_time) = result {
            self.update_hedge_after(service_time);
        }
        let prior = self.prior("");
        let Some(estimate) = self.estimate_mut(node) else {
            return;
        };
        let ended = estimate.end(now, attempt, result == AttemptResult::Abandoned);
        let pace = estimate.reported_pace();
        match result {
            AttemptResult::Answered(time) => estimate.observe_success(now, time, prior),
            AttemptResult::Failed => estimate.observe_failure(now),
            AttemptResult::Abandoned | AttemptResult::Inconclusive => estimate.end_trial(),
        }
        let Some((kind, age)) = ended else {
            return;
        };
        if let AttemptResult::Answered(service_time) = result {
            self.request_stats.observe(&kind, service_time, pace);
        }
        // While the service is short of capacity, response times are those of its queues.
        let is_short = self.is_short_of_capacity(now, prior);
        match (&mut self.hedges, result) {
            (Some(hedges), AttemptResult::Answered(_)) if !is_short => {
                hedges.observe(now, &kind, age)
            }
            (Some(hedges), AttemptResult::Abandoned) if !is_short => {
                hedges.observe_cancelled(now, &kind, age)
            }
            _ => {}
        }
    }

    fn prior_for_call(&self, call: &Call) -> Prior {
        let prior = self.prior(&call.kind);
        Prior {
            nominal_time: prior.nominal_time.or(Some(default_nominal_time(call.target_latency))),
            ..prior
        }
    }

    /// Averages over the targets that are not far, if there are any.
    fn prior(&self, kind: &str) -> Prior {
        let has_near = self.estimates.iter().any(|estimate| estimate.data_centre.is_none());
        let transfer_cost =
            self.request_stats.mean_answer_size(kind) / BYTES_PER_MEGABYTE * self.transfer_cost;
        Prior {
            nominal_time: self.request_stats.nominal_time(kind),
            transfer_cost,
            ..Prior::of(self.estimates.iter().filter(|e| e.data_centre.is_none() || !has_near))
        }
    }

    /// Records a guard's load report, from an answer or a probe.
    pub fn observe_load(&mut self, now: Instant, node: Node, load: Load) {
        let Some(estimate) = self.estimate_mut(node) else {
            return;
        };
        estimate.observe_load(now, load);
        if let Some(data_centre) = estimate.data_centre {
            self.locality.observe(now, data_centre, load);
        }
    }

    /// Returns the target with the oldest load report if that report is stale and the
    /// probe budget has a token.
    pub fn decide_probe(&mut self, now: Instant) -> Option<Node> {
        // What is known of far targets comes with answers from them.
        let staying =
            self.estimates.iter_mut().filter(|e| !e.is_leaving() && e.data_centre.is_none());
        let stalest = staying.max_by_key(|estimate| estimate.report_age(now))?;
        if stalest.report_age(now) <= STALE_REPORT_AGE || !self.budgets.probes.try_withdraw() {
            return None;
        }
        stalest.record_probe(now);
        Some(stalest.target.node)
    }

    /// Returns how long to wait for an answer before a hedge is sent, or `None` if the
    /// operator's limit allows no hedges.
    pub fn hedge_delay(&self, call: &Call) -> Option<Duration> {
        let Some(hedges) = &self.hedges else {
            return Some(self.hedge_after(call));
        };
        // A kind without a distribution does not take over the delay of other kinds.
        let nominal_time = self.request_stats.nominal_time(&call.kind);
        let nominal_time = nominal_time.unwrap_or(default_nominal_time(call.target_latency));
        let delay = hedges.delay(&call.kind).unwrap_or(nominal_time.mul_f64(HEDGE_FACTOR));
        hedges.is_enabled().then_some(delay.max(HEDGE_MIN))
    }

    /// Returns how long to wait for an answer before a hedge is sent, without an operator's
    /// limit.
    pub fn hedge_after(&self, call: &Call) -> Duration {
        let nominal_time =
            self.request_stats.nominal_time(&call.kind).filter(|_| self.has_reported_pace());
        let late = nominal_time
            .map_or(self.hedge_after, |nominal_time| nominal_time.mul_f64(HEDGE_FACTOR));
        late.max(HEDGE_MIN)
    }

    fn has_reported_pace(&self) -> bool {
        self.estimates.iter().any(|estimate| estimate.reported_pace() > 0)
    }

    /// Returns the cheapest target with a free slot for a hedge beside the targets in
    /// `tried`, if the hedge budget has a token. For an answer that is very late, the
    /// token comes from the retry budget instead.
    pub fn decide_hedge(
        &mut self,
        now: Instant,
        tried: &[Node],
        call: &Call,
        is_very_late: bool,
    ) -> Option<Node> {
        let candidates = self.candidates(now, tried);
        let prior = self.prior_for_call(call);
        let near = candidates.into_iter().map(|index| &self.estimates[index]);
        let free = near.filter(|estimate| estimate.data_centre.is_none());
        let free = free.filter(|estimate| estimate.has_free_slot(now, prior));
        let best =
            free.min_by(|a, b| a.cost(now, prior, false).total_cmp(&b.cost(now, prior, false)))?;
        let node = best.target.node;
        let budget = match is_very_late {
            true => &mut self.budgets.retries,
            false => &mut self.budgets.hedges,
        };
        budget.try_withdraw().then_some(node)
    }

    /// Decides on a hedge beside the targets in `tried` under the operator's limit. Returns
    /// `None` if no limit is set.
    pub fn decide_hedge_within_limit(
        &mut self,
        now: Instant,
        tried: &[Node],
        call: &Call,
    ) -> Option<HedgeDecision> {
        let hedges = self.hedges.as_ref()?;
        let prior = self.prior_for_call(call);
        if self.is_short_of_capacity(now, prior) {
            return Some(HedgeDecision::Refuse(HedgeRefusal::ServiceFull));
        }
        let in_use = self.estimates.iter().filter(|e| !e.is_leaving() && e.is_available(now));
        let candidates = in_use.map(|estimate| Candidate {
            node: estimate.target.node,
            rtt: estimate.target.rtt,
            has_free_slot: estimate.has_free_slot(now, prior),
            is_tried: tried.contains(&estimate.target.node),
            cost: estimate.cost(now, prior, false),
        });
        Some(match hedges.choose(&candidates.collect::<Vec<_>>()) {
            Err(refusal) => HedgeDecision::Refuse(refusal),
            Ok(node) if self.budgets.try_withdraw_hedge() => HedgeDecision::Send(node),
            Ok(_) => HedgeDecision::Refuse(HedgeRefusal::Budget),
        })
    }

    /// Whether the targets that may get hedges are short of capacity as a whole.
    fn is_short_of_capacity(&self, now: Instant, prior: Prior) -> bool {
        let Some(hedges) = &self.hedges else {
            return false;
        };
        let in_use = self.estimates.iter().filter(|e| !e.is_leaving() && e.is_available(now));
        let near = in_use.filter(|estimate| hedges.is_near(estimate.target.rtt));
        is_short_of_capacity(near.map(|e| (e.occupancy(now, prior), e.slots())))
    }

    /// Targets to choose from: those that are neither tried nor leaving. Ejected
    /// targets are included only if no other target is left.
    fn candidates(&self, now: Instant, tried: &[Node]) -> Vec<usize> {
        let untried =
            |estimate: &Estimate| !tried.contains(&estimate.target.node) && !estimate.is_leaving();
        let indices = 0..self.estimates.len();
        let untried: Vec<usize> = indices.filter(|i| untried(&self.estimates[*i])).collect();
        let is_available = |index: &usize| self.estimates[*index].is_available(now);
        let available: Vec<usize> = untried.iter().copied().filter(is_available).collect();
        if available.is_empty() { untried } else { available }
    }

    /// Finds a target whose ejection is over, so that one call is sent to it as a trial.
    /// A call that is not repeatable is not selected for a trial, because it could not
    /// be retried if the target still failed.
    fn find_trial(&self, now: Instant, candidates: &[usize], call: &Call) -> Option<usize> {
        let is_due = |index: &&usize| self.estimates[**index].is_due_for_trial(now);
        candidates.iter().find(is_due).copied().filter(|_| call.repeatable)
    }

    fn choose_cheapest(
        &mut self,
        now: Instant,
        candidates: Vec<usize>,
        history: &AttemptHistory,
        call: &Call,
        random: &mut fastrand::Rng,
    ) -> Choice {
        let prior = self.prior_for_call(call);
        let has_alternative = candidates.len() > 1 && history.refused.len() < MAX_REDIRECTS;
        let compared = sample(candidates, MAX_COMPARED, random);
        let costs = compared.into_iter().map(|index| {
            // Entries with the same load reports must not all choose the same target.
            let jitter = 1.0 + COST_JITTER * random.f64();
            (self.estimates[index].cost(now, prior, call.may_wait) * jitter, index)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, index)) = best else {
            return Choice::NoTarget;
        };
        let estimate = &self.estimates[index];
        let is_free = estimate.has_free_slot(now, prior);
        let has_refused = history.refused.contains(&estimate.target.node);
        let may_queue = has_refused || !(is_free && has_alternative);
        Choice::Send { node: estimate.target.node, may_queue }
    }

    fn next_round_robin(&mut self, candidates: &[usize]) -> usize {
        self.round_robin_turn += 1;
        candidates[self.round_robin_turn % candidates.len()]
    }

    /// Returns the candidate with the least key. Ties are broken at random.
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

    fn estimate_mut(&mut self, node: Node) -> Option<&mut Estimate> {
        self.estimates.iter_mut().find(|estimate| estimate.target.node == node)
    }

    /// Moves the hedge delay by a small step towards [`HEDGE_QUANTILE`] of the service
    /// times.
    fn update_hedge_after(&mut self, service_time: Duration) {
        let step = self.hedge_after.mul_f64(0.1);
        if service_time > self.hedge_after {
            self.hedge_after += step.mul_f64(HEDGE_QUANTILE);
        } else {
            self.hedge_after -= step.mul_f64(1.0 - HEDGE_QUANTILE);
        }
    }
}

fn sample(mut items: Vec<usize>, count: usize, random: &mut fastrand::Rng) -> Vec<usize> {
    if items.len() > count {
        random.shuffle(&mut items);
        items.truncate(count);
    }
    items
}
