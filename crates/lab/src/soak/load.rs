//! Callers that keep their connections open until the daemon closes them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use kernel::Kernel;
use web::{Client, ClientError, Reuse};

use super::organisations::{Demand, Key, LARGE_INDEX, ORGANISATIONS, REVISION_STEP};
use crate::sidecar::unix_millis;

/// Time between two requests to one daemon.
const SEND_INTERVAL: Duration = Duration::from_millis(15);
/// Deadline of a request.
pub(super) const DEADLINE: Duration = Duration::from_millis(900);
/// Time after the deadline at which a caller gives up.
const GRACE_PERIOD: Duration = Duration::from_millis(700);
/// Time after which the caller of an abandoned request disconnects.
const ABANDON_AFTER: Duration = Duration::from_millis(150);
/// One request in this many has a long body, which the response echoes.
const LONG_BODY_INTERVAL: usize = 16;
/// Length of a long body: longer than a message between daemons that is written in one piece.
const LONG_BODY_BYTES: usize = 12_000;
/// Usual demand of an organisation, as a share of the rate of its quota.
const USUAL_DEMAND: f64 = 0.45;
/// Factor by which a hot organisation's demand exceeds its usual one.
const HOT_FACTOR: f64 = 12.0;
/// Usual demand, in requests per second, that is assumed of a hot organisation without a quota.
const MIN_HOT_BASE: f64 = 5.0;
/// One interval in this many has a request with another key or none.
const OTHER_KEY_INTERVAL: u8 = 8;
/// Minimum number of recent requests from which the success rate is computed.
const MIN_SUCCESS_SAMPLE: usize = 200;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    AtMostOnce,
    /// May run more than once and takes long; its caller disconnects before the answer.
    Abandoned,
}

/// Result of a request.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) id: Box<str>,
    pub(super) kind: Kind,
    pub(super) key: Key,
    /// Index of the entry daemon.
    pub(super) entry: usize,
    pub(super) sent_ms: u64,
    pub(super) done_ms: u64,
    /// HTTP status; 0 without a complete response.
    pub(super) status: u16,
    /// Whether a response with status 200 belongs to another request.
    pub(super) is_wrong: bool,
    /// Whether the connection broke after the request was sent.
    pub(super) is_connection_lost: bool,
}

/// Callers that run on a separate thread.
pub(super) struct Callers {
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    recent_successes: AtomicUsize,
    recent_total: AtomicUsize,
    records: Mutex<Vec<Record>>,
}

impl Callers {
    pub(super) fn start(entries: Vec<SocketAddr>, seed: u64, demand: Arc<Demand>) -> Self {
        let shared = Arc::new(Shared::default());
        let task_shared = shared.clone();
        let thread = std::thread::spawn(move || {
            let Ok(kernel) = Kernel::new() else {
                return;
            };
            kernel.run(async {
                let daemons = entries.len();
                for (number, entry) in entries.into_iter().enumerate() {
                    let client = Client::new(kernel.clone(), entry, 64);
                    let (kernel, shared) = (kernel.clone(), task_shared.clone());
                    let client_of_organisations = client.clone();
                    kernel.start(send_all(kernel.clone(), shared.clone(), client, number, seed));
                    let caller = OrganisationCaller {
                        kernel: kernel.clone(),
                        shared,
                        client: client_of_organisations,
                        demand: demand.clone(),
                        entry: number,
                        daemons,
                    };
                    kernel.start(caller.send_all(seed));
                }
                while !task_shared.stop.load(Ordering::Relaxed) {
                    kernel.clock().sleep(SEND_INTERVAL).await;
                }
                kernel.clock().sleep(DEADLINE + GRACE_PERIOD).await;
            });
        });
        Self { shared, thread }
    }

    /// Whether at least 90 % of the recent requests succeeded. Each check uses a new set of
    /// requests.
    pub(super) fn is_success_rate_restored(&self) -> bool {
        if self.shared.recent_total.load(Ordering::Relaxed) < MIN_SUCCESS_SAMPLE {
            return false;
        }
        let total = self.shared.recent_total.swap(0, Ordering::Relaxed);
        let good = self.shared.recent_successes.swap(0, Ordering::Relaxed);
        good * 10 >= total * 9
    }

    pub(super) fn stop(self) -> Vec<Record> {
        self.shared.stop.store(true, Ordering::Relaxed);
        if self.thread.join().is_err() {
            eprintln!("soak: the callers' thread panicked");
        }
        let mut records = self.shared.records.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *records)
    }
}

async fn send_all(kernel: Kernel, shared: Arc<Shared>, client: Client, entry: usize, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed ^ ((entry as u64) << 32));
    for number in 0_usize.. {
        if shared.stop.load(Ordering::Relaxed) {
            return;
        }
        let kind = match random.u8(..20) {
            0 => Kind::Abandoned,
            1..7 => Kind::AtMostOnce,
            _ => Kind::Safe,
        };
        let id = format!("{seed:x}-{entry}-{number}");
        let mut body = format!("body of {id}");
        if number % LONG_BODY_INTERVAL == 0 {
            body = body.repeat(LONG_BODY_BYTES / body.len());
        }
        let key = Key::Permanent(LARGE_INDEX);
        let sending = send_one(kernel.clone(), client.clone(), kind, key, id, body, entry);
        let shared = shared.clone();
        kernel.start(async move {
            let record = sending.await;
            if record.kind != Kind::Abandoned {
                shared.recent_total.fetch_add(1, Ordering::Relaxed);
                let is_success = usize::from(record.status == 200);
                shared.recent_successes.fetch_add(is_success, Ordering::Relaxed);
            }
            shared.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        });
        kernel.clock().sleep(SEND_INTERVAL).await;
    }
}

/// Callers of the organisations with a quota, and callers with other keys or none. They send
/// beside [`send_all`], whose requests are the same in all rounds of a seed.
struct OrganisationCaller {
    kernel: Kernel,
    shared: Arc<Shared>,
    client: Client,
    demand: Arc<Demand>,
    /// Index of the entry daemon.
    entry: usize,
    daemons: usize,
}

impl OrganisationCaller {
    async fn send_all(self, seed: u64) {
        let mut random = fastrand::Rng::with_seed(!seed ^ ((self.entry as u64) << 32));
        let mut number = 0;
        while !self.shared.stop.load(Ordering::Relaxed) {
            let keys = (0..ORGANISATIONS.len())
                .filter(|index| random.f64() < self.probability(*index))
                .map(Key::Permanent)
                .collect::<Vec<_>>();
            let other = (random.u8(..OTHER_KEY_INTERVAL) == 0).then(|| self.other_key(&mut random));
            for key in keys.into_iter().chain(other) {
                let kind = match random.u8(..4) {
                    0 => Kind::AtMostOnce,
                    1 if !matches!(key, Key::Permanent(_)) => Kind::Abandoned,
                    _ => Kind::Safe,
                };
                let id = format!("{seed:x}-{}-o{number}", self.entry);
                number += 1;
                let body = format!("body of {id}");
                let (kernel, client) = (self.kernel.clone(), self.client.clone());
                let sending = send_one(kernel, client, kind, key, id, body, self.entry);
                let shared = self.shared.clone();
                self.kernel.start(async move {
                    let record = sending.await;
                    let mut records = shared.records.lock().unwrap_or_else(PoisonError::into_inner);
                    records.push(record);
                });
            }
            self.kernel.clock().sleep(SEND_INTERVAL).await;
        }
    }

    /// Probability with which a request of this organisation is sent in one interval. The
    /// demand is uneven: half of it arrives at the entry with the organisation's index.
    fn probability(&self, index: usize) -> f64 {
        let organisation = &ORGANISATIONS[index];
        let share = match self.entry == index {
            true => 0.5,
            false => 0.5 / (self.daemons.max(2) - 1) as f64,
        };
        let usual = f64::from(organisation.rate) * USUAL_DEMAND;
        let rate = match self.demand.hot() == Some(index) {
            true => usual.max(MIN_HOT_BASE) * HOT_FACTOR,
            false => usual,
        };
        rate * share * SEND_INTERVAL.as_secs_f64()
    }

    /// Returns no key, an unknown one, or the key of the present or another revision.
    fn other_key(&self, random: &mut fastrand::Rng) -> Key {
        let revision = self.demand.revision();
        match random.u8(..6) {
            0 => Key::Absent,
            1 => Key::Unknown,
            2 => Key::OfRevision(revision + REVISION_STEP),
            3 => Key::OfRevision(revision.saturating_sub(REVISION_STEP)),
            _ => Key::OfRevision(revision),
        }
    }
}

async fn send_one(
    kernel: Kernel,
    client: Client,
    kind: Kind,
    key: Key,
    id: String,
    body: String,
    entry: usize,
) -> Record {
    let (method, path) = match kind {
        Kind::Safe => ("GET", format!("/read/{id}")),
        Kind::AtMostOnce => ("POST", format!("/order/{id}")),
        Kind::Abandoned => ("GET", format!("/slow/{id}")),
    };
    let limit = match kind {
        Kind::Abandoned => ABANDON_AFTER,
        _ => DEADLINE + GRACE_PERIOD,
    };
    let mut request = Request::builder()
        .method(method)
        .uri(&path)
        .header("host", "soak.example")
        .header("bronzeport-request-id", &id)
        .header("bronzeport-deadline-ms", DEADLINE.as_millis().to_string())
        .header("bronzeport-caller-service", "forged")
        .header("bronzeport-tenant-id", "forged");
    if let Some(key) = key.text() {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let request = request.body(Bytes::from(body.clone())).expect("a valid request");
    let sent_ms = unix_millis();
    let answer = kernel.clock().timeout(limit, client.send(request, Reuse::Allowed)).await;
    let mut record = Record {
        kind,
        key,
        entry,
        sent_ms,
        done_ms: unix_millis(),
        status: 0,
        is_wrong: false,
        is_connection_lost: matches!(answer, Ok(Err(ClientError::ConnectionLost))),
        id: id.into(),
    };
    if let Ok(Ok(response)) = answer {
        record.status = response.status().as_u16();
        let expected = format!("{} {path} {body}", record.id);
        let has_signature = response.headers().contains_key("bronzeport-server-signature");
        record.is_wrong =
            record.status == 200 && (!has_signature || response.body() != expected.as_bytes());
    }
    record
}
