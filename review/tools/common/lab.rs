//! Shared parts of the review's scripts: processes, the operator, backends and clients.
//!
//! Only the standard library is used. All addresses are loopback addresses.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Host name of all routes.
pub const HOSTNAME: &str = "notices.example";

/// Interval of heartbeats, as in the settings of the small sites.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Whether the disruption is wanted.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ids of the processes that were started and not yet waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script with code 2, which means that the case could not run.
pub fn fail(text: &str) -> ! {
    eprintln!("not run: {text}");
    let started = STARTED.lock().map_or_else(|_| Vec::new(), |started| started.clone());
    for id in started {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
    std::process::exit(NOT_RUN);
}

/// Ends the script with code 2 if it lasts too long.
pub fn limit_time() {
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(118));
        fail("the script has lasted too long");
    });
}

/// Loopback address of machine `number` of this run. Runs side by side have other addresses.
pub fn machine_address(number: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 1 + (id / 250 % 250) as u8, 1 + (id % 250) as u8, number)
}

// --- random numbers ---------------------------------------------------------

/// A small generator (xorshift64*).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

// --- record -----------------------------------------------------------------

/// The record of a run: one line for each event.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { started: Instant::now(), lines: Mutex::default() })
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.seconds(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Notes a line and prints it.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.seconds(), text.as_ref());
        self.note(text);
    }

    pub fn write(&self, path: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("cannot write {}: {error}", path.display());
        }
    }
}

// --- processes --------------------------------------------------------------

/// A process that is killed on drop.
pub struct Process(pub Child);

impl Process {
    fn new(child: Child) -> Self {
        STARTED.lock().unwrap().push(child.id());
        Self(child)
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.0.id().to_string()).status();
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.0.id());
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The addresses and the settings of one machine.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    pub app: SocketAddr,
}

impl Machine {
    /// The ports are the same on all machines.
    pub fn new(number: u8, zone: &str, service: &str) -> Self {
        let at = |port| SocketAddr::from((machine_address(number), port));
        Self {
            name: format!("sidecar-{zone}-{number}"),
            zone: zone.into(),
            service: service.into(),
            outbound: at(8141),
            control: at(8146),
            ready: at(8140),
            peer: at(7660),
            admin: at(9464),
            app: at(8147),
        }
    }

    /// Starts the daemon with the command and the settings of the deploy file.
    ///
    /// `store` is the address of the platform's store.
    pub fn start_daemon(&self, store: SocketAddr, is_bootstrap: bool, logs: &Path) -> Process {
        let log = logs.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_or(Stdio::null(), Stdio::from);
        let join = if is_bootstrap { "2s" } else { "0" };
        let child = Command::new("target/release/bronzeportd")
            .env("BRONZEPORT_INTERFACE", "platform")
            .env("BRONZEPORT_LISTEN", self.outbound.to_string())
            .env("BRONZEPORT_ANNOUNCE", self.control.to_string())
            .env("BRONZEPORT_READY", self.ready.to_string())
            .env("BRONZEPORT_PEER_LISTEN", self.peer.to_string())
            .env("BRONZEPORT_ADMIN", self.admin.to_string())
            .env("BRONZEPORT_DATA_CENTRE", &self.zone)
            .env("BRONZEPORT_SERVICE", &self.service)
            .env("BRONZEPORT_TARGET", self.app.to_string())
            .env("BRONZEPORT_PLATFORM", store.to_string())
            .env("BRONZEPORT_JOIN_WITHIN", join)
            .env("BRONZEPORT_STOP_WITHIN", "5.5s")
            .env("BRONZEPORT_LINGER", "2.5s")
            .env("BRONZEPORT_LINK", "1000.0")
            .env("BRONZEPORT_TRANSFER_COST", "4")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => Process::new(child),
            Err(error) => fail(&format!("cannot start bronzeportd: {error}")),
        }
    }
}

/// Starts the project's stand-in for the platform's store.
pub fn start_store(address: SocketAddr) -> Process {
    let child = Command::new("target/release/lab")
        .args(["standin", "--listen", &address.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    let process = match child {
        Ok(child) => Process::new(child),
        Err(error) => fail(&format!("cannot start lab standin: {error}")),
    };
    wait_for(Duration::from_secs(10), "the store", || TcpStream::connect(address).is_ok());
    process
}

pub fn wait_for(limit: Duration, what: &str, mut is_done: impl FnMut() -> bool) {
    let until = Instant::now() + limit;
    while !is_done() {
        if Instant::now() > until {
            fail(&format!("{what} is not ready in time"));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Whether the daemon says that it is ready.
pub fn is_ready(machine: &Machine) -> bool {
    let request = "GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    exchange(machine.ready, request.as_bytes(), Duration::from_secs(1))
        .is_some_and(|answer| answer.status == 200)
}

/// A folder for logs that is removed on drop unless KEEP is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("{name}-{}-{}", std::process::id(), unix_millis()));
        if std::fs::create_dir_all(&path).is_err() {
            fail("cannot create a temporary folder");
        }
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

// --- HTTP -------------------------------------------------------------------

#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value)
    }
}

/// Buffered reader of messages from one connection.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let is_open = peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        !is_open || self.stream.set_nonblocking(false).is_err()
    }

    fn fill(&mut self) -> bool {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.buffer.extend_from_slice(&chunk[..length]);
                true
            }
        }
    }

    /// Reads a message with a length. Returns `None` if the connection ends first.
    pub fn read(&mut self) -> Option<Message> {
        let end = loop {
            match self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                Some(end) => break end,
                None if !self.fill() => return None,
                None => {}
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next()?.to_owned();
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let length: usize =
            headers.get("content-length").map_or(0, |text| text.parse().unwrap_or(0));
        while self.buffer.len() < length {
            if !self.fill() {
                return None;
            }
        }
        let body = self.buffer.drain(..length).collect();
        let status = first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        Some(Message { first_line, status, headers, body })
    }

    /// Reads a message with a length and returns its bytes.
    pub fn read_raw(&mut self) -> Option<Vec<u8>> {
        let end = loop {
            match self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                Some(end) => break end + 4,
                None if !self.fill() => return None,
                None => {}
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).to_ascii_lowercase();
        let length = head.split("\r\n").find_map(|line| line.strip_prefix("content-length:"));
        let length: usize = length.map_or(0, |text| text.trim().parse().unwrap_or(0));
        while self.buffer.len() < end + length {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..end + length).collect())
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn exchange(to: SocketAddr, bytes: &[u8], limit: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut wire = Wire::new(stream);
    wire.send(bytes).then(|| wire.read()).flatten()
}

pub fn post(to: SocketAddr, path: &str, body: &str) -> Option<Message> {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: system\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    exchange(to, request.as_bytes(), Duration::from_secs(2))
}

// --- operator ---------------------------------------------------------------

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |word, index| {
            word << 8 | u32::from(chunk.get(index).copied().unwrap_or(0))
        });
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(char::from(DIGITS[(word >> (18 - 6 * index)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}

/// Writes the operators' configuration to the store.
pub fn put_config(store: SocketAddr, config: &str) -> bool {
    let value = base64(config.as_bytes());
    let body = format!(
        "{{\"expect\":[],\"writes\":[{{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\
         \"value\":\"{value}\"}}],\"deletes\":[]}}"
    );
    post(store, "/api/rows-tx", &body).is_some_and(|answer| answer.status == 200)
}

/// A route of the configuration.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout: &'a str,
    pub priority: u8,
}

/// The routes of a small deployment: a `safe` route `/read/` and an `unsafe` route `/order/` to
/// the first service, and a `download` route `/archive/` to the second, as on the site
/// munadi-net.
pub fn usual_routes<'a>(services: [&'a str; 2], timeouts: [&'a str; 2]) -> Vec<Route<'a>> {
    let route = |prefix, kind, service, timeout, priority| Route {
        prefix,
        kind,
        service,
        timeout,
        priority,
    };
    vec![
        route("/read/", "safe", services[0], timeouts[0], 2),
        route("/order/", "unsafe", services[0], timeouts[1], 1),
        route("/archive/", "download", services[1], timeouts[1], 2),
    ]
}

/// The text of a configuration.
pub fn config(version: u64, services: [&str; 2], routes: &[Route]) -> String {
    let services = services.map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":220,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let routes: Vec<String> = routes
        .iter()
        .map(|Route { prefix, kind, service, timeout, priority }| {
            format!(
                "{{\"name\":\"r{}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
                 \"timeout\":\"{timeout}\",\"target_latency\":\"200ms\",\"priority\":{priority},\
                 \"service\":\"{service}\",\"max_attempts\":2}}",
                prefix.replace('/', "-")
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\
         \"virtual_hosts\":[{{\"hostname\":\"{HOSTNAME}\",\"paths\":[{}]}}]}}",
        services.join(","),
        routes.join(",")
    )
}

// --- way to the store -------------------------------------------------------

/// One machine's way to the platform's store. The store may stop to respond to the machine
/// while it serves the others: a call of the machine then gets no response, and a connection on
/// which a response is lost delivers nothing further. New connections work again afterwards.
pub struct StorePath {
    pub address: SocketAddr,
    is_rejected: AtomicBool,
    /// Feed calls without a response, on connections that still deliver.
    open_feeds: AtomicUsize,
    pub lost_responses: AtomicU64,
}

impl StorePath {
    /// Forwards the connections to `address` to the store.
    pub fn start(address: SocketAddr, store: SocketAddr) -> Arc<Self> {
        let listener = match TcpListener::bind(address) {
            Ok(listener) => listener,
            Err(error) => fail(&format!("cannot listen on {address}: {error}")),
        };
        let path = Arc::new(Self {
            address,
            is_rejected: AtomicBool::new(false),
            open_feeds: AtomicUsize::new(0),
            lost_responses: AtomicU64::new(0),
        });
        let accepting = path.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let forwarding = accepting.clone();
                std::thread::spawn(move || forwarding.forward(stream, store));
            }
        });
        path
    }

    pub fn reject(&self, is_rejected: bool) {
        self.is_rejected.store(is_rejected, Ordering::SeqCst);
    }

    pub fn has_open_feed(&self) -> bool {
        self.open_feeds.load(Ordering::SeqCst) > 0
    }

    fn forward(&self, stream: TcpStream, store: SocketAddr) {
        let (Ok(copy), Ok(upstream)) = (stream.try_clone(), TcpStream::connect(store)) else {
            return;
        };
        let (mut caller, mut upstream) = (Wire::new(copy), Wire::new(upstream));
        // One call at a time: HTTP/1.1 without pipelining.
        let mut is_dead = false;
        while let Some(request) = caller.read_raw() {
            is_dead |= self.is_rejected.load(Ordering::SeqCst);
            if is_dead {
                self.lost_responses.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let is_feed = String::from_utf8_lossy(&request).contains("/api/rows-feed");
            if is_feed {
                self.open_feeds.fetch_add(1, Ordering::SeqCst);
            }
            let response = upstream.send(&request).then(|| upstream.read_raw()).flatten();
            if is_feed {
                self.open_feeds.fetch_sub(1, Ordering::SeqCst);
            }
            let Some(response) = response else { return };
            is_dead |= self.is_rejected.load(Ordering::SeqCst);
            if is_dead {
                self.lost_responses.fetch_add(1, Ordering::Relaxed);
            } else if !caller.send(&response) {
                return;
            }
        }
    }
}

// --- backends ---------------------------------------------------------------

/// A request that a backend began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub id: String,
    pub instance: String,
    pub service: String,
    pub caller: String,
    pub path: String,
}

/// What a faulty backend does with its answers.
#[derive(Default)]
pub struct Garble {
    pub is_on: AtomicBool,
    /// Share of the answers, in thousandths, that are followed by a second copy. It arrives
    /// where the next answer on the connection is expected.
    pub extra_per_mille: AtomicU64,
    pub extras_sent: AtomicU64,
    /// Second copies that arrived where the answer of a health check was expected.
    pub extras_at_checks: AtomicU64,
}

pub struct Backend {
    pub machine: Machine,
    pub instance: String,
    pub born: u64,
    pub slots: usize,
    pub work: Duration,
    pub health_time: Duration,
    pub record: Arc<Record>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub garble: Garble,
    streams: Mutex<Vec<TcpStream>>,
    running: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
    random: Mutex<Random>,
    pub checks: AtomicU64,
    pub is_stopped: AtomicBool,
    /// Bytes that are sent in place of some answers: a first part, and a second one again and
    /// again until the caller closes.
    pub endless: Mutex<Option<(Vec<u8>, Vec<u8>)>>,
    /// Share of the answers that are replaced by bytes without end, in thousandths.
    pub endless_per_mille: AtomicU64,
    pub endless_count: AtomicU64,
}

impl Backend {
    /// Starts a backend beside the machine's daemon.
    pub fn start(
        machine: &Machine,
        slots: usize,
        work: Duration,
        record: &Arc<Record>,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Arc<Self> {
        let born = unix_millis();
        let backend = Arc::new(Self {
            machine: machine.clone(),
            instance: format!("i-{}-{born:x}", machine.name),
            born,
            slots,
            work,
            health_time: Duration::from_millis(6),
            record: record.clone(),
            runs: runs.clone(),
            garble: Garble::default(),
            streams: Mutex::default(),
            running: Mutex::new(0),
            freed: Condvar::new(),
            waiting: AtomicUsize::new(0),
            random: Mutex::new(Random::new(u64::from(machine.app.port()))),
            checks: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            endless: Mutex::default(),
            endless_per_mille: AtomicU64::new(0),
            endless_count: AtomicU64::new(0),
        });
        let listener = match TcpListener::bind(machine.app) {
            Ok(listener) => listener,
            Err(error) => fail(&format!("cannot listen on {}: {error}", machine.app)),
        };
        let accepting = backend.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if accepting.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.streams.lock().unwrap().push(copy);
                }
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(Wire::new(stream)));
            }
        });
        let beating = backend.clone();
        std::thread::spawn(move || beating.beat());
        backend
    }

    /// Ends the backend: it accepts and answers nothing more.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections, which then closes the port.
        drop(TcpStream::connect(self.machine.app));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn beat(&self) {
        let mut sequence = 0;
        while !self.is_stopped.load(Ordering::Relaxed) {
            sequence += 1;
            let body = format!(
                "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
                 \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\
                 \"sequence\":{sequence},\"cold_remaining\":\"0ms\"}}}}",
                self.machine.app, self.born, self.machine.service, self.machine.zone, self.slots
            );
            let path = format!("/api/Instances.Heartbeat/{}", self.instance);
            let status = post(self.machine.control, &path, &body).map_or(0, |answer| answer.status);
            if status != 200 {
                self.record
                    .note(format!("{} heartbeat {sequence}: status {status}", self.instance));
            }
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    fn load(&self) -> String {
        let running = *self.running.lock().unwrap();
        format!("{running},{},{},100", self.waiting.load(Ordering::Relaxed), self.slots)
    }

    fn serve(&self, mut wire: Wire) {
        // A second copy of an earlier answer that is still to be sent on this connection.
        let mut extra: Option<Vec<u8>> = None;
        while let Some(request) = wire.read() {
            let path = request.first_line.split(' ').nth(1).unwrap_or("").to_owned();
            let is_check = path == "/healthz";
            if let Some(extra) = extra.take() {
                self.garble.extras_sent.fetch_add(1, Ordering::Relaxed);
                if is_check {
                    self.garble.extras_at_checks.fetch_add(1, Ordering::Relaxed);
                }
                let expected = if is_check { "a health check" } else { "a request" };
                self.record.note(format!("{} extra answer where {expected} waits", self.instance));
                if !wire.send(&extra) {
                    return;
                }
            }
            let share = self.endless_per_mille.load(Ordering::Relaxed);
            if share > 0 && self.random.lock().unwrap().next() % 1000 < share {
                self.send_without_end(&request, &mut wire);
                return;
            }
            if is_check {
                self.checks.fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(self.health_time);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nBronzeport-Instance-Id: {}\r\nBronzeport-Server-Load: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.instance,
                    self.load()
                );
                if !wire.send(answer.as_bytes()) {
                    return;
                }
                continue;
            }
            let (answer, has_run) = self.answer(&request, &path);
            if !wire.send(&answer) {
                return;
            }
            let share = self.garble.extra_per_mille.load(Ordering::Relaxed);
            if has_run
                && self.garble.is_on.load(Ordering::Relaxed)
                && self.random.lock().unwrap().next() % 1000 < share
            {
                extra = Some(answer);
            }
        }
    }

    /// Sends bytes that are no answer until the caller closes the connection.
    fn send_without_end(&self, request: &Message, wire: &mut Wire) {
        let Some((first, again)) = self.endless.lock().unwrap().clone() else { return };
        let id = request.header("bronzeport-request-id");
        self.endless_count.fetch_add(1, Ordering::Relaxed);
        self.record.note(format!("{} sends bytes without end for {id}", self.instance));
        let mut is_open = wire.send(&first);
        let mut bytes = first.len();
        while is_open && !self.is_stopped.load(Ordering::Relaxed) {
            is_open = wire.send(&again);
            bytes += again.len();
        }
        self.record.note(format!("{} sent {bytes} bytes for {id}", self.instance));
    }

    /// Runs a request. Returns the answer and whether the request has run.
    fn answer(&self, request: &Message, path: &str) -> (Vec<u8>, bool) {
        let id = request.header("bronzeport-request-id").to_owned();
        let expected = request.header("bronzeport-expect-instance");
        if !expected.is_empty() && expected != self.instance {
            self.record.note(format!("{} answers 421 to {id}", self.instance));
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nBronzeport-Request-Id: {id}\r\n\
                 Bronzeport-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.instance
            );
            return (answer.into_bytes(), false);
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let mut running = self.running.lock().unwrap();
        while *running >= self.slots {
            running = self.freed.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let run = Run {
            at: self.record.seconds(),
            id: id.clone(),
            instance: self.instance.clone(),
            service: self.machine.service.clone(),
            caller: request.header("bronzeport-caller-service").to_owned(),
            path: path.to_owned(),
        };
        self.record.note(format!("{} runs {id} {path} for caller {}", run.instance, run.caller));
        self.runs.lock().unwrap().push(run);
        let spread = 0.7 + 0.6 * self.random.lock().unwrap().unit();
        std::thread::sleep(self.work.mul_f64(spread));
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
        let body = body_of(&id, path);
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nBronzeport-Request-Id: {id}\r\n\
             Bronzeport-Server-Signature: s.{}.{id}\r\nBronzeport-Server-Load: {}\r\n\
             Content-Length: {}\r\n\r\n",
            self.instance,
            self.load(),
            body.len()
        )
        .into_bytes();
        answer.extend_from_slice(body.as_bytes());
        (answer, true)
    }
}

/// The whole body that a backend gives to a request.
pub fn body_of(id: &str, path: &str) -> String {
    format!("{id} {path} {}", "x".repeat(400))
}

// --- clients ----------------------------------------------------------------

/// A request as its client saw it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub at: f64,
    pub ended: f64,
    pub id: String,
    pub machine: String,
    pub service: String,
    pub path: String,
    /// 0 if there was no answer.
    pub status: u16,
    pub signature: String,
    pub is_body_whole: bool,
    pub is_answer_to_it: bool,
}

/// Clients of one machine that keep their connections.
pub struct Clients {
    pub machine: Machine,
    pub per_second: f64,
    pub share_unsafe: f64,
    pub share_archive: f64,
    /// Share of the requests that go to the route `/added/`.
    pub share_added: f64,
    pub deadline: Duration,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Clients {
    /// Sends requests until `stop` is set. Each of the threads keeps one connection and sends
    /// one request at a time.
    pub fn start(
        self,
        threads: usize,
        seed: u64,
        record: &Arc<Record>,
        sent: &Arc<Mutex<Vec<Sent>>>,
        stop: &Arc<AtomicBool>,
    ) -> Vec<std::thread::JoinHandle<()>> {
        let shared = Arc::new(self);
        let start = |number: usize| {
            let (clients, record) = (shared.clone(), record.clone());
            let (sent, stop) = (sent.clone(), stop.clone());
            let random = Random::new(seed * 1000 + number as u64 + 1);
            std::thread::spawn(move || clients.run(threads, random, &record, &sent, &stop))
        };
        (0..threads).map(start).collect()
    }

    fn run(
        &self,
        threads: usize,
        mut random: Random,
        record: &Record,
        sent: &Mutex<Vec<Sent>>,
        stop: &AtomicBool,
    ) {
        let mut wire: Option<Wire> = None;
        let mut next = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            let pause = -(1.0 - random.unit()).ln() * threads as f64 / self.per_second;
            next = (next + Duration::from_secs_f64(pause)).max(Instant::now());
            while Instant::now() < next && !stop.load(Ordering::Relaxed) {
                let left = next.saturating_duration_since(Instant::now());
                std::thread::sleep(left.min(Duration::from_millis(200)));
            }
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let draw = random.unit();
            let (method, prefix) = match draw {
                draw if draw < self.share_unsafe => ("POST", "/order/"),
                draw if draw < self.share_unsafe + self.share_archive => ("GET", "/archive/"),
                draw if draw > 1.0 - self.share_added => ("GET", "/added/"),
                _ => ("GET", "/read/"),
            };
            let path = format!("{prefix}{:x}", random.next() & 0xffff);
            let outcome = self.send(&mut wire, method, &path, record);
            sent.lock().unwrap().push(outcome);
        }
    }

    fn send(&self, wire: &mut Option<Wire>, method: &str, path: &str, record: &Record) -> Sent {
        let id =
            format!("{:08x}{:08x}", unix_millis() as u32, NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let body = if method == "POST" { "order" } else { "" };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nBronzeport-Request-Id: {id}\r\n\
             Bronzeport-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.deadline.as_millis(),
            body.len()
        );
        let at = record.seconds();
        record.note(format!("client on {} sends {id} {method} {path}", self.machine.name));
        let limit = self.deadline + Duration::from_millis(100);
        let mut connection = wire.take().filter(|wire| !wire.is_closed()).or_else(|| {
            let stream = TcpStream::connect_timeout(&self.machine.outbound, limit).ok()?;
            Some(Wire::new(stream))
        });
        let answer = connection.as_mut().and_then(|wire| {
            wire.stream.set_read_timeout(Some(limit)).ok()?;
            wire.send(request.as_bytes()).then(|| wire.read()).flatten()
        });
        let outcome = Sent {
            at,
            ended: record.seconds(),
            machine: self.machine.name.clone(),
            service: self.machine.service.clone(),
            path: path.to_owned(),
            status: answer.as_ref().map_or(0, |answer| answer.status),
            signature: answer.as_ref().map_or(String::new(), |answer| {
                answer.header("bronzeport-server-signature").into()
            }),
            is_body_whole: answer
                .as_ref()
                .is_some_and(|answer| answer.body == body_of(&id, path).as_bytes()),
            is_answer_to_it: answer.as_ref().is_some_and(|answer| {
                answer.headers.get("bronzeport-request-id").is_none_or(|answered| *answered == id)
            }),
            id,
        };
        record.note(format!(
            "client on {} gets {} for {}, signature {:?}, body {}",
            outcome.machine,
            outcome.status,
            outcome.id,
            outcome.signature,
            if outcome.is_body_whole { "whole" } else { "other" }
        ));
        let keeps = answer.is_some_and(|answer| answer.header("connection") != "close");
        *wire = connection.filter(|_| keeps);
        outcome
    }
}

/// A small deployment: machines with their daemons and backends, and the store.
pub struct Deployment {
    pub store_address: SocketAddr,
    pub machines: Vec<Machine>,
    pub daemons: Vec<Process>,
    pub backends: Vec<Arc<Backend>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// The way of each machine to the store.
    pub store_paths: Vec<Arc<StorePath>>,
    _store: Process,
    pub folder: Folder,
}

impl Deployment {
    /// Starts a store, and machines with the given zones and services, and waits until all
    /// daemons are ready and serve all routes.
    pub fn start(
        name: &str,
        machines: &[(&str, &str)],
        services: [&str; 2],
        timeouts: [&str; 2],
        slots: usize,
        work: [Duration; 2],
        record: &Arc<Record>,
    ) -> Self {
        limit_time();
        let folder = Folder::new(name);
        let store_address = SocketAddr::from((machine_address(250), 8142));
        let store = start_store(store_address);
        // The stand-in refuses calls in its first milliseconds, as it starts without credit.
        let text = config(7, services, &usual_routes(services, timeouts));
        wait_for(Duration::from_secs(5), "the configuration", || put_config(store_address, &text));
        let runs = Arc::new(Mutex::new(Vec::new()));
        let machines: Vec<Machine> = machines
            .iter()
            .enumerate()
            .map(|(number, (zone, service))| Machine::new(number as u8 + 1, zone, service))
            .collect();
        let store_paths: Vec<Arc<StorePath>> = (0..machines.len())
            .map(|number| {
                let address = SocketAddr::from((machine_address(100 + number as u8), 8142));
                StorePath::start(address, store_address)
            })
            .collect();
        let daemons: Vec<Process> = machines
            .iter()
            .zip(&store_paths)
            .map(|(machine, path)| machine.start_daemon(path.address, true, &folder.0))
            .collect();
        let backends = machines
            .iter()
            .map(|machine| {
                let work = if machine.service == services[0] { work[0] } else { work[1] };
                Backend::start(machine, slots, work, record, &runs)
            })
            .collect();
        for machine in &machines {
            wait_for(Duration::from_secs(20), &machine.name, || is_ready(machine));
        }
        record.tell("all daemons are ready");
        // As on the sites, traffic starts 8 s after the machines do.
        std::thread::sleep(Duration::from_secs_f64((8.0 - record.seconds()).max(0.0)));
        Self {
            store_address,
            machines,
            daemons,
            backends,
            runs,
            store_paths,
            _store: store,
            folder,
        }
    }
}
