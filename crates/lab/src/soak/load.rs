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
    pub(super) fn start(entries: Vec<SocketAddr>, seed: u64) -> Self {
        let shared = Arc::new(Shared::default());
        let task_shared = shared.clone();
        let thread = std::thread::spawn(move || {
            let Ok(kernel) = Kernel::new() else {
                return;
            };
            kernel.run(async {
                for (number, entry) in entries.into_iter().enumerate() {
                    let client = Client::new(kernel.clone(), entry, 64);
                    kernel.start(send_all(
                        kernel.clone(),
                        task_shared.clone(),
                        client,
                        number,
                        seed,
                    ));
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
        let sending = send_one(kernel.clone(), client.clone(), kind, id, body, entry);
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

async fn send_one(
    kernel: Kernel,
    client: Client,
    kind: Kind,
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
    let request = Request::builder()
        .method(method)
        .uri(&path)
        .header("host", "soak.example")
        .header("bronzeport-request-id", &id)
        .header("bronzeport-deadline-ms", DEADLINE.as_millis().to_string())
        .header("bronzeport-caller-service", "forged")
        .body(Bytes::from(body.clone()))
        .expect("a valid request");
    let sent_ms = unix_millis();
    let answer = kernel.clock().timeout(limit, client.send(request, Reuse::Allowed)).await;
    let mut record = Record {
        kind,
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
