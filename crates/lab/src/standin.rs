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

/// Faults that are active at present.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Every call gets 503 and has no effect.
    pub down: bool,
    /// Calls get no response and have no effect.
    pub silent: bool,
    /// Delay of each call.
    pub slow: Duration,
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
            slow: Duration::from_millis(1),
            lose_answers: 0.0,
            lost_effect_after: Duration::ZERO,
            writes_per_second: 300.0,
            reads_per_second: 2000.0,
        }
    }
}

/// Table name and key of a row.
type Place = (String, String);

/// State of the stand-in.
#[derive(Debug)]
pub struct Standin {
    started: Instant,
    /// Version of each row and its value in base64.
    rows: BTreeMap<Place, (u64, String)>,
    /// Changes in the order of their versions.
    history: Vec<(u64, Place)>,
    /// Version up to which changes were dropped from the history.
    dropped: u64,
    objects: BTreeMap<String, Bytes>,
    version: u64,
    faults: Faults,
    random: fastrand::Rng,
    writes: Bucket,
    reads: Bucket,
    throttled: u64,
}

#[derive(Debug)]
struct Bucket {
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
enum Effect {
    Answer(Response<Bytes>),
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
const FEED_STEP: Duration = Duration::from_millis(5);
/// Maximum number of rows in one response.
const MAX_ROWS: usize = 500;

/// Serves the stand-in on `listener`.
pub fn serve(
    kernel: &Kernel,
    listener: TcpListener,
    seed: u64,
) -> std::io::Result<web::ServerHandle> {
    let standin = Rc::new(RefCell::new(Standin::new(seed)));
    let kernel_of_calls = kernel.clone();
    let handler: web::Handler =
        Rc::new(move |arrival| Box::pin(handle(kernel_of_calls.clone(), standin.clone(), arrival)));
    web::serve(kernel, listener, LIMITS, handler)
}

async fn handle(
    kernel: Kernel,
    standin: Rc<RefCell<Standin>>,
    arrival: IncomingRequest,
) -> Response<Bytes> {
    let IncomingRequest { head: parts, body: Ok(body), .. } = arrival else {
        return answer(413, json!({}));
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
            return answer(200, json!({}));
        }
        "/counts" => return standin.borrow().counts(),
        _ => {}
    }
    let faults = standin.borrow().faults;
    if faults.silent {
        std::future::pending::<()>().await;
    }
    kernel.clock().sleep(faults.slow).await;
    let arrived = Instant::now();
    if let Some(refusal) = standin.borrow_mut().refuse(&call) {
        return refusal;
    }
    loop {
        let effect = standin.borrow_mut().call(arrived, &call);
        match effect {
            Effect::Answer(response) => return response,
            Effect::Wait { until } if Instant::now() < until => {
                kernel.clock().sleep(FEED_STEP).await;
            }
            Effect::Wait { .. } => return standin.borrow().no_news(),
            Effect::Lose { after } => {
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
        let bucket = || Bucket { tokens: 0.0, at: Instant::now(), count: 0 };
        Self {
            started: Instant::now(),
            rows: BTreeMap::new(),
            history: Vec::new(),
            dropped: 0,
            objects: BTreeMap::new(),
            version: 0,
            faults: Faults::default(),
            random: fastrand::Rng::with_seed(seed),
            writes: bucket(),
            reads: bucket(),
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
        faults.slow = millis("slow_ms").unwrap_or(faults.slow);
        faults.lose_answers = number("lose_answers").unwrap_or(faults.lose_answers);
        faults.lost_effect_after =
            millis("lost_effect_after_ms").unwrap_or(faults.lost_effect_after);
        faults.writes_per_second = number("writes_per_second").unwrap_or(faults.writes_per_second);
        faults.reads_per_second = number("reads_per_second").unwrap_or(faults.reads_per_second);
        if value["drop_history"] == true {
            self.history.clear();
            self.dropped = self.version;
        }
    }

    fn counts(&self) -> Response<Bytes> {
        answer(
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
            return Some(answer(503, json!({})));
        }
        let is_allowed = match call.is_write() {
            true => self.writes.take(self.faults.writes_per_second),
            false => self.reads.take(self.faults.reads_per_second),
        };
        if !is_allowed {
            self.throttled += 1;
        }
        (!is_allowed).then(|| answer(429, json!({})))
    }

    fn call(&mut self, arrived: Instant, call: &Call) -> Effect {
        if call.is_write() {
            return match self.random.f64() < self.faults.lose_answers {
                true => Effect::Lose { after: self.faults.lost_effect_after },
                false => Effect::Answer(self.write(call)),
            };
        }
        Effect::Answer(match (&call.method, &*call.path) {
            (&Method::GET, "/api/rows-get") => self.list(call),
            (&Method::GET, "/api/rows-feed") => return self.feed(arrived, call),
            (&Method::GET, path) => {
                let name = path.strip_prefix("/api/blob-get/").map(unescape);
                match name.and_then(|name| self.objects.get(&name)) {
                    Some(object) => Response::new(object.clone()),
                    None => answer(404, json!({})),
                }
            }
            _ => answer(405, json!({})),
        })
    }

    fn write(&mut self, call: &Call) -> Response<Bytes> {
        if call.path == "/api/rows-tx" {
            return self.commit(&call.body);
        }
        match call.path.strip_prefix("/api/blob-put/") {
            Some(name) => {
                self.objects.insert(unescape(name), call.body.clone());
                answer(200, json!({}))
            }
            None => answer(404, json!({})),
        }
    }

    fn list(&self, call: &Call) -> Response<Bytes> {
        let table = call.field("table").unwrap_or_default();
        let from = call.field("from").unwrap_or_default();
        let end = call.field("target");
        let limit = call.field("limit").and_then(|limit| limit.parse().ok()).unwrap_or(MAX_ROWS);
        let limit = limit.min(MAX_ROWS);
        let first = (table.clone(), from);
        let in_range = |(place, _): &(&Place, _)| {
            place.0 == table && end.as_ref().is_none_or(|end| place.1 < *end)
        };
        let mut rows: Vec<Value> = self
            .rows
            .range(first..)
            .take_while(in_range)
            .take(limit + 1)
            .map(|(place, row)| row_json(place, Some(row)))
            .collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        answer(200, self.stamped(json!({ "rows": rows, "has_more": has_more })))
    }

    fn feed(&self, arrived: Instant, call: &Call) -> Effect {
        let number = |name| call.field(name).and_then(|text| text.parse::<u64>().ok());
        let (table, after) = (call.field("table").unwrap_or_default(), number("after"));
        let after = after.unwrap_or(0);
        if after < self.dropped {
            return Effect::Answer(answer(410, self.stamped(json!({}))));
        }
        let news = self.history.iter().filter(|(ver, place)| *ver > after && place.0 == table);
        let places: BTreeMap<&Place, u64> = news.map(|(ver, place)| (place, *ver)).collect();
        if places.is_empty() {
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
            return Effect::Wait { until: arrived + wait };
        }
        let rows = places.into_keys().map(|place| row_json(place, self.rows.get(place)));
        Effect::Answer(answer(200, self.stamped(json!({ "rows": rows.collect::<Vec<_>>() }))))
    }

    fn no_news(&self) -> Response<Bytes> {
        answer(200, self.stamped(json!({ "rows": [] })))
    }

    fn commit(&mut self, body: &[u8]) -> Response<Bytes> {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let list = |key: &str| value[key].as_array().cloned().unwrap_or_default();
        let (expected, writes, deletes) = (list("expect"), list("writes"), list("deletes"));
        if writes.is_empty() && deletes.is_empty() {
            return answer(400, json!({}));
        }
        let standing = |row: &Value| self.rows.get(&place_of(row)).map_or(0, |(ver, _)| *ver);
        if expected.iter().any(|row| row["ver"].as_u64() != Some(standing(row))) {
            let rows: Vec<Value> = expected
                .iter()
                .map(place_of)
                .filter_map(|place| Some(row_json(&place, Some(self.rows.get(&place)?))))
                .collect();
            return answer(412, self.stamped(json!({ "rows": rows })));
        }
        self.version += 1;
        for row in &writes {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            self.rows.insert(place_of(row), (self.version, value));
            self.history.push((self.version, place_of(row)));
        }
        for row in &deletes {
            self.rows.remove(&place_of(row));
            self.history.push((self.version, place_of(row)));
        }
        answer(200, self.stamped(json!({})))
    }

    fn stamped(&self, mut body: Value) -> Value {
        body["ver"] = self.version.into();
        body["now"] = format!("{}ms", self.started.elapsed().as_millis()).into();
        body
    }
}

impl Call {
    fn is_write(&self) -> bool {
        matches!(self.method, Method::POST | Method::PUT | Method::DELETE)
    }

    fn field(&self, name: &str) -> Option<String> {
        let mut fields = self.query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).map(|(_, value)| unescape(value))
    }
}

fn place_of(row: &Value) -> Place {
    let text = |key: &str| row[key].as_str().unwrap_or_default().to_owned();
    (text("table"), text("key"))
}

fn row_json(place: &Place, row: Option<&(u64, String)>) -> Value {
    match row {
        Some((ver, value)) => {
            json!({ "table": place.0, "part": "", "key": place.1, "value": value, "ver": ver })
        }
        None => json!({ "table": place.0, "part": "", "key": place.1, "deleted": true }),
    }
}

impl Bucket {
    fn take(&mut self, rate: f64) -> bool {
        let now = Instant::now();
        let earned = (now - self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(rate.max(64.0));
        self.at = now;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
            self.count += 1;
        }
        is_allowed
    }
}

fn answer(status: u16, body: Value) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body.to_string()));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

fn unescape(text: &str) -> String {
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
