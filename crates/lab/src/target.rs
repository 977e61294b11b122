//! A stand-in target with a number of slots, random service times, and failures that a test
//! sets over HTTP at `/lab`.
//!
//! It prints `run ID` when a request gets a slot, so that a test counts the runs of each id
//! even if the target crashes right afterwards.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use kernel::{Inbox, Kernel, Mailbox, mailbox};
use serde_json::{Value, json};
use web::{IncomingRequest, Limits};

use crate::service_time::ServiceTime;

const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time after which the slowdown is evaluated again.
const SLOWDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Mean delay of a timer, which has a resolution of whole milliseconds.
const TIMER_ERROR: Duration = Duration::from_micros(700);

/// Settings of a stand-in target.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Mean service time.
    pub service_time: Duration,
    /// Seed of the service times.
    pub seed: u64,
}

struct Target {
    kernel: Kernel,
    slots: Slots,
    service_times: RefCell<ServiceTime>,
    fails: Cell<bool>,
    sheds: Cell<bool>,
    runs: Cell<u64>,
    busy: Cell<Duration>,
    chain_call: RefCell<Option<ChainCall>>,
}

/// Next call of a chain, made by this target.
#[derive(Clone)]
struct ChainCall {
    client: web::Client,
    service: Box<str>,
    depth: u64,
}

/// Slots, assigned in the order of arrival.
struct Slots {
    available: Inbox<()>,
    release: Mailbox<()>,
}

/// An acquired slot, released on drop.
struct Slot<'a>(&'a Slots);

impl Slots {
    fn new(count: usize) -> Self {
        let (release, available) = mailbox();
        for _ in 0..count {
            release.send(());
        }
        Self { available, release }
    }

    async fn take(&self) -> Slot<'_> {
        let _ = self.available.receive().await;
        Slot(self)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.release.send(());
    }
}

/// Serves the target on `listener`.
pub fn serve(
    kernel: &Kernel,
    listener: TcpListener,
    settings: Settings,
) -> std::io::Result<web::ServerHandle> {
    let target = Rc::new(Target {
        kernel: kernel.clone(),
        slots: Slots::new(settings.slots),
        service_times: RefCell::new(ServiceTime::new(settings.service_time, settings.seed)),
        fails: Cell::new(false),
        sheds: Cell::new(false),
        runs: Cell::new(0),
        busy: Cell::default(),
        chain_call: RefCell::new(None),
    });
    let limits = Limits {
        header_timeout: Duration::from_secs(60),
        max_header_bytes: 64 * 1024,
        max_headers: 100,
        body_timeout: Duration::from_secs(60),
        max_body_bytes: MAX_BODY_BYTES,
        max_connections: settings.connections,
    };
    let handler: web::Handler = Rc::new(move |request| Box::pin(handle(target.clone(), request)));
    web::serve(kernel, listener, limits, handler)
}

async fn handle(target: Rc<Target>, request: IncomingRequest) -> Response<Bytes> {
    let parts = request.head;
    let body = request.body.unwrap_or_default();
    if parts.uri.path() == "/lab" {
        target.set_behaviour(&body);
        let busy_us = target.busy.get().as_micros() as u64;
        return json_response(200, json!({ "runs": target.runs.get(), "busy_us": busy_us }));
    }
    let header = |name: &str| {
        let value = parts.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = header("bronzeport-request-id");
    if target.fails.get() {
        return json_response(500, json!({ "error": "the target fails" }));
    }
    if target.sheds.get() {
        let mut response = json_response(503, json!({ "error": "too many" }));
        let after = hyper::header::HeaderValue::from_static("1");
        response.headers_mut().insert(hyper::header::RETRY_AFTER, after);
        return response;
    }
    let _slot = target.slots.take().await;
    target.runs.set(target.runs.get() + 1);
    print_line(&format!("run {id}"));
    if body.starts_with(b"crash") {
        std::process::exit(101);
    }
    let service_time = target.service_times.borrow_mut().next();
    target.simulate_work(service_time).await;
    let chain_call = target.chain_call.borrow().clone();
    let depth: u64 = header("bronzeport-depth").parse().unwrap_or(0);
    if let Some(chain_call) = chain_call.filter(|next| depth < next.depth) {
        return call_next(&chain_call, &parts, &id, depth).await;
    }
    let echo = String::from_utf8_lossy(&body).into_owned();
    json_response(200, json!({ "id": id, "path": parts.uri.path(), "echo": echo }))
}

/// Makes the next call of a chain through the daemon beside this target.
async fn call_next(
    chain_call: &ChainCall,
    parts: &hyper::http::request::Parts,
    id: &str,
    depth: u64,
) -> Response<Bytes> {
    let mut request = Request::builder()
        .method("GET")
        .uri(parts.uri.path())
        .header("host", "daemon")
        .header("bronzeport-service", &*chain_call.service)
        .header("bronzeport-request-id", format!("{id}.{depth}"));
    for name in ["bronzeport-depth", "bronzeport-deadline-ms"] {
        if let Some(value) = parts.headers.get(name) {
            request = request.header(name, value);
        }
    }
    let Ok(request) = request.body(Bytes::new()) else {
        return json_response(500, json!({}));
    };
    match chain_call.client.send(request, web::Reuse::Allowed).await {
        Ok(response) => response,
        Err(_) => json_response(502, json!({ "error": "the next call failed" })),
    }
}

fn print_line(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

fn json_response(status: u16, body: Value) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body.to_string()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}

impl Target {
    /// Sleeps for the given nominal service time, stretched by the current
    /// slowdown.
    async fn simulate_work(&self, service_time: Duration) {
        let clock = self.kernel.clock();
        let started = clock.now();
        let mut remaining = service_time;
        while remaining > TIMER_ERROR {
            let slowdown = self.service_times.borrow_mut().slowdown();
            let planned = remaining.mul_f64(slowdown);
            let is_steady = !self.service_times.borrow().is_noisy;
            let step = if is_steady { planned } else { planned.min(SLOWDOWN_CHECK_INTERVAL) };
            let before = clock.now();
            clock.sleep(step - TIMER_ERROR.min(step)).await;
            remaining = remaining.saturating_sub((clock.now() - before).div_f64(slowdown));
        }
        self.busy.set(self.busy.get() + (clock.now() - started));
    }

    fn set_behaviour(&self, body: &[u8]) {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut service_times = self.service_times.borrow_mut();
        if let Some(factor) = value["factor"].as_f64() {
            service_times.factor = factor;
        }
        if let Some(is_noisy) = value["noisy"].as_bool() {
            service_times.is_noisy = is_noisy;
        }
        if let Some(requests) = value["cold"].as_u64() {
            service_times.make_cold(requests as u32);
        }
        if let Some(fails) = value["fails"].as_bool() {
            self.fails.set(fails);
        }
        if let Some(sheds) = value["sheds"].as_bool() {
            self.sheds.set(sheds);
        }
        if let Some(entry) = value["entry"].as_str().and_then(|entry| entry.parse().ok()) {
            *self.chain_call.borrow_mut() = Some(ChainCall {
                client: web::Client::new(self.kernel.clone(), entry, 64),
                service: value["service"].as_str().unwrap_or_default().into(),
                depth: value["depth"].as_u64().unwrap_or(0),
            });
        }
    }
}
