//! Open-loop load generator: calls are sent at their intended times, whether or not earlier
//! ones have been answered, and latency is measured from the intended time.

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

/// Maximum number of idle connections to one daemon.
const MAX_IDLE_CONNECTIONS: usize = 512;
/// Time after the deadline at which a caller gives up.
const GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Maximum delay of a timer.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(2);

/// Maximum latency that the histogram distinguishes.
const MAX_LATENCY_MICROS: u64 = 120_000_000;

/// A kind of call.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Name in reports.
    pub name: Box<str>,
    /// Service to call.
    pub service: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path; `#` is replaced by a number.
    pub path: Box<str>,
    /// Whether calls may be repeated. If not, they carry an idempotency key.
    pub repeatable: bool,
    /// Deadline that calls state.
    pub deadline: Duration,
    /// Calls per second.
    pub rate: f64,
    /// Whether the rate stays constant at load steps.
    pub has_constant_rate: bool,
    /// Prefix of the body; the id of the call follows.
    pub body: Box<str>,
}

/// A change of all rates at one moment.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    /// Time of the change, relative to the start.
    pub at: Duration,
    /// Factor by which all rates are multiplied from then on.
    pub factor: f64,
}

/// A call with its intended time.
#[derive(Debug, Clone)]
struct PlannedCall {
    at: Duration,
    kind: usize,
    entry: usize,
    id: Box<str>,
    number: u64,
}

/// Result of a call.
#[derive(Debug, Clone)]
pub struct Record {
    /// Kind of the call.
    pub kind: Box<str>,
    /// Id of the call.
    pub id: Box<str>,
    /// Intended time, relative to the start.
    pub at: Duration,
    /// Time from the intended time to the complete answer.
    pub latency: Duration,
    /// Deadline that the call stated.
    pub deadline: Duration,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// Outcome that the answer states.
    pub outcome: Box<str>,
    /// Reason that the answer states.
    pub reason: Box<str>,
    /// Node that ran the request.
    pub node: Box<str>,
    /// Whether the answer belongs to another request.
    pub is_wrong: bool,
    /// Whether the call may be repeated.
    pub repeatable: bool,
}

/// Summary of a set of records.
#[derive(Debug)]
pub struct Summary {
    /// Calls that were sent.
    pub calls: usize,
    /// Calls answered with 200.
    pub ok: usize,
    /// Calls answered with the outcome `not-run`.
    pub refused: usize,
    /// Answers that belong to another request.
    pub wrong: usize,
    /// Latency in microseconds. A call without a successful answer counts with at least its
    /// deadline.
    pub latency: Histogram<u64>,
}

/// Calls with their intended times, and the daemons through which they enter.
pub struct Load {
    kinds: Vec<Kind>,
    calls: Vec<PlannedCall>,
    entries: Vec<SocketAddr>,
}

impl Load {
    /// Draws the arrivals of all kinds over `duration`, as Poisson processes whose rates
    /// change at the steps. The same seed gives the same arrivals.
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
                let steps = if kind.has_constant_rate { &[] } else { steps };
                let factor = factor_at(steps, Duration::from_secs_f64(at));
                at += -(1.0 - random.f64()).ln() / (kind.rate * factor).max(1e-9);
                if at >= duration.as_secs_f64() {
                    break;
                }
                let number = random.u64(..);
                calls.push(PlannedCall {
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

    /// Sends each call of a kind a second time, later by at most `within` and through the next
    /// entry, as a caller does that retries too early.
    pub fn with_duplicates(mut self, kind: &str, within: Duration) -> Self {
        let originals = self.calls.iter().filter(|call| *self.kinds[call.kind].name == *kind);
        let duplicates = originals.map(|call| PlannedCall {
            at: call.at + within.mul_f64((call.number % 300) as f64 / 300.0),
            entry: (call.entry + 1) % self.entries.len(),
            ..call.clone()
        });
        let duplicates: Vec<PlannedCall> = duplicates.collect();
        self.calls.extend(duplicates);
        self.calls.sort_by_key(|call| call.at);
        self
    }

    /// Sends all calls and runs `background` concurrently.
    pub fn run(&self, background: impl Future<Output = ()> + 'static) -> Vec<Record> {
        let kernel = Kernel::new().expect("a runtime");
        let records = Rc::new(RefCell::new(Vec::with_capacity(self.calls.len())));
        let clients: Vec<Client> = self
            .entries
            .iter()
            .map(|entry| Client::new(kernel.clone(), *entry, MAX_IDLE_CONNECTIONS))
            .collect();
        kernel.run(async {
            kernel.start(background);
            let start = Instant::now();
            let mut tasks = Vec::with_capacity(self.calls.len());
            for call in &self.calls {
                sleep_until(kernel.clock(), start + call.at).await;
                let kind = self.kinds[call.kind].clone();
                let clients = failover_clients(&clients, call.entry);
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

/// Returns the client of an entry and those of the next two, which a caller tries when it
/// cannot connect to the first.
fn failover_clients(clients: &[Client], entry: usize) -> Vec<Client> {
    clients.iter().cycle().skip(entry).take(clients.len().min(3)).cloned().collect()
}

/// Sleeps until shortly before `time` and then yields in a loop, because timers have a
/// resolution of whole milliseconds.
async fn sleep_until(clock: &Clock, time: Instant) {
    loop {
        let remaining = time.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        match remaining.checked_sub(MAX_TIMER_DELAY) {
            Some(sleep) if !sleep.is_zero() => clock.sleep(sleep).await,
            _ => futures_lite::future::yield_now().await,
        }
    }
}

async fn send(
    clock: Clock,
    clients: Vec<Client>,
    kind: Kind,
    call: PlannedCall,
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
    let answer = clock.timeout(kind.deadline + GRACE_PERIOD, sending).await;
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
        record.read_response(&response, &path, &body);
    }
    record
}

/// Builds the request of a call.
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
    fn read_response(&mut self, response: &Response<Bytes>, path: &str, body: &str) {
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
            let matches_request = value["path"] == path && value["echo"] == body;
            let matches_id = value["id"].as_str().is_some_and(|id| id.starts_with(&*self.id));
            self.is_wrong = !(matches_request && matches_id);
        }
    }
}

impl Summary {
    /// Summarises records.
    pub fn from_records<'a>(records: impl IntoIterator<Item = &'a Record>) -> Self {
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
