//! A fleet of simulated hosts: an event loop without network and with its own time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use config::{Organisation, Quota};
use quota::{Action, Admission, BORROW_TIMEOUT, Grant, Host, Member, Presence, Ticket, Want};

pub const HOSTS: usize = 87;
const DATA_CENTRES: usize = 3;
const WINDOW: Duration = Duration::from_secs(5);

/// Demand of one organisation.
#[derive(Clone)]
pub struct Demand {
    /// Requests per second; none at 0.
    pub per_second: f64,
    /// Part of the requests that enter at each host.
    pub weights: Vec<f64>,
}

/// What became of the requests of one organisation.
#[derive(Default)]
pub struct Outcomes {
    pub admitted: Vec<Duration>,
    pub refused: Vec<Duration>,
}

enum Event {
    Arrival { organisation: usize, generation: u64 },
    Request { organisation: usize, host: usize, is_return: bool },
    Wake { host: usize, process: u32 },
    Deliver { from: usize, to: usize, message: Message },
    Refresh { host: usize, process: u32 },
    Hear { host: usize, process: u32 },
    Limits { host: usize, limits: Vec<Organisation> },
}

enum Message {
    Exchange { process: u32, sequence: u64, credit: f64, wants: Vec<Want> },
    Replied { process: u32, sequence: u64, grants: Option<Vec<Grant>> },
    Lend { process: u32, id: u64, wants: Vec<Want> },
    Lent { process: u32, id: u64, grants: Vec<Grant> },
}

struct Scheduled(Duration, u64, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Node {
    host: Host,
    process: u32,
    is_alive: bool,
    frozen_until: Duration,
    replies: HashMap<Ticket, (usize, u32, u64)>,
    borrows: HashMap<u64, usize>,
    /// Organisation of each request that waits, and whether it was refused before.
    pending: HashMap<Ticket, (usize, bool)>,
    /// Whether the list of members is complete.
    knows_fleet: bool,
}

pub struct Simulation {
    start: Instant,
    pub now: Duration,
    pub random: fastrand::Rng,
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    nodes: Vec<Node>,
    names: Vec<Box<str>>,
    pub limits: Vec<Organisation>,
    pub demands: Vec<Demand>,
    generation: u64,
    /// Part of the fleet that each host can reach.
    sides: Vec<usize>,
    is_cut: [bool; DATA_CENTRES],
    pub loss: f64,
    pub outcomes: Vec<Outcomes>,
    pub messages: BTreeMap<&'static str, u64>,
    /// Whether refused requests return once after Retry-After.
    pub refused_return: bool,
    /// Number of requests that returned, and how many of them were admitted.
    pub returned: (usize, usize),
    next_id: u64,
}

pub fn organisation(index: usize, per_second: f64) -> Organisation {
    let quota = Some(Quota { per_second, burst: per_second });
    Organisation { name: format!("org-{index}").into(), priority: 0, quota }
}

impl Simulation {
    /// Starts a fleet with organisations of these rates, without demand.
    pub fn new(seed: u64, rates: &[f64]) -> Self {
        let limits: Vec<Organisation> =
            rates.iter().enumerate().map(|(index, rate)| organisation(index, *rate)).collect();
        let names = (0..HOSTS).map(|host| format!("10.0.0.{host}:7000").into()).collect();
        let idle = Demand { per_second: 0.0, weights: vec![1.0; HOSTS] };
        let mut simulation = Self {
            start: Instant::now(),
            now: Duration::ZERO,
            random: fastrand::Rng::with_seed(seed),
            events: BinaryHeap::new(),
            scheduled: 0,
            nodes: Vec::new(),
            names,
            demands: vec![idle; rates.len()],
            outcomes: rates.iter().map(|_| Outcomes::default()).collect(),
            limits,
            generation: 0,
            sides: vec![0; HOSTS],
            is_cut: [false; DATA_CENTRES],
            loss: 0.0,
            messages: BTreeMap::new(),
            refused_return: false,
            returned: (0, 0),
            next_id: 0,
        };
        for host in 0..HOSTS {
            let node = simulation.new_node(host, 0);
            simulation.nodes.push(node);
            simulation.begin(host);
        }
        simulation
    }

    fn new_node(&mut self, host: usize, process: u32) -> Node {
        let offset = Duration::from_millis(self.random.u64(..250));
        let data_centre = format!("dc-{}", host % DATA_CENTRES);
        let at = self.start + self.now;
        let mut new = Host::new(at, &self.names[host], &data_centre, offset);
        new.set_limits(at, &self.limits);
        Node {
            host: new,
            process,
            is_alive: true,
            frozen_until: Duration::ZERO,
            replies: HashMap::new(),
            borrows: HashMap::new(),
            pending: HashMap::new(),
            knows_fleet: false,
        }
    }

    fn begin(&mut self, host: usize) {
        let process = self.nodes[host].process;
        self.schedule(Duration::ZERO, Event::Wake { host, process });
        for delay in [300, 900] {
            let delay = Duration::from_millis(delay + self.random.u64(..300));
            self.schedule(delay, Event::Refresh { host, process });
        }
        self.schedule(Duration::from_millis(500), Event::Hear { host, process });
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled(self.now + delay, self.scheduled, event)));
    }

    /// Changes what enters from now on.
    pub fn set_demands(&mut self, demands: Vec<Demand>) {
        self.demands = demands;
        self.generation += 1;
        for organisation in 0..self.demands.len() {
            self.schedule_arrival(organisation);
        }
    }

    fn schedule_arrival(&mut self, organisation: usize) {
        let per_second = self.demands[organisation].per_second;
        if per_second > 0.0 {
            let gap = (0.5 + self.random.f64()) / per_second;
            let generation = self.generation;
            self.schedule(
                Duration::from_secs_f64(gap),
                Event::Arrival { organisation, generation },
            );
        }
    }

    /// Lets a request enter at a host after `delay`.
    pub fn send(&mut self, delay: Duration, organisation: usize, host: usize) {
        self.schedule(delay, Event::Request { organisation, host, is_return: false });
    }

    /// Changes the quotas. Each host learns of it within 300 ms.
    pub fn set_limits(&mut self, limits: Vec<Organisation>) {
        self.limits = limits.clone();
        for host in 0..HOSTS {
            let delay = Duration::from_millis(self.random.u64(..300));
            self.schedule(delay, Event::Limits { host, limits: limits.clone() });
        }
    }

    /// Divides the fleet into sides that cannot reach each other. The hosts notice within 3 s.
    pub fn partition(&mut self, sides: Vec<usize>) {
        self.sides = sides;
        self.refresh_all();
    }

    /// Cuts a data centre off from the others, or ends the cut.
    pub fn cut(&mut self, data_centre: usize, is_cut: bool) {
        self.is_cut[data_centre] = is_cut;
        self.refresh_all();
    }

    pub fn kill(&mut self, host: usize) {
        self.nodes[host].is_alive = false;
        self.refresh_all();
    }

    pub fn restart(&mut self, host: usize) {
        let process = self.nodes[host].process + 1;
        self.nodes[host] = self.new_node(host, process);
        self.begin(host);
        self.refresh_all();
    }

    pub fn freeze(&mut self, host: usize, duration: Duration) {
        self.nodes[host].frozen_until = self.now + duration;
    }

    /// Returns the host that most others transfer their credit to.
    pub fn coordinator(&mut self, data_centre: usize) -> usize {
        let now = self.start + self.now;
        let alive = (0..HOSTS).filter(|host| host % DATA_CENTRES == data_centre);
        let mut share = |host: usize| self.nodes[host].host.coordinator().share(now);
        alive.map(|host| (share(host), host)).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap().1
    }

    fn refresh_all(&mut self) {
        for host in 0..HOSTS {
            let delay = Duration::from_millis(self.random.u64(500..3000));
            let process = self.nodes[host].process;
            self.schedule(delay, Event::Refresh { host, process });
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (here, there) = (from % DATA_CENTRES, to % DATA_CENTRES);
        self.sides[from] == self.sides[to]
            && (here == there || !(self.is_cut[here] || self.is_cut[there]))
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.events.peek().is_some_and(|Reverse(next)| next.0 <= end) {
            let Reverse(Scheduled(at, _, event)) = self.events.pop().unwrap();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let host = match &event {
            Event::Arrival { .. } => None,
            Event::Request { host, .. }
            | Event::Wake { host, .. }
            | Event::Refresh { host, .. }
            | Event::Hear { host, .. }
            | Event::Limits { host, .. } => Some(*host),
            Event::Deliver { to, .. } => Some(*to),
        };
        // A frozen host handles what has come in when it runs again.
        if let Some(frozen_until) = host.map(|host| self.nodes[host].frozen_until)
            && frozen_until > self.now
        {
            return self.schedule(frozen_until - self.now, event);
        }
        let now = self.start + self.now;
        match event {
            Event::Arrival { organisation, generation } => {
                if generation == self.generation {
                    let host = self.draw_host(organisation);
                    self.request(organisation, host, false);
                    self.schedule_arrival(organisation);
                }
            }
            Event::Request { organisation, host, is_return } => {
                self.request(organisation, host, is_return);
            }
            Event::Wake { host, process } => {
                if self.is_running(host, process) {
                    let actions = self.nodes[host].host.advance(now);
                    self.execute(host, actions);
                    let due = self.nodes[host].host.next_due();
                    let delay = due.map_or(Duration::from_millis(100), |due| due - now);
                    let delay = delay.clamp(Duration::from_micros(100), Duration::from_millis(20));
                    self.schedule(delay, Event::Wake { host, process });
                }
            }
            Event::Refresh { host, process } => {
                if self.is_running(host, process) {
                    self.refresh(host);
                }
            }
            Event::Hear { host, process } => {
                if self.is_running(host, process) {
                    let other = self.random.usize(..HOSTS);
                    if self.nodes[other].is_alive && self.reaches(host, other) {
                        let count = self.nodes[other].host.fleet().count(now);
                        self.nodes[host].host.fleet().heard(now, count);
                    }
                    self.schedule(Duration::from_millis(500), Event::Hear { host, process });
                }
            }
            Event::Limits { host, limits } => self.nodes[host].host.set_limits(now, &limits),
            Event::Deliver { from, to, message } => {
                if self.nodes[to].is_alive {
                    self.deliver(from, to, message);
                } else if let Message::Exchange { process, sequence, .. } = message {
                    // The connection to a dead host is refused.
                    let failed = Message::Replied { process, sequence, grants: None };
                    self.transmit(to, from, failed);
                }
            }
        }
    }

    fn is_running(&self, host: usize, process: u32) -> bool {
        self.nodes[host].is_alive && self.nodes[host].process == process
    }

    /// Updates a host's list of members. The first list of a host that has just started has only
    /// some members.
    fn refresh(&mut self, host: usize) {
        let is_first = !std::mem::replace(&mut self.nodes[host].knows_fleet, true);
        let data_centres: Vec<String> = (0..DATA_CENTRES).map(|dc| format!("dc-{dc}")).collect();
        let mut members = Vec::new();
        for other in 0..HOSTS {
            if is_first && other != host && self.random.u8(..8) > 0 {
                continue;
            }
            let is_present = self.nodes[other].is_alive && self.reaches(host, other);
            let presence = if is_present { Presence::Present } else { Presence::Lost };
            let data_centre = &data_centres[other % DATA_CENTRES];
            members.push(Member { address: &self.names[other], data_centre, presence });
        }
        let now = self.start + self.now;
        let node = &mut self.nodes[host].host;
        node.set_members(now, &members);
        if members.len() > 1 {
            node.fleet().exchanged(now);
        }
    }

    fn draw_host(&mut self, organisation: usize) -> usize {
        let weights = &self.demands[organisation].weights;
        let mut left = self.random.f64() * weights.iter().sum::<f64>();
        weights
            .iter()
            .position(|weight| {
                left -= weight;
                left < 0.0
            })
            .unwrap_or(0)
    }

    fn request(&mut self, organisation: usize, host: usize, is_return: bool) {
        if !self.nodes[host].is_alive {
            return;
        }
        self.next_id += 1;
        let (ticket, now) = (self.next_id, self.start + self.now);
        let name = self.limits[organisation].name.clone();
        let node = &mut self.nodes[host];
        node.pending.insert(ticket, (organisation, is_return));
        let admission = node.host.admit(now, &name, ticket, Duration::from_secs(2));
        self.decide(host, ticket, admission);
        let actions = self.nodes[host].host.advance(now);
        self.execute(host, actions);
    }

    fn decide(&mut self, host: usize, ticket: Ticket, admission: Admission) {
        if admission == Admission::Pending {
            return;
        }
        let (organisation, is_return) = self.nodes[host].pending.remove(&ticket).unwrap();
        if is_return {
            self.returned.0 += 1;
            self.returned.1 += usize::from(admission == Admission::Granted);
        }
        let outcomes = &mut self.outcomes[organisation];
        match admission {
            Admission::Granted => outcomes.admitted.push(self.now),
            Admission::Refused { retry_after } => {
                outcomes.refused.push(self.now);
                if self.refused_return && !is_return {
                    let is_return = true;
                    self.schedule(retry_after, Event::Request { organisation, host, is_return });
                }
            }
            Admission::Pending => {}
        }
    }

    fn execute(&mut self, host: usize, actions: Vec<Action>) {
        let process = self.nodes[host].process;
        for action in actions {
            match action {
                Action::Decide(verdict) => self.decide(host, verdict.ticket, verdict.admission),
                Action::Exchange { to, sequence, credit, wants } => {
                    let to = self.find(&to);
                    self.transmit(host, to, Message::Exchange { process, sequence, credit, wants });
                }
                Action::Borrow { lender, wants } => {
                    let to = self.find(&lender);
                    self.next_id += 1;
                    let id = self.next_id;
                    self.nodes[host].borrows.insert(id, to);
                    self.transmit(host, to, Message::Lend { process, id, wants });
                    let late = Message::Lent { process, id, grants: Vec::new() };
                    let late = Event::Deliver { from: to, to: host, message: late };
                    self.schedule(BORROW_TIMEOUT, late);
                }
                Action::Reply { ticket, grants } => {
                    if let Some((to, process, sequence)) = self.nodes[host].replies.remove(&ticket)
                    {
                        let grants = Some(grants);
                        self.transmit(host, to, Message::Replied { process, sequence, grants });
                    }
                }
            }
        }
    }

    fn find(&self, address: &str) -> usize {
        self.names.iter().position(|name| **name == *address).unwrap()
    }

    fn transmit(&mut self, from: usize, to: usize, message: Message) {
        let is_local = from % DATA_CENTRES == to % DATA_CENTRES;
        let kind = match (&message, is_local) {
            (Message::Exchange { .. }, _) => "exchange",
            (Message::Lend { .. }, _) => "lend",
            _ => "reply",
        };
        *self.messages.entry(kind).or_default() += 1;
        if !self.reaches(from, to) || self.random.f64() < self.loss {
            return;
        }
        let base = if is_local { 100 } else { 1400 };
        let delay = Duration::from_micros(base + self.random.u64(..base / 4));
        self.schedule(delay, Event::Deliver { from, to, message });
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let now = self.start + self.now;
        let node = &mut self.nodes[to];
        let actions = match message {
            Message::Exchange { process, sequence, credit, wants } => {
                self.next_id += 1;
                node.replies.insert(self.next_id, (from, process, sequence));
                node.host.exchange(now, self.next_id, credit, wants)
            }
            Message::Replied { process, sequence, grants } if process == node.process => {
                node.host.replied(now, sequence, grants)
            }
            Message::Lend { process, id, wants } => {
                let grants = node.host.lend(now, &wants);
                self.transmit(to, from, Message::Lent { process, id, grants });
                return;
            }
            Message::Lent { process, id, grants } if process == node.process => {
                match node.borrows.remove(&id) {
                    Some(lender) => node.host.lent(now, &self.names[lender], grants),
                    None => return,
                }
            }
            Message::Replied { .. } | Message::Lent { .. } => return,
        };
        self.execute(to, actions);
    }

    /// Returns the largest number of requests admitted in a window that starts within `range`,
    /// relative to what the quota permits.
    pub fn worst_window(
        &self,
        organisation: usize,
        quota: Quota,
        range: std::ops::Range<Duration>,
    ) -> f64 {
        let permitted = (quota.per_second * WINDOW.as_secs_f64() + quota.burst) * 1.1 + 20.0;
        let admitted = &self.outcomes[organisation].admitted;
        let mut end = 0;
        let mut worst = 0;
        for (index, start) in admitted.iter().enumerate() {
            while end < admitted.len() && admitted[end] < *start + WINDOW {
                end += 1;
            }
            if range.contains(start) {
                worst = worst.max(end - index);
            }
        }
        worst as f64 / permitted
    }

    /// Returns the number of requests admitted since `since`.
    pub fn admitted_since(&self, organisation: usize, since: Duration) -> usize {
        let admitted = &self.outcomes[organisation].admitted;
        admitted.iter().filter(|at| **at >= since).count()
    }

    /// Returns the number of requests refused since `since`.
    pub fn refused_since(&self, organisation: usize, since: Duration) -> usize {
        let refused = &self.outcomes[organisation].refused;
        refused.iter().filter(|at| **at >= since).count()
    }
}
