//! Tokens at an entry, and the requests that wait for some.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use config::Organisation;

use crate::recent::Recent;
use crate::{Grant, Want};

/// Time after which granted tokens expire.
const TOKEN_LIFETIME: Duration = Duration::from_secs(1);
/// Time for which a request waits for a token, and the part of its remaining time that this may
/// use up.
const WAIT_LIMIT: Duration = Duration::from_millis(250);
const WAIT_DIVISOR: u32 = 3;
/// Time whose expected requests are covered in advance.
const AHEAD: Duration = Duration::from_millis(250);
/// Number of expected requests from which on tokens are kept in advance. Below it, many of such
/// tokens would expire unused.
const MIN_AHEAD: f64 = 1.0;
/// Span over which arrivals are counted for this.
const ARRIVAL_SPAN: Duration = Duration::from_secs(1);
/// Longest time for which requests are refused without asking the coordinator.
const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// Number of times per second that the coordinator is asked again although it has just refused
/// some requests, and how many of them may come at once. The coordinator counts each of these
/// requests, so that it can tell all of them when to return. Beyond this, requests are refused
/// without asking.
const REPEATED_ASKS_PER_SECOND: f64 = 20.0;
const REPEATED_ASKS_BURST: f64 = 10.0;
/// Time without requests after which nothing is kept about an organisation, and interval at which
/// this is checked.
const IDLE: Duration = Duration::from_secs(15);
/// Retry-After while no coordinator replies or the coordinator does not know the organisation.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time after a refusal for which tokens in advance cover no more than the expected requests.
const SCARCE: Duration = Duration::from_secs(1);

/// Number by which the caller recognises a request that waits for a decision.
pub type Ticket = u64;

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may run. Its token is spent.
    Granted,
    /// The request is beyond the quota.
    Refused {
        /// Time after which there is a token.
        retry_after: Duration,
    },
    /// The coordinator is to be asked. The decision follows as a [`Verdict`].
    Pending,
}

/// Decision about a request that was [`Admission::Pending`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// The request.
    pub ticket: Ticket,
    /// The decision, which is never [`Admission::Pending`].
    pub admission: Admission,
}

/// What an entry knows of the quotas of organisations.
#[derive(Debug, Default)]
pub struct Entry {
    /// Requests per second of each organisation with a quota.
    limits: HashMap<Box<str>, f64>,
    organisations: BTreeMap<Box<str>, State>,
    /// Organisations with requests that wait. Most organisations have none.
    waiting: BTreeSet<Box<str>>,
    /// Organisations with enough requests for tokens in advance.
    frequent: BTreeSet<Box<str>>,
    /// When the organisations without recent requests were last removed.
    swept_at: Option<Instant>,
    /// How often the coordinator may be asked again, as of a time.
    repeated_asks: Option<(Instant, f64)>,
}

/// What an entry knows of one organisation.
#[derive(Debug)]
struct State {
    /// Tokens and the time at which they expire, the earliest first.
    tokens: VecDeque<(Instant, f64)>,
    arrivals: Recent,
    /// Arrivals within [`AHEAD`], which show the end of a burst sooner.
    latest: Recent,
    last_arrival: Instant,
    waiting: VecDeque<(Ticket, Instant)>,
    /// Number of the waiting requests that the coordinator was asked about.
    asked: usize,
    refused: Option<Refusal>,
}

/// Until when requests are refused without asking, and when refused ones may return.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    at: Instant,
    until: Instant,
    /// Time for which the next refused request has to wait, as of `at`.
    next_return: Duration,
    /// Time between the returns of two refused requests.
    interval: Duration,
    /// Time at which the last refused request that the coordinator knows of may return.
    last_return: Duration,
}

impl Entry {
    /// Replaces the quotas.
    pub fn set_limits(&mut self, organisations: &[Organisation]) {
        let limits = organisations.iter().filter_map(|organisation| {
            Some((organisation.name.clone(), organisation.quota?.per_second))
        });
        self.limits = limits.collect();
        // Requests that wait are decided by `expire`.
        let limits = &self.limits;
        self.organisations
            .retain(|name, state| limits.contains_key(name) || !state.waiting.is_empty());
    }

    /// Whether some organisation has a quota.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Decides about a request with `remaining` time until its deadline.
    pub fn admit(
        &mut self,
        now: Instant,
        organisation: &str,
        ticket: Ticket,
        remaining: Duration,
    ) -> Admission {
        if !self.limits.contains_key(organisation) {
            return Admission::Granted;
        }
        if !self.organisations.contains_key(organisation) {
            self.organisations.insert(organisation.into(), State::new(now));
        }
        let Some(state) = self.organisations.get_mut(organisation) else {
            return Admission::Granted;
        };
        state.arrivals.add(now, 1.0);
        state.latest.add(now, 1.0);
        if state.expected(now) >= MIN_AHEAD && !self.frequent.contains(organisation) {
            self.frequent.insert(organisation.into());
        }
        state.last_arrival = now;
        if state.waiting.is_empty() && state.spend(now) {
            return Admission::Granted;
        }
        if state.is_backing_off(now) {
            return Admission::Refused { retry_after: state.next_return(now) };
        }
        let limit = WAIT_LIMIT.min(remaining / WAIT_DIVISOR);
        if state.waiting.is_empty() {
            self.waiting.insert(organisation.into());
        }
        state.waiting.push_back((ticket, now + limit));
        Admission::Pending
    }

    /// Whether requests wait for the coordinator's reply.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the tokens to ask the coordinator for now: for the requests that wait and for
    /// those expected soon.
    pub fn wants(&mut self, now: Instant) -> Vec<Want> {
        self.sweep(now);
        let mut wants = Vec::new();
        for organisation in self.waiting.union(&self.frequent) {
            let Some(state) = self.organisations.get_mut(organisation) else { continue };
            let tokens = state.want(now);
            if tokens >= 1.0 {
                wants.push(Want { organisation: organisation.clone(), tokens });
            }
        }
        let organisations = &mut self.organisations;
        self.frequent.retain(|organisation| {
            let state = organisations.get_mut(organisation);
            state.is_some_and(|state| state.expected(now) >= MIN_AHEAD)
        });
        wants
    }

    /// Forgets the organisations without recent requests.
    fn sweep(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < IDLE;
        if self.swept_at.is_some_and(is_recent) {
            return;
        }
        self.swept_at = Some(now);
        self.organisations
            .retain(|_, state| is_recent(state.last_arrival) || !state.waiting.is_empty());
    }

    /// Handles the coordinator's reply to `wants`.
    pub fn receive(&mut self, now: Instant, wants: &[Want], grants: &[Grant]) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let may_ask_again = self.may_ask_again(now);
        for want in wants {
            let Some(state) = self.organisations.get_mut(&want.organisation) else { continue };
            let rate = self.limits.get(&want.organisation).copied();
            match grants.iter().find(|grant| grant.organisation == want.organisation) {
                Some(grant) => {
                    let tokens = grant.tokens.clamp(0.0, want.tokens);
                    let missing = want.tokens - tokens;
                    state.receive(now, missing, tokens, grant.retry_after, rate, may_ask_again);
                }
                None => {
                    state.receive(now, want.tokens, 0.0, UNREACHABLE_RETRY_AFTER, rate, false);
                }
            }
            state.decide(now, &mut verdicts);
            if state.waiting.is_empty() {
                self.waiting.remove(&want.organisation);
            }
        }
        verdicts
    }

    /// Refuses the requests that have waited too long, and grants those whose organisation no
    /// longer has a quota.
    pub fn expire(&mut self, now: Instant) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let organisations = &mut self.organisations;
        self.waiting.retain(|organisation| {
            let Some(state) = organisations.get_mut(organisation) else { return false };
            let is_limited = self.limits.contains_key(organisation);
            state.waiting.retain(|(ticket, deadline)| {
                let is_waiting = is_limited && now < *deadline;
                if !is_waiting {
                    let admission = match is_limited {
                        true => Admission::Refused { retry_after: UNREACHABLE_RETRY_AFTER },
                        false => Admission::Granted,
                    };
                    verdicts.push(Verdict { ticket: *ticket, admission });
                }
                is_waiting
            });
            !state.waiting.is_empty()
        });
        verdicts
    }

    /// Whether the coordinator may be asked again before it has tokens.
    fn may_ask_again(&mut self, now: Instant) -> bool {
        let (at, left) = self.repeated_asks.unwrap_or((now, REPEATED_ASKS_BURST));
        let gained = now.saturating_duration_since(at).as_secs_f64() * REPEATED_ASKS_PER_SECOND;
        let left = (left + gained).min(REPEATED_ASKS_BURST);
        let may_ask = left >= 1.0;
        self.repeated_asks = Some((now, if may_ask { left - 1.0 } else { left }));
        may_ask
    }

    /// Returns the time at which the first waiting request has waited too long.
    pub fn next_expiry(&self) -> Option<Instant> {
        let waiting = self.waiting.iter().filter_map(|name| self.organisations.get(name));
        waiting.flat_map(|state| &state.waiting).map(|(_, deadline)| *deadline).min()
    }
}

impl State {
    fn new(now: Instant) -> Self {
        Self {
            tokens: VecDeque::new(),
            arrivals: Recent::new(ARRIVAL_SPAN),
            latest: Recent::new(AHEAD),
            last_arrival: now,
            waiting: VecDeque::new(),
            asked: 0,
            refused: None,
        }
    }

    fn held(&mut self, now: Instant) -> f64 {
        self.tokens.retain(|(expiry, tokens)| now < *expiry && *tokens > 0.0);
        self.tokens.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Spends a token. Returns `false` if there is none.
    fn spend(&mut self, now: Instant) -> bool {
        if self.held(now) < 1.0 {
            return false;
        }
        let mut missing = 1.0;
        for (_, tokens) in &mut self.tokens {
            let spent = tokens.min(missing);
            *tokens -= spent;
            missing -= spent;
        }
        true
    }

    /// Returns the number of requests expected within [`AHEAD`].
    fn expected(&mut self, now: Instant) -> f64 {
        let expected = self.arrivals.per_second(now) * AHEAD.as_secs_f64();
        expected.min(self.latest.sum(now))
    }

    fn want(&mut self, now: Instant) -> f64 {
        self.asked = self.waiting.len();
        let waiting = self.asked as f64;
        let expected = self.expected(now);
        let is_scarce =
            self.refused.is_some_and(|refusal| now.saturating_duration_since(refusal.at) < SCARCE);
        let ahead = match expected {
            expected if expected < MIN_AHEAD => 0.0,
            expected if is_scarce => expected,
            // Requests do not come evenly.
            expected => expected + expected.sqrt(),
        };
        if waiting == 0.0 && self.is_backing_off(now) {
            return 0.0;
        }
        (waiting + ahead.round() - self.held(now)).ceil().max(0.0)
    }

    fn receive(
        &mut self,
        now: Instant,
        missing: f64,
        tokens: f64,
        retry_after: Duration,
        rate: Option<f64>,
        may_ask_again: bool,
    ) {
        if tokens > 0.0 {
            self.tokens.push_back((now + TOKEN_LIFETIME, tokens));
        }
        if missing < 1.0 {
            return;
        }
        // The coordinator names the time at which it has tokens for all that is missing. The
        // requests return one after the other up to then.
        let interval = rate.filter(|rate| *rate > 0.0).map_or(0.0, |rate| 1.0 / rate);
        let interval = Duration::from_secs_f64(interval.min(1.0));
        let before = interval.mul_f64(missing - 1.0);
        let first = retry_after.saturating_sub(before).max(retry_after.mul_f64(1.0 / missing));
        self.refused = Some(Refusal {
            at: now,
            until: if may_ask_again { now } else { now + retry_after.min(MAX_BACKOFF) },
            next_return: first,
            interval: (retry_after - first).div_f64((missing - 1.0).max(1.0)),
            last_return: retry_after,
        });
    }

    /// Grants the tokens held to the requests that wait, and refuses the others. Those that came
    /// after the coordinator was asked go on waiting, if it may be asked again.
    fn decide(&mut self, now: Instant, verdicts: &mut Vec<Verdict>) {
        let mut asked = std::mem::take(&mut self.asked);
        while let Some((ticket, deadline)) = self.waiting.pop_front() {
            let admission = match self.spend(now) {
                true => Admission::Granted,
                false if asked > 0 || self.is_backing_off(now) => {
                    Admission::Refused { retry_after: self.next_return(now) }
                }
                false => {
                    self.waiting.push_front((ticket, deadline));
                    return;
                }
            };
            asked = asked.saturating_sub(1);
            verdicts.push(Verdict { ticket, admission });
        }
    }

    fn is_backing_off(&self, now: Instant) -> bool {
        self.refused.is_some_and(|refusal| now < refusal.until)
    }

    /// Returns Retry-After for the next request that is refused.
    fn next_return(&mut self, now: Instant) -> Duration {
        let Some(refusal) = &mut self.refused else {
            return UNREACHABLE_RETRY_AFTER;
        };
        let retry_at = refusal.at + refusal.next_return;
        refusal.next_return = (refusal.next_return + refusal.interval).min(refusal.last_return);
        retry_at.saturating_duration_since(now).max(Duration::from_millis(1))
    }
}
