//! Data centres that are far from each other, simulated without a network: targets with slots
//! and a queue, and an entry beside each. Traffic between data centres is expensive, and a call
//! leaves its own only if it would be late there.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use route::{
    AttemptHistory, AttemptId, AttemptResult, Budgets, Call, Choice, Departure, Load, Node, Policy,
    Pool, Target,
};

const TARGETS: usize = 4;
const SLOTS: usize = 12;
const NOMINAL: Duration = Duration::from_millis(100);
/// Calls per second that the targets of one data centre can serve.
const CAPACITY: f64 = (TARGETS * SLOTS) as f64 / 0.1;
const TARGET_LATENCY: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(1500);
const LOCAL_RTT: Duration = Duration::from_micros(200);
const FAR_RTT: Duration = Duration::from_millis(9);
const MAX_REDIRECTS: usize = 3;
const SECOND: Duration = Duration::from_secs(1);

enum Event {
    Demand { data_centre: usize },
    Arrive(Attempt),
    Finish { target: usize, attempt: Attempt },
    Reply { attempt: Attempt, is_answer: bool, load: Load },
    Gossip { target: usize },
    Report { target: usize, load: Load, entry: usize },
}

#[derive(Clone)]
struct Attempt {
    entry: usize,
    target: usize,
    id: AttemptId,
    born: Duration,
    may_queue: bool,
    history: AttemptHistory,
}

#[derive(Default)]
struct Server {
    running: usize,
    queue: VecDeque<Attempt>,
    pace: u16,
}

/// What happened to the calls of one data centre in one interval of 250 ms.
#[derive(Default, Clone, Copy)]
struct Counts {
    calls: usize,
    left: usize,
    late: usize,
    failed: usize,
}

struct World<'a> {
    start: Instant,
    now: Duration,
    random: fastrand::Rng,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    servers: Vec<Server>,
    pools: Vec<Pool>,
    /// Demand of a data centre in calls per second.
    demand: &'a dyn Fn(usize, Duration) -> f64,
    /// Factor on the service time at a target.
    pace: &'a dyn Fn(usize, Duration) -> f64,
    /// Whether messages pass between these data centres.
    link: &'a dyn Fn(usize, usize, Duration) -> bool,
    counts: HashMap<(usize, u64), Counts>,
    reasons: HashMap<Departure, usize>,
    received: Vec<usize>,
}

fn node(target: usize) -> Node {
    target as u64 + 1
}

fn data_centre(target: usize) -> usize {
    target / TARGETS
}

fn call() -> Call {
    Call { may_wait: false, repeatable: true, kind: "order".into(), target_latency: TARGET_LATENCY }
}

fn pool_of(
    now: Instant,
    entry: usize,
    targets: usize,
    answer_bytes: usize,
    is_local_preferred: bool,
) -> Pool {
    let mut pool = Pool::new(Policy::Bronzeport, Budgets::default());
    let is_near = |target: usize| data_centre(target) == data_centre(entry);
    pool.set_targets((0..targets).map(|target| Target {
        node: node(target),
        rtt: if is_near(target) { LOCAL_RTT } else { FAR_RTT },
        slots: SLOTS as u16,
        in_local_data_centre: is_near(target),
    }));
    let far = (0..targets).filter(|target| !is_near(*target) && is_local_preferred);
    pool.set_far(&far.map(|target| (node(target), data_centre(target) as u16)).collect());
    pool.set_transfer_cost(4.0);
    let (attempt, _) = pool.begin(now, node(entry), &call());
    pool.end(now, node(entry), attempt, AttemptResult::Answered(NOMINAL));
    pool.observe_request_size("order", 1000);
    pool.observe_answer_size("order", answer_bytes);
    pool
}

struct Load3<'a> {
    demand: &'a dyn Fn(usize, Duration) -> f64,
    pace: &'a dyn Fn(usize, Duration) -> f64,
    link: &'a dyn Fn(usize, usize, Duration) -> bool,
    answer_bytes: usize,
}

fn always(_: usize, _: Duration) -> f64 {
    1.0
}

fn connected(_: usize, _: usize, _: Duration) -> bool {
    true
}

impl<'a> World<'a> {
    fn run(
        data_centres: usize,
        seed: u64,
        load: &Load3<'a>,
        is_local_preferred: bool,
        time: Duration,
    ) -> Self {
        let targets = data_centres * TARGETS;
        let start = Instant::now();
        let pool = |entry| pool_of(start, entry, targets, load.answer_bytes, is_local_preferred);
        let mut world = Self {
            start,
            now: Duration::ZERO,
            random: fastrand::Rng::with_seed(seed),
            events: BTreeMap::new(),
            sequence: 0,
            servers: (0..targets).map(|_| Server { pace: 100, ..Server::default() }).collect(),
            pools: (0..targets).map(pool).collect(),
            demand: load.demand,
            pace: load.pace,
            link: load.link,
            counts: HashMap::new(),
            reasons: HashMap::new(),
            received: vec![0; targets],
        };
        for data_centre in 0..data_centres {
            world.after(Duration::ZERO, Event::Demand { data_centre });
        }
        for target in 0..targets {
            world.after(Duration::ZERO, Event::Gossip { target });
        }
        while let Some(((at, _), event)) = world.events.pop_first() {
            if at > time {
                break;
            }
            world.now = at;
            world.handle(event);
        }
        world
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn one_way(&self, one: usize, other: usize) -> Duration {
        let is_near = data_centre(one) == data_centre(other);
        (if is_near { LOCAL_RTT } else { FAR_RTT }) / 2
    }

    fn is_connected(&self, one: usize, other: usize) -> bool {
        (self.link)(data_centre(one), data_centre(other), self.now)
    }

    fn count(&mut self, data_centre: usize, born: Duration) -> &mut Counts {
        self.counts.entry((data_centre, born.as_millis() as u64 / 250)).or_default()
    }

    fn load(&self, target: usize) -> Load {
        let server = &self.servers[target];
        Load {
            in_flight: server.running as u16,
            queued: server.queue.len() as u16,
            slots: SLOTS as u16,
            service_time: NOMINAL,
            pace: server.pace,
            ..Load::default()
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Demand { data_centre } => self.demand(data_centre),
            Event::Arrive(attempt) => self.arrive(attempt),
            Event::Finish { target, attempt } => {
                self.servers[target].running -= 1;
                while let Some(next) = self.servers[target].queue.pop_front() {
                    if self.now < next.born + DEADLINE {
                        self.begin(next);
                        break;
                    }
                    self.reply(next, false);
                }
                self.reply(attempt, true);
            }
            Event::Reply { attempt, is_answer, load } => self.replied(attempt, is_answer, load),
            Event::Gossip { target } => self.gossip(target),
            Event::Report { target, load, entry } => {
                let now = self.instant();
                self.pools[entry].observe_load(now, node(target), load);
            }
        }
    }

    fn demand(&mut self, data_centre: usize) {
        let rate = (self.demand)(data_centre, self.now);
        if rate > 0.0 {
            let entry = data_centre * TARGETS + self.random.usize(..TARGETS);
            self.count(data_centre, self.now).calls += 1;
            self.choose(entry, self.now, AttemptHistory::default());
        }
        let pause = -(1.0 - self.random.f64()).ln() / rate.max(100.0);
        self.after(Duration::from_secs_f64(pause), Event::Demand { data_centre });
    }

    fn choose(&mut self, entry: usize, born: Duration, history: AttemptHistory) {
        let now = self.instant();
        let pool = &mut self.pools[entry];
        let (choice, departure) =
            pool.choose_with_departure(now, &mut self.random, &history, &call());
        let Choice::Send { node, may_queue } = choice else {
            self.count(data_centre(entry), born).failed += 1;
            return;
        };
        let (id, _) = pool.begin(now, node, &call());
        let target = node as usize - 1;
        if data_centre(target) != data_centre(entry) {
            self.count(data_centre(entry), born).left += 1;
            self.received[target] += 1;
        }
        if let Some(departure) = departure {
            *self.reasons.entry(departure).or_default() += 1;
        }
        let attempt = Attempt { entry, target, id, born, may_queue, history };
        self.after(self.one_way(entry, target), Event::Arrive(attempt));
    }

    fn arrive(&mut self, attempt: Attempt) {
        if !self.is_connected(attempt.entry, attempt.target) {
            return self.reply(attempt, false);
        }
        let server = &mut self.servers[attempt.target];
        let wait = NOMINAL.mul_f64(server.queue.len() as f64 / SLOTS as f64);
        let is_in_time = self.now + wait + NOMINAL.mul_f64(1.25) < attempt.born + DEADLINE;
        if server.running < SLOTS {
            self.begin(attempt);
        } else if attempt.may_queue && is_in_time {
            server.queue.push_back(attempt);
        } else {
            self.reply(attempt, false);
        }
    }

    fn begin(&mut self, attempt: Attempt) {
        let target = attempt.target;
        self.servers[target].running += 1;
        let pace = (self.pace)(target, self.now) * (0.8 + 0.4 * self.random.f64());
        self.after(NOMINAL.mul_f64(pace), Event::Finish { target, attempt });
    }

    fn reply(&mut self, attempt: Attempt, is_answer: bool) {
        let delay = self.one_way(attempt.entry, attempt.target);
        let load = self.load(attempt.target);
        self.after(delay, Event::Reply { attempt, is_answer, load });
    }

    fn replied(&mut self, attempt: Attempt, is_answer: bool, load: Load) {
        let Attempt { entry, target, id, born, mut history, .. } = attempt;
        let (now, node) = (self.instant(), node(target));
        let pool = &mut self.pools[entry];
        let service_time = NOMINAL.mul_f64(f64::from(load.pace) / 100.0);
        let result = match is_answer {
            true => AttemptResult::Answered(service_time),
            false => AttemptResult::Inconclusive,
        };
        pool.end(now, node, id, result);
        pool.observe_load(now, node, load);
        if is_answer {
            let is_late = self.now > born + TARGET_LATENCY;
            self.count(data_centre(entry), born).late += usize::from(is_late);
            return;
        }
        history.refused.push(node);
        if history.refused.len() > MAX_REDIRECTS || self.now > born + DEADLINE {
            self.count(data_centre(entry), born).failed += 1;
            return;
        }
        self.choose(entry, born, history);
    }

    /// Announces a changed pace to the entries of the data centre, sends the load to one of them
    /// each second, and to an entry elsewhere every four seconds, as membership does.
    fn gossip(&mut self, target: usize) {
        let pace = ((self.pace)(target, self.now) * 100.0) as u16;
        let has_changed = std::mem::replace(&mut self.servers[target].pace, pace) != pace;
        let load = self.load(target);
        let first = data_centre(target) * TARGETS;
        for entry in first..first + TARGETS {
            if has_changed || self.random.f64() < 0.02 / TARGETS as f64 {
                self.after(LOCAL_RTT, Event::Report { target, load, entry });
            }
        }
        let entry = self.random.usize(..self.pools.len());
        if self.random.f64() < 0.005 && self.is_connected(entry, target) {
            self.after(FAR_RTT, Event::Report { target, load, entry });
        }
        self.after(Duration::from_millis(20), Event::Gossip { target });
    }

    /// Sums the counts of data centres in a time span.
    fn sum(&self, data_centres: &[usize], from: Duration, to: Duration) -> Counts {
        let is_within =
            |at: u64| (from.as_millis() as u64 / 250..to.as_millis() as u64 / 250).contains(&at);
        let mut sum = Counts::default();
        for ((data_centre, at), counts) in &self.counts {
            if data_centres.contains(data_centre) && is_within(*at) {
                sum.calls += counts.calls;
                sum.left += counts.left;
                sum.late += counts.late;
                sum.failed += counts.failed;
            }
        }
        sum
    }
}

impl Counts {
    fn shares(&self) -> (f64, f64, f64) {
        let share = |count: usize| count as f64 / self.calls.max(1) as f64;
        (share(self.left), share(self.late), share(self.failed))
    }
}

/// Runs a load with and without the preference for the own data centre, and prints the shares of
/// calls that left, were late or failed.
fn compare<'a>(
    name: &str,
    data_centres: usize,
    load: &Load3<'a>,
    time: Duration,
) -> [World<'a>; 2] {
    let worlds = [true, false].map(|is_on| World::run(data_centres, 5, load, is_on, time));
    let all: Vec<usize> = (0..data_centres).collect();
    for (world, what) in worlds.iter().zip(["on", "off"]) {
        let (left, late, failed) = world.sum(&all, SECOND, time).shares();
        println!("{name}, {what}: left {left:.4} late {late:.4} failed {failed:.4}");
        for data_centre in &all {
            let counts = world.sum(&[*data_centre], SECOND, time);
            println!("    {data_centre}: {} calls, {:?}", counts.calls, counts.shares());
        }
    }
    println!("    {:?}", worlds[0].reasons);
    worlds
}

/// 45% of the demand at a third of the targets, 65% of the whole capacity: the first data centre
/// has 88% of what it can serve and must not send away what fits.
#[test]
fn uneven_demand_that_fits_at_home_stays_there() {
    let demand = |dc: usize, _: Duration| [0.88, 0.535, 0.535][dc] * CAPACITY;
    let load = Load3 { demand: &demand, pace: &always, link: &connected, answer_bytes: 2000 };
    let [on, off] = compare("uneven", 3, &load, SECOND * 10);
    let (left, late, failed) = on.sum(&[0, 1, 2], SECOND, SECOND * 10).shares();
    let (_, late_off, _) = off.sum(&[0, 1, 2], SECOND, SECOND * 10).shares();
    assert!(left < 0.04, "{left} of the calls left");
    assert!(late <= late_off + 0.01, "{late} late instead of {late_off}");
    assert_eq!(failed, 0.0);
}

/// 45% of the demand at a third of the targets, 85% of the whole capacity: the first data centre
/// has 115% of what it can serve. What does not fit must leave, and hardly more than that.
#[test]
fn uneven_demand_that_does_not_fit_leaves_in_part() {
    let demand = |dc: usize, _: Duration| [1.15, 0.70, 0.70][dc] * CAPACITY;
    let load = Load3 { demand: &demand, pace: &always, link: &connected, answer_bytes: 2000 };
    let [on, _] = compare("uneven and full", 3, &load, SECOND * 10);
    let (left, late, failed) = on.sum(&[0], SECOND, SECOND * 10).shares();
    assert!((0.12..0.35).contains(&left), "{left} of the calls left");
    assert!(late < 0.1, "{late} late");
    assert!(failed < 0.005, "{failed} failed");
    let (left, ..) = on.sum(&[1, 2], SECOND, SECOND * 10).shares();
    assert!(left < 0.03, "{left} of the calls left the others");
}

/// Half of the demand of two data centres moves to the third for 6 s, which then has 160% of
/// what it can serve, at 80% of the whole capacity.
#[test]
fn moving_demand_is_served_elsewhere_and_returns() {
    let demand = |dc: usize, at: Duration| {
        let has_moved = (SECOND * 3..SECOND * 9).contains(&at);
        (if has_moved { [1.4, 0.45, 0.45][dc] } else { 0.75 }) * CAPACITY
    };
    let load = Load3 { demand: &demand, pace: &always, link: &connected, answer_bytes: 2000 };
    let [on, _] = compare("moving", 3, &load, SECOND * 13);
    let (left, late, failed) = on.sum(&[0], SECOND * 4, SECOND * 9).shares();
    assert!((0.25..0.55).contains(&left), "{left} of the calls left");
    assert!(late < 0.1 && failed < 0.005, "{late} late, {failed} failed");
    let (left, ..) = on.sum(&[0, 1, 2], SECOND * 10, SECOND * 13).shares();
    assert!(left < 0.03, "{left} of the calls left after the move");
}

/// All targets of one data centre are seven times slower for every other half second, at 50% of
/// the capacity: calls leave while it is slow, and only then.
#[test]
fn calls_leave_a_slow_data_centre_while_it_is_slow() {
    let is_slow = |at: Duration| (at.as_millis() / 500) % 2 == 1;
    let pace = |target: usize, at: Duration| match data_centre(target) == 0 && is_slow(at) {
        true => 7.0,
        false => 1.0,
    };
    let demand = |_: usize, _: Duration| 0.5 * CAPACITY;
    let load = Load3 { demand: &demand, pace: &pace, link: &connected, answer_bytes: 2000 };
    let [on, off] = compare("slow", 3, &load, SECOND * 10);
    let (_, late, failed) = on.sum(&[0], SECOND, SECOND * 10).shares();
    let (_, late_off, _) = off.sum(&[0], SECOND, SECOND * 10).shares();
    assert!(late <= late_off + 0.05, "{late} late instead of {late_off}");
    assert!(failed < 0.005, "{failed} failed");
    let (left, ..) = on.sum(&[1, 2], SECOND, SECOND * 10).shares();
    assert!(left < 0.02, "{left} of the calls left the others");
}

/// A quarter of the targets of each data centre is seven times slower, another one each half
/// second, at 60% of the capacity: the other targets at home have room.
#[test]
fn calls_avoid_slow_targets_within_their_data_centre() {
    let pace = |target: usize, at: Duration| {
        let slow = (at.as_millis() as usize / 500 * 3 + data_centre(target)) % TARGETS;
        if target % TARGETS == slow { 7.0 } else { 1.0 }
    };
    let demand = |_: usize, _: Duration| 0.5 * CAPACITY;
    let load = Load3 { demand: &demand, pace: &pace, link: &connected, answer_bytes: 2000 };
    let [on, off] = compare("slow quarter", 3, &load, SECOND * 10);
    let (left, late, failed) = on.sum(&[0, 1, 2], SECOND, SECOND * 10).shares();
    let (_, late_off, _) = off.sum(&[0, 1, 2], SECOND, SECOND * 10).shares();
    assert!(left < 0.1, "{left} of the calls left");
    assert!(late <= late_off + 0.03 && failed < 0.005, "{late} late, {failed} failed");
}

/// Two data centres with 110% of what they can serve gain nothing by sending calls to each
/// other, and each call would cost two transfers.
#[test]
fn two_full_data_centres_do_not_trade_calls() {
    let demand = |_: usize, _: Duration| 1.1 * CAPACITY;
    let load = Load3 { demand: &demand, pace: &always, link: &connected, answer_bytes: 2000 };
    let [on, _] = compare("two full", 2, &load, SECOND * 10);
    let (left, ..) = on.sum(&[0, 1], SECOND * 2, SECOND * 10).shares();
    assert!(left < 0.03, "{left} of the calls left");
}

/// Two data centres with 125% of what they can serve, and a third one with 30%: its free slots
/// are used, by calls of both and spread over its targets.
#[test]
fn a_free_data_centre_takes_the_calls_of_two_full_ones() {
    let demand = |dc: usize, _: Duration| [1.25, 1.25, 0.3][dc] * CAPACITY;
    let load = Load3 { demand: &demand, pace: &always, link: &connected, answer_bytes: 2000 };
    let [on, _] = compare("third free", 3, &load, SECOND * 10);
    let (left, late, failed) = on.sum(&[0, 1], SECOND * 2, SECOND * 10).shares();
    assert!((0.15..0.45).contains(&left), "{left} of the calls left");
    assert!(late < 0.25 && failed < 0.02, "{late} late, {failed} failed");
    let (between, to_free) = on.received.split_at(2 * TARGETS);
    let (between, all): (usize, usize) = (between.iter().sum(), to_free.iter().sum());
    assert!(between < all / 5, "{between} calls between full ones, {all} to the free one");
    let most = *to_free.iter().max().expect("targets");
    assert!(most < all * 2 / TARGETS, "{most} of {all} went to one target");
}

/// The first data centre is cut off for 3 s, and its callers come back with 2.2 times the demand
/// for a second: the calls that leave must stop leaving when the surge is over, without waves.
#[test]
fn a_herd_after_a_cut_causes_no_oscillation() {
    let demand = |dc: usize, at: Duration| match dc {
        0 if (SECOND * 3..SECOND * 6).contains(&at) => 0.0,
        0 if (SECOND * 6..SECOND * 7).contains(&at) => 1.5 * CAPACITY,
        _ => 0.7 * CAPACITY,
    };
    let link = |one: usize, other: usize, at: Duration| {
        one == other || one.min(other) > 0 || !(SECOND * 3..SECOND * 6).contains(&at)
    };
    let load = Load3 { demand: &demand, pace: &always, link: &link, answer_bytes: 2000 };
    let [on, _] = compare("herd", 3, &load, SECOND * 12);
    let left = |data_centres: &[usize], from: u32, to: u32| {
        on.sum(data_centres, SECOND * from, SECOND * to).shares().0
    };
    assert!(left(&[0], 6, 7) > 0.1, "the surge is served elsewhere, too");
    let (after, others) = (left(&[0], 8, 12), left(&[1, 2], 6, 12));
    assert!(after < 0.03, "{after} of the calls still leave after the surge");
    assert!(others < 0.03, "{others} of the calls leave the others");
    let (_, late, failed) = on.sum(&[0], SECOND * 6, SECOND * 12).shares();
    assert!(late < 0.25 && failed < 0.02, "{late} late, {failed} failed");
}

/// Both loads exceed what the first data centre can serve; a call with an answer of 300 kB costs
/// more to send away (1.2 s at 4 s a megabyte) than it gains, one of 2 kB does not.
#[test]
fn calls_with_few_bytes_leave_first() {
    let demand = |dc: usize, _: Duration| [1.1, 0.5][dc] * CAPACITY;
    let [small, large] = [2000, 300_000].map(|answer_bytes| {
        let load = Load3 { demand: &demand, pace: &always, link: &connected, answer_bytes };
        let [on, _] = compare("bytes", 2, &load, SECOND * 6);
        on.sum(&[0], SECOND, SECOND * 6).shares().0
    });
    assert!(small > 2.0 * large, "{small} and {large} left");
}

/// A call whose answer would be late at home leaves for a data centre that is itself nearly full
/// (90% of its slots), which takes no other calls.
#[test]
fn a_call_that_would_be_late_at_home_leaves_for_a_nearly_full_data_centre() {
    let now = Instant::now();
    let report = |pool: &mut Pool, target: usize, in_flight, queued| {
        let slots = 10;
        let load = Load { in_flight, queued, slots, pace: 100, ..Load::default() };
        pool.observe_load(now, node(target), load);
    };
    let choose = |queued: u16| {
        let mut pool = pool_of(now, 0, 2 * TARGETS, 2000, true);
        (0..TARGETS).for_each(|target| report(&mut pool, target, 10, queued));
        (TARGETS..2 * TARGETS).for_each(|target| report(&mut pool, target, 9, 0));
        let mut random = fastrand::Rng::with_seed(1);
        pool.choose_with_departure(now, &mut random, &AttemptHistory::default(), &call()).1
    };
    assert_eq!(choose(4), None, "56 ms at home");
    assert_eq!(choose(15), None, "100 ms at home, within the target latency");
    assert_eq!(choose(25), Some(Departure::Busy), "140 ms at home");
}

/// Retries and hedges stay at home while another target there has room, and a call leaves if the
/// guards at home have refused it.
#[test]
fn retries_and_hedges_stay_at_home_while_it_has_room() {
    let now = Instant::now();
    let mut pool = pool_of(now, 0, 2 * TARGETS, 2000, true);
    let mut random = fastrand::Rng::with_seed(1);
    let report = |pool: &mut Pool, target: usize, in_flight| {
        let load = Load { in_flight, slots: SLOTS as u16, pace: 100, ..Load::default() };
        pool.observe_load(now, node(target), load);
    };
    (0..2 * TARGETS).for_each(|target| report(&mut pool, target, 0));
    let at_home = [1, 2, 3];
    (0..100).for_each(|_| pool.budgets.deposit());
    let mut history = AttemptHistory { reached: vec![1], refused: vec![2, 3] };
    let (choice, departure) = pool.choose_with_departure(now, &mut random, &history, &call());
    assert_eq!((choice, departure), (Choice::Send { node: 4, may_queue: false }, None));
    assert_eq!(pool.decide_hedge(now, &at_home, &call(), false), Some(4));
    report(&mut pool, 3, SLOTS as u16);
    assert_eq!(pool.decide_hedge(now, &at_home, &call(), false), None, "not elsewhere");
    let (_, departure) = pool.choose_with_departure(now, &mut random, &history, &call());
    assert_eq!(departure, Some(Departure::Refused));
    history.reached = vec![1, 2, 3, 4];
    let (_, departure) = pool.choose_with_departure(now, &mut random, &history, &call());
    assert_eq!(departure, Some(Departure::NoTarget));
}

/// Guards against calls that are sent to crashed targets at home, with retries there, while other
/// data centres have targets that work: a fleet test found them with two targets in each.
#[test]
fn calls_leave_a_data_centre_whose_targets_fail() {
    let now = Instant::now();
    let mut pool = pool_of(now, 0, 2 * TARGETS, 2000, true);
    let mut random = fastrand::Rng::with_seed(1);
    let history = AttemptHistory::default();
    let mut choose = |pool: &mut Pool, now| {
        let (choice, departure) = pool.choose_with_departure(now, &mut random, &history, &call());
        let Choice::Send { node, .. } = choice else { panic!("{choice:?}") };
        (node, departure)
    };
    for failing in 1..=TARGETS as u64 {
        let (node, departure) = choose(&mut pool, now);
        assert!(node <= TARGETS as u64 && departure.is_none(), "{failing} failing");
        let (attempt, _) = pool.begin(now, failing, &call());
        pool.end(now, failing, attempt, AttemptResult::Failed);
    }
    let (node, departure) = choose(&mut pool, now);
    assert!(node > TARGETS as u64);
    assert_eq!(departure, Some(Departure::NoTarget));
    let (node, _) = choose(&mut pool, now + 2 * SECOND);
    assert!(node <= TARGETS as u64, "the data centre is tried again");
}
