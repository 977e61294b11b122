//! A stand-in target that uses the protocol of targets on the users' platform: it announces
//! itself to the daemon beside it and reports its load.
//!
//! It prints a line for each event of a request, so that a test observes what a target
//! observes:
//!
//! | line | meaning |
//! |---|---|
//! | `run MS ID CALLER DEADLINE` | a request has begun to run |
//! | `organisation ID NAME` | that request names this organisation |
//! | `authorization ID` | that request has the credentials of its caller |
//! | `shed MS ID` | a request has been answered without running |
//! | `ran MS ID` | a request has run to its end |
//! | `limit MS RATE` | the target accepts this rate from now on; `null`: any rate |
//! | `cold MS REMAINING` | the target is cold for this number of milliseconds |
//! | `check MS` | the health page was requested while the target limits the rate |
//! | `acked MS` | the daemon has acknowledged that this target is leaving |

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use kernel::Kernel;
use serde_json::{Value, json};
use web::{Client, IncomingRequest, Limits, Reuse};

const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time between two announcements.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time limit for the response to an announcement.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Service time of requests whose path starts with `/slow/`.
const SLOW_SERVICE_TIME: Duration = Duration::from_secs(2);

/// Settings of a stand-in target.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address at which the daemon accepts announcements.
    pub control: SocketAddr,
    /// Address that the target announces.
    pub announced: SocketAddr,
    /// Service of the target.
    pub service: Box<str>,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Mean service time.
    pub service_time: Duration,
    /// Seed of the service times.
    pub seed: u64,
    /// Offset by which the host's wall clock is behind.
    pub clock_behind: Duration,
    /// Time after the start for which the target is cold.
    pub cold_start: Duration,
}

struct Target {
    kernel: Kernel,
    settings: Settings,
    instance: String,
    born: u64,
    running: Cell<usize>,
    pace: Cell<f64>,
    failure_mode: RefCell<Box<str>>,
    is_leaving: Cell<bool>,
    /// Whether the target leaves by a deregistration alone, without announcing it before.
    deregisters: Cell<bool>,
    /// Sequence number of the latest heartbeat.
    sequence: Cell<u64>,
    /// Whether answers say that the target is leaving, before it announces that.
    states_leaving: Cell<bool>,
    /// Requests per second that the answers name as the accepted rate.
    rate_limit: Cell<Option<f64>>,
    /// Whether the health page names the accepted rate too.
    is_limit_on_page: Cell<bool>,
    /// Whether requests for the health page get no answer.
    is_page_silent: Cell<bool>,
    /// Unix time in milliseconds until which the target is cold.
    cold_until: Cell<u64>,
    random: RefCell<fastrand::Rng>,
}

/// Serves the target on `listener` and announces it.
pub fn serve(
    kernel: &Kernel,
    listener: TcpListener,
    settings: Settings,
) -> std::io::Result<web::ServerHandle> {
    let born = unix_millis().saturating_sub(settings.clock_behind.as_millis() as u64);
    let target = Rc::new(Target {
        kernel: kernel.clone(),
        instance: format!("i-{born:x}-{}", std::process::id()),
        born,
        running: Cell::new(0),
        pace: Cell::new(1.0),
        failure_mode: RefCell::default(),
        is_leaving: Cell::new(false),
        deregisters: Cell::new(false),
        sequence: Cell::new(0),
        states_leaving: Cell::new(false),
        rate_limit: Cell::new(None),
        is_limit_on_page: Cell::new(true),
        is_page_silent: Cell::new(false),
        cold_until: Cell::new(0),
        random: RefCell::new(fastrand::Rng::with_seed(settings.seed)),
        settings,
    });
    let limits = Limits {
        header_timeout: Duration::from_secs(60),
        max_header_bytes: 64 * 1024,
        max_headers: 100,
        body_timeout: Duration::from_secs(60),
        max_body_bytes: MAX_BODY_BYTES,
        max_connections: 1000,
    };
    if !target.settings.cold_start.is_zero() {
        target.become_cold(target.settings.cold_start.as_millis() as u64);
    }
    let announcing = target.clone();
    kernel.start(async move { announcing.announce().await });
    let handler: web::Handler = Rc::new(move |request| Box::pin(target.clone().handle(request)));
    web::serve(kernel, listener, limits, handler)
}

impl Target {
    async fn announce(&self) {
        let client = Client::new(self.kernel.clone(), self.settings.control, 1);
        let mut is_acked = false;
        loop {
            let is_leaving = self.is_leaving.get();
            let notice = match self.deregisters.get() {
                true if is_acked => None,
                true => Some(self.deregistration()),
                false => {
                    self.sequence.set(self.sequence.get() + 1);
                    Some(self.heartbeat(self.sequence.get(), is_leaving))
                }
            };
            if let Some(notice) = notice
                && self.send(&client, notice).await
                && is_leaving
                && !is_acked
            {
                is_acked = true;
                print_line(&format!("acked {}", unix_millis()));
            }
            self.kernel.clock().sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Sends a notice and returns whether the daemon has acknowledged it.
    async fn send(&self, client: &Client, notice: Request<Bytes>) -> bool {
        let sending = client.send(notice, Reuse::Allowed);
        let sent = self.kernel.clock().timeout(HEARTBEAT_TIMEOUT, sending).await;
        matches!(&sent, Ok(Ok(response)) if response.status().is_success())
    }

    /// Sends a heartbeat that was sent before the target began to leave and has been under way
    /// since then.
    async fn send_late_heartbeat(&self, delay: Duration) {
        self.sequence.set(self.sequence.get() + 1);
        let heartbeat = self.heartbeat(self.sequence.get(), false);
        self.kernel.clock().sleep(delay).await;
        let client = Client::new(self.kernel.clone(), self.settings.control, 1);
        self.send(&client, heartbeat).await;
    }

    /// A deregistration, which names nothing but the instance.
    fn deregistration(&self) -> Request<Bytes> {
        Request::builder()
            .method("POST")
            .uri(format!("/api/Instances.Deregister/{}", self.instance))
            .header("host", "daemon")
            .body(Bytes::new())
            .expect("a valid request")
    }

    fn heartbeat(&self, sequence: u64, is_leaving: bool) -> Request<Bytes> {
        let body = json!({
            "address": self.settings.announced.to_string(),
            "born": self.born,
            "info": {
                "service": *self.settings.service,
                "version": "v1",
                "zone": "z",
                "slots": self.settings.slots,
            },
            "status": {
                "state": if is_leaving { "draining" } else { "ready" },
                "sequence": sequence,
                "cold_remaining": format!("{}ms", self.cold_remaining()),
            },
        });
        Request::builder()
            .method("POST")
            .uri(format!("/api/Instances.Heartbeat/{}", self.instance))
            .header("host", "daemon")
            .body(Bytes::from(body.to_string()))
            .expect("a valid request")
    }

    fn become_cold(&self, remaining_ms: u64) {
        self.cold_until.set(unix_millis() + remaining_ms);
        print_line(&format!("cold {} {remaining_ms}", unix_millis()));
    }

    /// Milliseconds for which the target is still cold.
    fn cold_remaining(&self) -> u64 {
        self.cold_until.get().saturating_sub(unix_millis())
    }

    async fn handle(self: Rc<Self>, request: IncomingRequest) -> Response<Bytes> {
        let head = request.head;
        let body = request.body.unwrap_or_default();
        let path = head.uri.path().to_owned();
        if path == "/lab" {
            self.clone().set_behaviour(&body);
            return self.answer(StatusCode::OK, "", Bytes::new());
        }
        if path == "/healthz" {
            if self.is_page_silent.get() {
                std::future::pending::<()>().await;
            }
            if self.rate_limit.get().is_some() {
                print_line(&format!("check {}", unix_millis()));
            }
            let status = match self.is_leaving.get() {
                true => StatusCode::SERVICE_UNAVAILABLE,
                false => StatusCode::OK,
            };
            let mut response = self.answer(status, "", Bytes::new());
            if self.cold_remaining() > 0 {
                let remaining = HeaderValue::from(self.cold_remaining());
                response.headers_mut().insert("bronzeport-cold-ms", remaining);
            }
            if !self.is_limit_on_page.get() {
                response.headers_mut().remove("server-limit");
            }
            return response;
        }
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let id = header("bronzeport-request-id");
        let expected = header("bronzeport-expect-instance");
        if !expected.is_empty() && expected != self.instance {
            return self.answer(StatusCode::MISDIRECTED_REQUEST, &id, Bytes::new());
        }
        let failure_mode = self.failure_mode.borrow().clone();
        if self.running.get() >= self.settings.slots || &*failure_mode == "shed" {
            print_line(&format!("shed {} {id}", unix_millis()));
            let mut response = self.answer(StatusCode::SERVICE_UNAVAILABLE, &id, Bytes::new());
            let not_executed = HeaderValue::from_static("1");
            response.headers_mut().insert("bronzeport-not-executed", not_executed);
            return response;
        }
        let (caller, deadline) =
            (header("bronzeport-caller-service"), header("bronzeport-deadline-ms"));
        let mut lines = format!("run {} {id} {caller} {deadline}", unix_millis());
        let organisation = header("bronzeport-tenant-id");
        if !organisation.is_empty() {
            lines += &format!("\norganisation {id} {organisation}");
        }
        if head.headers.contains_key("authorization") {
            lines += &format!("\nauthorization {id}");
        }
        // Written at once, since the process may be killed at any time.
        print_line(&lines);
        let _running = RunningGuard::new(&self.running);
        let jitter = self.random.borrow_mut().f64() + 0.5;
        let service_time = match path.starts_with("/slow/") {
            true => SLOW_SERVICE_TIME,
            false => self.settings.service_time.mul_f64(jitter * self.pace.get()),
        };
        self.kernel.clock().sleep(service_time).await;
        print_line(&format!("ran {} {id}", unix_millis()));
        if &*failure_mode == "errors" {
            return self.answer(StatusCode::INTERNAL_SERVER_ERROR, &id, Bytes::new());
        }
        let text = format!("{id} {path} {}", String::from_utf8_lossy(&body));
        self.answer(StatusCode::OK, &id, Bytes::from(text))
    }

    fn answer(&self, status: StatusCode, id: &str, body: Bytes) -> Response<Bytes> {
        let pace = (self.pace.get() * 100.0) as u64;
        let load = format!("{},0,{},{pace}", self.running.get(), self.settings.slots);
        let mut response = Response::new(body);
        *response.status_mut() = status;
        let mut headers = vec![
            ("bronzeport-server-load", load),
            ("bronzeport-instance-id", self.instance.clone()),
        ];
        // The health page has neither an id nor a signature.
        if !id.is_empty() {
            headers.push(("bronzeport-request-id", id.to_owned()));
            headers.push(("bronzeport-server-signature", format!("s-{id}")));
        }
        headers.extend(self.rate_limit.get().map(|limit| ("server-limit", limit.to_string())));
        if self.states_leaving.get() {
            headers.push(("server-leaving", "1".to_owned()));
        }
        for (name, value) in headers {
            if let Ok(value) = HeaderValue::try_from(value) {
                response.headers_mut().insert(name, value);
            }
        }
        response
    }

    fn set_behaviour(self: Rc<Self>, body: &[u8]) {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        if let Some(pace) = value["pace"].as_f64() {
            self.pace.set(pace);
        }
        if let Some(fails) = value["fails"].as_str() {
            *self.failure_mode.borrow_mut() = fails.into();
        }
        if let Some(limit) = value.get("rate_limit") {
            self.rate_limit.set(limit.as_f64());
            print_line(&format!("limit {} {limit}", unix_millis()));
        }
        if let Some(remaining) = value["cold_ms"].as_u64() {
            self.become_cold(remaining);
        }
        if let Some(is_on_page) = value["limit_on_page"].as_bool() {
            self.is_limit_on_page.set(is_on_page);
        }
        if value["silent_page"] == true {
            self.is_page_silent.set(true);
        }
        if value["state_leaving"] == true {
            self.states_leaving.set(true);
        }
        if value["leave"] == true {
            self.is_leaving.set(true);
        }
        if value["deregister"] == true {
            self.is_leaving.set(true);
            self.deregisters.set(true);
        }
        if let Some(delay) = value["late_heartbeat_ms"].as_u64() {
            let target = self.clone();
            let delay = Duration::from_millis(delay);
            self.kernel.start(async move { target.send_late_heartbeat(delay).await });
        }
    }
}

struct RunningGuard<'a>(&'a Cell<usize>);

impl<'a> RunningGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn print_line(line: &str) {
    let mut out = std::io::stdout().lock();
    // The reader of the output may have exited; its line is not needed then.
    let _ = out.write_all(format!("{line}\n").as_bytes());
    let _ = out.flush();
}
