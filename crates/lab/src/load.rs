//! Open-loop load: calls are sent at their intended times whether or not
//! earlier ones have been answered, and latency counts from the intended time.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::{Request, Response};
use kernel::{Clock, Kernel};
use serde_json::Value;
use web::{Client, ClientError, Reuse};

/// Most connections that are kept to one daemon.
const MAX_IDLE: usize = 512;
/// Time after its deadline at which a caller gives up.
const PATIENCE: Duration = Duration::from_millis(500);

/// Greatest lateness of a timer.
const TIMER_STEP: Duration = Duration::from_millis(2);

/// Greatest latency that is told apart.
const MAX_LATENCY_MICROS: u64 = 120_000_000;

/// One kind of call.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Name in reports.
    pub name: Box<str>,
    /// Service that it is for.
    pub service: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path; `#` is replaced by a number.
    pub path: Box<str>,
    /// Whether it may be repeated; if not, it brings an idempotency key.
    pub repeatable: bool,
    /// Deadline that it states.
    pub deadline: Duration,
    /// Calls a second.
    pub rate: f64,
    /// Whether the steps leave its rate alone.
    pub is_steady: bool,
    /// Start of the body; the call's id follows.
    pub body: Box<str>,
}

/// A change of all rates at a time after the start.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    /// When it happens.
    pub at: Duration,
    /// Factor of all rates from then on.
    pub factor: f64,
}

/// A call of the plan.
#[derive(Debug, Clone)]
struct Planned {
    at: Duration,
    kind: usize,
    entry: usize,
    id: Box<str>,
    number: u64,
}

/// What became of a call.
#[derive(Debug, Clone)]
pub struct Record {
    /// Kind of the call.
    pub kind: Box<str>,
    /// Id of the call.
    pub id: Box<str>,
    /// Intended time, counted from the start.
    pub at: Duration,
    /// Time from the intended send to the whole answer.
    pub latency: Duration,
    /// Deadline that it stated.
    pub deadline: Duration,
    /// HTTP status; 0 when there was no answer.
    pub status: u16,
    /// What the answer says of the outcome.
    pub outcome: Box<str>,
    /// Reason that the answer gives.
    pub reason: Box<str>,
    /// Node where it ran.
    pub node: Box<str>,
    /// Whether the answer is of another request.
    pub is_wrong: bool,
    /// Whether it may be repeated.
    pub repeatable: bool,
}

/// What all records say together.
#[derive(Debug)]
pub struct Summary {
    /// Calls sent.
    pub calls: usize,
    /// Answered with 200.
    pub ok: usize,
    /// Told `not-run`.
    pub refused: usize,
    /// Answers of another request.
    pub wrong: usize,
    /// Latency in microseconds. A call without a good answer counts with its
    /// deadline at least.
    pub latency: Histogram<u64>,
}

/// The calls of a plan and the daemons that they enter through.
pub struct Load {
    kinds: Vec<Kind>,
    calls: Vec<Planned>,
    entries: Vec<SocketAddr>,
}

impl Load {
    /// Draws the arrivals of all kinds over `duration`: Poisson processes whose
    /// rates change at the steps. The same seed gives the same arrivals.
    pub fn new(
        kinds: Vec<Kind>,
        entries: Vec<SocketAddr>,
        duration: Duration,
        steps: &[Step],
        seed: u64,
    ) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut calls = Vec::new();
        for (index, kind) in kinds.iter().enumerate() {
            let mut at = 0.0;
            loop {
                let steps = if kind.is_steady { &[] } else { steps };
                let factor = factor_at(steps, Duration::from_secs_f64(at));
                at += -(1.0 - random.f64()).ln() / (kind.rate * factor).max(1e-9);
                if at >= duration.as_secs_f64() {
                    break;
                }
                let number = random.u64(..);
                calls.push(Planned {
                    at: Duration::from_secs_f64(at),
                    kind: index,
                    entry: random.usize(..entries.len()),
                    id: format!("{}-{number:016x}", kind.name).into(),
                    number,
                });
            }
        }
        calls.sort_by_key(|call| call.at);
        Self { kinds, calls, entries }
    }

    /// Sends each call of a kind a second time, through the next entry and a
    /// moment later, as a caller does that has lost patience.
    pub fn with_copies(mut self, kind: &str) -> Self {
        let originals = self.calls.iter().filter(|call| *self.kinds[call.kind].name == *kind);
        let copies = originals.map(|call| Planned {
            at: call.at + Duration::from_millis(call.number % 300),
            entry: (call.entry + 1) % self.entries.len(),
            ..call.clone()
        });
        let copies: Vec<Planned> = copies.collect();
        self.calls.extend(copies);
        self.calls.sort_by_key(|call| call.at);
        self
    }

    /// Sends all calls. `during` runs beside them.
    pub fn run(&self, during: impl Future<Output = ()> + 'static) -> Vec<Record> {
        let kernel = Kernel::new().expect("a runtime");
        let records = Rc::new(RefCell::new(Vec::with_capacity(self.calls.len())));
        let clients: Vec<Client> = self
            .entries
            .iter()
            .map(|entry| Client::new(kernel.clone(), *entry, MAX_IDLE))
            .collect();
        kernel.run(async {
            kernel.start(during);
            let start = Instant::now();
            let mut tasks = Vec::with_capacity(self.calls.len());
            for call in &self.calls {
                wait_until(kernel.clock(), start + call.at).await;
                let kind = self.kinds[call.kind].clone();
                let clients = alternatives(&clients, call.entry);
                let sending = send(*kernel.clock(), clients, kind, call.clone(), start);
                let records = records.clone();
                tasks.push(kernel.spawn(async move {
                    let record = sending.await;
                    records.borrow_mut().push(record);
                }));
            }
            for task in tasks {
                task.await;
            }
        });
        records.take()
    }
}

/// The client of an entry and those of the next two, which a caller turns to
/// when the first takes no connection.
fn alternatives(clients: &[Client], entry: usize) -> Vec<Client> {
    clients.iter().cycle().skip(entry).take(clients.len().min(3)).cloned().collect()
}

/// Sleeps until shortly before `time`, and yields from then on, because timers
/// count whole milliseconds.
async fn wait_until(clock: &Clock, time: Instant) {
    loop {
        let left = time.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        match left.checked_sub(TIMER_STEP) {
            Some(sleep) if !sleep.is_zero() => clock.sleep(sleep).await,
            _ => futures_lite::future::yield_now().await,
        }
    }
}

async fn send(
    clock: Clock,
    clients: Vec<Client>,
    kind: Kind,
    call: Planned,
    start: Instant,
) -> Record {
    let body = match &*kind.method {
        "GET" => String::new(),
        "PUT" => kind.body.to_string(),
        _ => format!("{}{}", kind.body, call.id),
    };
    let path = kind.path.replace('#', &(call.number % 1000).to_string());
    let sending = async {
        let mut answer = Err(ClientError::NotSent);
        for client in &clients {
            let request = request(&kind, &call.id, &path, &body);
            answer = client.send(request, Reuse::Allowed).await;
            if !matches!(answer, Err(ClientError::NotSent)) {
                break;
            }
        }
        answer
    };
    let answer = clock.timeout(kind.deadline + PATIENCE, sending).await;
    let latency = start.elapsed().saturating_sub(call.at);
    let mut record = Record {
        kind: kind.name,
        id: call.id,
        at: call.at,
        latency,
        deadline: kind.deadline,
        status: 0,
        outcome: "unknown".into(),
        reason: "no-answer".into(),
        node: "".into(),
        is_wrong: false,
        repeatable: kind.repeatable,
    };
    if let Ok(Ok(response)) = answer {
        record.read(&response, &path, &body);
    }
    record
}

/// The request of a call.
fn request(kind: &Kind, id: &str, path: &str, body: &str) -> Request<Bytes> {
    Request::builder()
        .method(&*kind.method)
        .uri(path)
        .header("host", "daemon")
        .header("bronzeport-service", &*kind.service)
        .header("idempotency-key", id)
        .header("bronzeport-deadline-ms", kind.deadline.as_millis().to_string())
        .body(Bytes::from(body.to_owned()))
        .expect("the parts of a plan are valid")
}

impl Record {
    fn read(&mut self, response: &Response<Bytes>, path: &str, body: &str) {
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            Box::from(value.unwrap_or_default())
        };
        self.status = response.status().as_u16();
        self.outcome = header("bronzeport-outcome");
        self.reason = header("bronzeport-reason");
        self.node = header("bronzeport-node");
        if self.status == 200 {
            let value: Value = serde_json::from_slice(response.body()).unwrap_or_default();
            let is_own = value["path"] == path && value["echo"] == body;
            let is_own_id = value["id"].as_str().is_some_and(|id| id.starts_with(&*self.id));
            self.is_wrong = !(is_own && is_own_id);
        }
    }
}

impl Summary {
    /// Sums up records.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a Record>) -> Self {
        let mut summary = Self {
            calls: 0,
            ok: 0,
            refused: 0,
            wrong: 0,
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("valid bounds"),
        };
        for record in records {
            summary.calls += 1;
            summary.refused += usize::from(&*record.outcome == "not-run");
            summary.wrong += usize::from(record.is_wrong);
            let is_ok = record.status == 200;
            summary.ok += usize::from(is_ok);
            let latency = match is_ok {
                true => record.latency,
                false => record.latency.max(record.deadline),
            };
            summary.latency.saturating_record(latency.as_micros() as u64);
        }
        summary
    }

    /// Latency at a quantile, in milliseconds.
    pub fn millis(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }
}

fn factor_at(steps: &[Step], at: Duration) -> f64 {
    let step = steps.iter().rev().find(|step| step.at <= at);
    step.map_or(1.0, |step| step.factor)
}
