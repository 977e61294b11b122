//! A stand-in for the platform's store. It implements the store's protocol and has faults
//! that a test sets over HTTP.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Method, Response};
use kernel::Kernel;
use serde_json::{Value, json};
use web::{IncomingRequest, Limits};

const LIMITS: Limits = Limits {
    header_timeout: Duration::from_secs(30),
    max_header_bytes: 64 * 1024,
    max_headers: 64,
    body_timeout: Duration::from_secs(30),
    max_body_bytes: MAX_BODY_BYTES,
    max_connections: 10_000,
};
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Header of all responses with the number of the era.
const ERA_HEADER: &str = "store-era";

/// Faults that are active at present.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Every call gets 503 and has no effect.
    pub down: bool,
    /// Calls get no response and have no effect.
    pub silent: bool,
    /// Delay of each call.
    pub delay: Duration,
    /// Share of writes that take effect without a response.
    pub lose_answers: f64,
    /// Time after which a write without a response takes effect, if its conditions hold at
    /// that time.
    pub lost_effect_after: Duration,
    /// Maximum rate of write calls per second.
    pub writes_per_second: f64,
    /// Maximum rate of read calls per second.
    pub reads_per_second: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            silent: false,
            delay: Duration::from_millis(1),
            lose_answers: 0.0,
            lost_effect_after: Duration::ZERO,
            writes_per_second: 300.0,
            reads_per_second: 2000.0,
        }
    }
}

/// Table name and key of a row.
type RowKey = (String, String);

/// Rows and objects of the stand-in.
#[derive(Debug, Clone, Default)]
struct Content {
    /// Version of each row and its value in base64.
    rows: BTreeMap<RowKey, (u64, String)>,
    /// Changes in the order of their versions.
    history: Vec<(u64, RowKey)>,
    /// Version up to which changes were dropped from the history.
    compacted_version: u64,
    objects: BTreeMap<String, Bytes>,
    version: u64,
}

/// State of the stand-in.
#[derive(Debug)]
pub struct Standin {
    started: Instant,
    content: Content,
    /// The copy that the next restore brings back; empty until one is taken.
    copy: Content,
    /// Number that increases with each restore.
    era: u64,
    faults: Faults,
    random: fastrand::Rng,
    writes: TokenBucket,
    reads: TokenBucket,
    throttled: u64,
}

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    at: Instant,
    count: u64,
}

/// A call to the stand-in.
struct Call {
    method: Method,
    path: String,
    query: String,
    body: Bytes,
}

/// Result of a call.
enum CallResult {
    Respond(Response<Bytes>),
    /// The call is evaluated again until this time, or until there are changes.
    Wait {
        until: Instant,
    },
    /// The call takes effect after a delay and gets no response.
    Lose {
        after: Duration,
    },
}

/// Time between two checks whether a feed has changes.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of rows in one response.
const MAX_ROWS: usize = 500;

/// Serves the stand-in on `listener`.
pub fn serve(
    kernel: &Kernel,
    listener: TcpListener,
    seed: u64,
) -> std::io::Result<web::ServerHandle> {
    let standin = Rc::new(RefCell::new(Standin::new(seed)));
    let handler_kernel = kernel.clone();
    let handler: web::Handler = Rc::new(move |request| {
        let (kernel, standin) = (handler_kernel.clone(), standin.clone());
        Box::pin(async move {
            let mut response = handle(kernel, standin.clone(), request).await;
            response.headers_mut().insert(ERA_HEADER, standin.borrow().era.into());
            response
        })
    });
    web::serve(kernel, listener, LIMITS, handler)
}

async fn handle(
    kernel: Kernel,
    standin: Rc<RefCell<Standin>>,
    request: IncomingRequest,
) -> Response<Bytes> {
    let IncomingRequest { head: parts, body: Ok(body), .. } = request else {
        return json_response(413, json!({}));
    };
    let call = Call {
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        method: parts.method,
        body,
    };
    match &*call.path {
        "/faults" => {
            standin.borrow_mut().set_faults(&call.body);
            return json_response(200, json!({}));
        }
        "/counts" => return standin.borrow().counts(),
        _ => {}
    }
    let faults = standin.borrow().faults;
    if faults.silent {
        std::future::pending::<()>().await;
    }
    kernel.clock().sleep(faults.delay).await;
    let arrived = Instant::now();
    if let Some(refusal) = standin.borrow_mut().refuse(&call) {
        return refusal;
    }
    loop {
        let result = standin.borrow_mut().call(arrived, &call);
        match result {
            CallResult::Respond(response) => return response,
            CallResult::Wait { until } if Instant::now() < until => {
                kernel.clock().sleep(FEED_POLL_INTERVAL).await;
            }
            CallResult::Wait { .. } => return standin.borrow().empty_feed(),
            CallResult::Lose { after } => {
                kernel.clock().sleep(after).await;
                // The response is discarded, since the caller never gets it.
                let _ = standin.borrow_mut().write(&call);
                std::future::pending::<()>().await;
            }
        }
    }
}

impl Standin {
    /// Returns a stand-in with an empty table and object store.
    pub fn new(seed: u64) -> Self {
        // The first call caps the tokens at the capacity.
        let new_bucket = || TokenBucket { tokens: f64::INFINITY, at: Instant::now(), count: 0 };
        Self {
            started: Instant::now(),
            content: Content::default(),
            copy: Content::default(),
            era: 1,
            faults: Faults::default(),
            random: fastrand::Rng::with_seed(seed),
            writes: new_bucket(),
            reads: new_bucket(),
            throttled: 0,
        }
    }

    fn set_faults(&mut self, body: &[u8]) {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let faults = &mut self.faults;
        let number = |key: &str| value[key].as_f64();
        let millis = |key: &str| Some(Duration::from_secs_f64(number(key)? / 1e3));
        faults.down = value["down"].as_bool().unwrap_or(faults.down);
        faults.silent = value["silent"].as_bool().unwrap_or(faults.silent);
        faults.delay = millis("slow_ms").unwrap_or(faults.delay);
        faults.lose_answers = number("lose_answers").unwrap_or(faults.lose_answers);
        faults.lost_effect_after =
            millis("lost_effect_after_ms").unwrap_or(faults.lost_effect_after);
        faults.writes_per_second = number("writes_per_second").unwrap_or(faults.writes_per_second);
        faults.reads_per_second = number("reads_per_second").unwrap_or(faults.reads_per_second);
        if value["drop_history"] == true {
            self.content.history.clear();
            self.content.compacted_version = self.content.version;
        }
        if value["copy"] == true {
            self.copy = self.content.clone();
        }
        if value["restore"] == true {
            self.content = self.copy.clone();
            self.era += 1;
        }
    }

    fn counts(&self) -> Response<Bytes> {
        json_response(
            200,
            json!({
                "writes": self.writes.count,
                "reads": self.reads.count,
                "throttled": self.throttled,
            }),
        )
    }

    fn refuse(&mut self, call: &Call) -> Option<Response<Bytes>> {
        if self.faults.down {
            return Some(json_response(503, json!({})));
        }
        let is_allowed = match call.is_write() {
            true => self.writes.try_withdraw(self.faults.writes_per_second),
            false => self.reads.try_withdraw(self.faults.reads_per_second),
        };
        if !is_allowed {
            self.throttled += 1;
        }
        (!is_allowed).then(|| json_response(429, json!({})))
    }

    fn call(&mut self, arrived: Instant, call: &Call) -> CallResult {
        if call.is_write() {
            return match self.random.f64() < self.faults.lose_answers {
                true => CallResult::Lose { after: self.faults.lost_effect_after },
                false => CallResult::Respond(self.write(call)),
            };
        }
        CallResult::Respond(match (&call.method, &*call.path) {
            (&Method::GET, "/api/rows-get") => self.list(call),
            (&Method::GET, "/api/rows-feed") => return self.feed(arrived, call),
            (&Method::GET, path) => {
                let name = path.strip_prefix("/api/blob-get/").map(percent_decode);
                match name.and_then(|name| self.content.objects.get(&name)) {
                    Some(object) => Response::new(object.clone()),
                    None => json_response(404, json!({})),
                }
            }
            _ => json_response(405, json!({})),
        })
    }

    fn write(&mut self, call: &Call) -> Response<Bytes> {
        if call.path == "/api/rows-tx" {
            return self.commit(&call.body);
        }
        match call.path.strip_prefix("/api/blob-put/") {
            Some(name) => {
                self.content.objects.insert(percent_decode(name), call.body.clone());
                json_response(200, json!({}))
            }
            None => json_response(404, json!({})),
        }
    }

    fn list(&self, call: &Call) -> Response<Bytes> {
        let table = call.query_parameter("table").unwrap_or_default();
        let from = call.query_parameter("from").unwrap_or_default();
        let end = call.query_parameter("target");
        let limit =
            call.query_parameter("limit").and_then(|limit| limit.parse().ok()).unwrap_or(MAX_ROWS);
        let limit = limit.min(MAX_ROWS);
        let first = (table.clone(), from);
        let in_range =
            |(key, _): &(&RowKey, _)| key.0 == table && end.as_ref().is_none_or(|end| key.1 < *end);
        let mut rows: Vec<Value> = self
            .content
            .rows
            .range(first..)
            .take_while(in_range)
            .take(limit + 1)
            .map(|(key, row)| row_json(key, Some(row)))
            .collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        json_response(200, self.with_version(json!({ "rows": rows, "has_more": has_more })))
    }

    fn feed(&self, arrived: Instant, call: &Call) -> CallResult {
        let number = |name| call.query_parameter(name).and_then(|text| text.parse::<u64>().ok());
        let (table, after) = (call.query_parameter("table").unwrap_or_default(), number("after"));
        let after = after.unwrap_or(0);
        let Content { history, rows, compacted_version, version, .. } = &self.content;
        if after < *compacted_version || after > *version {
            return CallResult::Respond(json_response(410, self.with_version(json!({}))));
        }
        let changes = history.iter().filter(|(ver, key)| *ver > after && key.0 == table);
        let latest: BTreeMap<&RowKey, u64> = changes.map(|(ver, key)| (key, *ver)).collect();
        if latest.is_empty() {
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
            return CallResult::Wait { until: arrived + wait };
        }
        let rows = latest.into_keys().map(|key| row_json(key, rows.get(key)));
        CallResult::Respond(json_response(
            200,
            self.with_version(json!({ "rows": rows.collect::<Vec<_>>() })),
        ))
    }

    fn empty_feed(&self) -> Response<Bytes> {
        json_response(200, self.with_version(json!({ "rows": [] })))
    }

    fn commit(&mut self, body: &[u8]) -> Response<Bytes> {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let list = |key: &str| value[key].as_array().cloned().unwrap_or_default();
        let (expected, writes, deletes) = (list("expect"), list("writes"), list("deletes"));
        if writes.is_empty() && deletes.is_empty() {
            return json_response(400, json!({}));
        }
        let content = &mut self.content;
        let current_version =
            |row: &Value| content.rows.get(&row_key(row)).map_or(0, |(ver, _)| *ver);
        if expected.iter().any(|row| row["ver"].as_u64() != Some(current_version(row))) {
            let rows: Vec<Value> = expected
                .iter()
                .map(row_key)
                .filter_map(|key| Some(row_json(&key, Some(content.rows.get(&key)?))))
                .collect();
            return json_response(412, self.with_version(json!({ "rows": rows })));
        }
        content.version += 1;
        for row in &writes {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            content.rows.insert(row_key(row), (content.version, value));
            content.history.push((content.version, row_key(row)));
        }
        for row in &deletes {
            content.rows.remove(&row_key(row));
            content.history.push((content.version, row_key(row)));
        }
        json_response(200, self.with_version(json!({})))
    }

    fn with_version(&self, mut body: Value) -> Value {
        body["ver"] = self.content.version.into();
        body["now"] = format!("{}ms", self.started.elapsed().as_millis()).into();
        body
    }
}

impl Call {
    fn is_write(&self) -> bool {
        matches!(self.method, Method::POST | Method::PUT | Method::DELETE)
    }

    fn query_parameter(&self, name: &str) -> Option<String> {
        let mut fields = self.query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
    }
}

fn row_key(row: &Value) -> RowKey {
    let text = |key: &str| row[key].as_str().unwrap_or_default().to_owned();
    (text("table"), text("key"))
}

fn row_json(key: &RowKey, row: Option<&(u64, String)>) -> Value {
    match row {
        Some((ver, value)) => {
            json!({ "table": key.0, "part": "", "key": key.1, "value": value, "ver": ver })
        }
        None => json!({ "table": key.0, "part": "", "key": key.1, "deleted": true }),
    }
}

impl TokenBucket {
    fn try_withdraw(&mut self, rate: f64) -> bool {
        let now = Instant::now();
        let refill = (now - self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + refill).min(rate.max(64.0));
        self.at = now;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
            self.count += 1;
        }
        is_allowed
    }
}

fn json_response(status: u16, body: Value) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body.to_string()));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
        let digits = String::from_utf8_lossy(&digits).into_owned();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
