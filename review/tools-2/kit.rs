//! Stand-ins for the script cases of the second review: a back end, the operator who writes the
//! configuration, the platform's readiness checks and a crowd of clients. Standard library only.
//!
//! `kit VERB --flag value ...`; each verb prints what it saw to standard output.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::exit;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Flags = HashMap<String, String>;
type Headers = HashMap<String, String>;

/// Exit code of a run that could not take place.
const COULD_NOT_RUN: i32 = 2;

fn main() {
    let mut args = std::env::args().skip(1);
    let verb = args.next().unwrap_or_default();
    let mut flags = Flags::new();
    while let Some(name) = args.next() {
        flags.insert(name.trim_start_matches('-').to_owned(), args.next().unwrap_or_default());
    }
    match verb.as_str() {
        "ports" => ports(&flags),
        "publish" => publish(&flags),
        "await-ready" => await_ready(&flags),
        "server" => server(&flags),
        "crowd" => crowd::run(&flags),
        "reset-proxy" => reset_proxy(&flags),
        "probe" => probe(&flags),
        "contacts" => contacts(&flags),
        "hot" => hot::run(&flags),
        "judge-quota" => judge_quota(&flags),
        other => fail(&format!("unknown verb {other:?}")),
    }
}

fn fail(text: &str) -> ! {
    eprintln!("kit: {text}");
    exit(COULD_NOT_RUN)
}

fn text(flags: &Flags, name: &str) -> String {
    flags.get(name).cloned().unwrap_or_else(|| fail(&format!("missing --{name}")))
}

fn number(flags: &Flags, name: &str) -> f64 {
    text(flags, name).parse().unwrap_or_else(|_| fail(&format!("--{name} is not a number")))
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap_or_else(|_| fail(&format!("{text} is not an address")))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Prints free ports of 127.0.0.1, one a line.
fn ports(flags: &Flags) {
    let count = number(flags, "count") as usize;
    let listeners: Vec<TcpListener> =
        (0..count).filter_map(|_| TcpListener::bind("127.0.0.1:0").ok()).collect();
    if listeners.len() < count {
        fail("no free ports");
    }
    for port in listeners.iter().filter_map(|listener| listener.local_addr().ok()) {
        println!("{}", port.port());
    }
}

/// Reads the first line and the headers, whose names are in lower case.
fn read_head(reader: &mut impl BufRead) -> Option<(String, Headers)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Headers::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => return Some((first.trim_end().to_owned(), headers)),
            line => {
                if let Some((name, value)) = line.split_once(':') {
                    headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
                }
            }
        }
    }
}

fn status_of(first_line: &str) -> u16 {
    first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// Sends one request on a new connection and returns the status of the answer.
fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let (first, _) = read_head(&mut BufReader::new(stream))?;
    Some(status_of(&first))
}

/// Writes the operator's configuration to the store.
fn publish(flags: &Flags) {
    let config = std::fs::read(text(flags, "file")).unwrap_or_else(|_| fail("no configuration"));
    let body = format!(
        "{{\"expect\":[],\"writes\":[{{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\
         \"value\":\"{}\"}}],\"deletes\":[]}}",
        base64(&config)
    );
    let store = address(&text(flags, "store"));
    for _ in 0..50 {
        if call(store, "POST", "/api/rows-tx", &body) == Some(200) {
            println!("the store has acknowledged the configuration");
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    fail("the store does not take the configuration");
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            match index <= chunk.len() {
                true => encoded.push(SET[(group >> (18 - 6 * index) & 63) as usize] as char),
                false => encoded.push('='),
            }
        }
    }
    encoded
}

/// Waits until all daemons answer 200 to the readiness check.
fn await_ready(flags: &Flags) {
    let until = Instant::now() + Duration::from_secs(20);
    for ready in text(flags, "at").split(',').map(address) {
        while call(ready, "GET", "/api/readyz", "") != Some(200) {
            if Instant::now() > until {
                fail(&format!("the daemon at {ready} is not ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    println!("all daemons are ready");
}

/// Passes connections on, in both directions. While the file `--reset F` exists, it closes all of
/// them and each new one at once.
fn reset_proxy(flags: &Flags) {
    let listener =
        TcpListener::bind(text(flags, "listen")).unwrap_or_else(|_| fail("the port is not free"));
    let (to, file) = (address(&text(flags, "to")), text(flags, "reset"));
    let is_down = move || std::path::Path::new(&file).exists();
    for client in listener.incoming().flatten() {
        if is_down() {
            continue;
        }
        let Ok(server) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { continue };
        let is_down = is_down.clone();
        thread::spawn(move || {
            for (from, into) in [(&client, &server), (&server, &client)] {
                if let (Ok(mut from), Ok(mut into)) = (from.try_clone(), into.try_clone()) {
                    thread::spawn(move || {
                        let _ = std::io::copy(&mut from, &mut into);
                        let _ = into.shutdown(std::net::Shutdown::Both);
                    });
                }
            }
            while !is_down() {
                thread::sleep(Duration::from_millis(5));
            }
            for stream in [&client, &server] {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        });
    }
}

/// Clients of one machine on a route that the newest version has dropped or moved: sends a request
/// each 50 ms to `--to` for `--seconds S` and prints `asked MS STATUS BODY`. The back ends answer
/// with the name of their service.
fn probe(flags: &Flags) {
    let to = address(&text(flags, "to"));
    let path = text(flags, "path");
    let until = Instant::now() + Duration::from_secs_f64(number(flags, "seconds"));
    let mut next = unix_ms() << 20;
    while Instant::now() < until {
        next += 1;
        let asked = unix_ms();
        let ask = || -> Option<(u16, String)> {
            let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            let request = format!(
                "GET {path} HTTP/1.1\r\nHost: a.example\r\nBronzeport-Request-Id: {next:016x}\r\n\
                 Bronzeport-Deadline-Ms: 500\r\nConnection: close\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).ok()?;
            let mut reader = BufReader::new(stream);
            let (first, headers) = read_head(&mut reader)?;
            let length = headers.get("content-length").and_then(|length| length.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            reader.read_exact(&mut body).ok()?;
            Some((status_of(&first), String::from_utf8_lossy(&body).trim().replace(' ', "_")))
        };
        let (status, body) = ask().unwrap_or_default();
        println!("asked {asked} {status} {body}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Prints the addresses in the rows of the table `member`, in which the daemons of the product find
/// each other.
fn contacts(flags: &Flags) {
    let store = address(&text(flags, "store"));
    let read = || -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&store, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let request = "GET /api/rows-get?table=member&part= HTTP/1.1\r\nHost: x\r\n\
                       Connection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    };
    let answer = read().unwrap_or_else(|| fail("the store does not answer"));
    for field in answer.split("\"value\":\"").skip(1) {
        println!("{}", from_base64(field.split('"').next().unwrap_or_default()));
    }
}

fn from_base64(text: &str) -> String {
    let digit = |byte: u8| match byte {
        b'A'..=b'Z' => u32::from(byte - b'A'),
        b'a'..=b'z' => u32::from(byte - b'a') + 26,
        b'0'..=b'9' => u32::from(byte - b'0') + 52,
        b'+' => 62,
        _ => 63,
    };
    let digits: Vec<u32> = text.bytes().filter(|byte| *byte != b'=').map(digit).collect();
    let mut bytes = Vec::new();
    for group in digits.chunks(4) {
        let bits = group.iter().fold(0, |bits, digit| bits << 6 | digit) << (6 * (4 - group.len()));
        bytes.extend((0..group.len() - 1).map(|index| (bits >> (16 - 8 * index)) as u8));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Judges QUOTA from the lines `sent MS ID` and `run MS ID TENANT` of the files: the largest number
/// of a tenant's requests that were both sent and run in a window, against the bound.
fn judge_quota(flags: &Flags) {
    let window = number(flags, "window-ms") as u64;
    let (rate, burst) = (number(flags, "rate"), number(flags, "burst"));
    let (overshoot, slack) = (number(flags, "overshoot"), number(flags, "slack"));
    let mut sent: HashMap<String, u64> = HashMap::new();
    let mut runs: Vec<(String, u64)> = Vec::new();
    for file in text(flags, "files").split(',') {
        for line in std::fs::read_to_string(file).unwrap_or_default().lines() {
            let words: Vec<&str> = line.split(' ').collect();
            let time = words.get(1).and_then(|time| time.parse().ok());
            match (words.first(), time) {
                (Some(&"sent"), Some(time)) => drop(sent.insert(words[2].to_owned(), time)),
                (Some(&"run"), Some(time)) => runs.push((words[2].to_owned(), time)),
                _ => {}
            }
        }
    }
    let times = runs.iter().filter_map(|(id, run)| Some((*sent.get(id)?, *run)));
    let mut times: Vec<(u64, u64)> = times.collect();
    times.sort_unstable();
    let count = |start: u64| {
        let within = |(sent, run): &&(u64, u64)| *sent >= start && *run <= start + window;
        times.iter().filter(within).count()
    };
    let starts = times.iter().map(|(sent, _)| *sent);
    let most = starts.map(|start| (count(start), start)).max().unwrap_or_default();
    let bound = (rate * window as f64 / 1e3 + burst) * (1.0 + overshoot) + slack;
    println!(
        "{} requests sent, {} run; most in {window} ms: {} from {}; bound {bound}",
        sent.len(),
        runs.len(),
        most.0,
        most.1
    );
    let is_broken = most.0 as f64 > bound;
    println!("{}", if is_broken { "QUOTA is broken" } else { "QUOTA holds" });
    exit(i32::from(is_broken));
}

/// A tenant that sends many times its usual, evenly from clients on all machines.
mod hot {
    use super::*;

    /// `--outbound A,A --rate R --seconds S --key K`: sends R requests a second in all and prints
    /// `sent MS ID` for each, and the number of answers by status at the end.
    pub(super) fn run(flags: &Flags) {
        let machines: Vec<SocketAddr> = text(flags, "outbound").split(',').map(address).collect();
        let rate = number(flags, "rate") / machines.len() as f64;
        let (seconds, key) = (number(flags, "seconds"), text(flags, "key"));
        let answers: Arc<Mutex<HashMap<u16, u64>>> = Arc::default();
        let next = Arc::new(AtomicU64::new(unix_ms() << 20));
        // Two clients on each machine, which take turns.
        let clients = machines.iter().flat_map(|machine| [*machine; 2]).enumerate();
        let threads: Vec<_> = clients
            .map(|(index, machine)| {
                let (key, answers, next) = (key.clone(), answers.clone(), next.clone());
                thread::spawn(move || {
                    let pause = Duration::from_secs_f64(2.0 / rate);
                    let started = Instant::now();
                    let mut due = started + pause.mul_f64(index as f64 * 0.37 % 1.0);
                    let mut connection = None;
                    while due < started + Duration::from_secs_f64(seconds) {
                        thread::sleep(due.saturating_duration_since(Instant::now()));
                        due += pause;
                        let id = format!("{:016x}", next.fetch_add(1, Ordering::Relaxed));
                        println!("sent {} {id}", unix_ms());
                        let status = ask(&mut connection, machine, &key, &id).unwrap_or(0);
                        *answers.lock().expect("no panic").entry(status).or_default() += 1;
                    }
                })
            })
            .collect();
        for thread in threads {
            let _ = thread.join();
        }
        println!("answers by status (0: none): {:?}", answers.lock().expect("no panic"));
    }

    /// Sends a request on the kept connection, or on a new one, and returns the status.
    fn ask(
        connection: &mut Option<BufReader<TcpStream>>,
        to: SocketAddr,
        key: &str,
        id: &str,
    ) -> Option<u16> {
        let mut reader = match connection.take() {
            Some(reader) => reader,
            None => {
                let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
                stream.set_nodelay(true).ok()?;
                stream.set_read_timeout(Some(Duration::from_millis(1200))).ok()?;
                BufReader::new(stream)
            }
        };
        let request = format!(
            "GET /read/{id} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer {key}\r\n\
             Bronzeport-Request-Id: {id}\r\nBronzeport-Deadline-Ms: 1200\r\n\r\n"
        );
        reader.get_mut().write_all(request.as_bytes()).ok()?;
        let (first, headers) = read_head(&mut reader)?;
        let length = headers.get("content-length").and_then(|length| length.parse().ok());
        reader.read_exact(&mut vec![0; length.unwrap_or(0)]).ok()?;
        if headers.get("connection").is_none_or(|value| value != "close") {
            *connection = Some(reader);
        }
        Some(status_of(&first))
    }
}

/// A back end: announces itself to the daemon beside it, answers its health page and runs
/// requests, at most `slots` at a time; it rejects others as one that is full does. It prints a
/// line `run MS ID TENANT` when it begins to work on a request.
fn server(flags: &Flags) {
    let listen = text(flags, "listen");
    let (id, service) = (text(flags, "id"), text(flags, "service"));
    let slots = number(flags, "slots") as u64;
    let work = Duration::from_millis(number(flags, "work-ms") as u64);
    let control = address(&text(flags, "control"));
    let listener = TcpListener::bind(&listen).unwrap_or_else(|_| fail("the port is not free"));
    let born = unix_ms();
    let beat = (id.clone(), listen.clone());
    thread::spawn(move || {
        let (id, listen) = beat;
        for sequence in 1u64.. {
            let body = format!(
                "{{\"address\":\"{listen}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\
                 \"version\":\"v1\",\"zone\":\"z\",\"slots\":{slots}}},\"status\":{{\
                 \"state\":\"ready\",\"sequence\":{sequence},\"cold_remaining\":\"0ms\"}}}}"
            );
            let _ = call(control, "POST", &format!("/api/Instances.Heartbeat/{id}"), &body);
            thread::sleep(Duration::from_millis(1500));
        }
    });
    let running = Arc::new(AtomicU64::new(0));
    for stream in listener.incoming().flatten() {
        let (id, running) = (id.clone(), running.clone());
        thread::spawn(move || {
            let _ = serve(stream, &id, &running, slots, work);
        });
    }
}

fn serve(
    stream: TcpStream,
    id: &str,
    running: &AtomicU64,
    slots: u64,
    work: Duration,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers)) = read_head(&mut reader) {
        let length = headers.get("content-length").and_then(|length| length.parse().ok());
        reader.read_exact(&mut vec![0; length.unwrap_or(0)])?;
        let request = headers.get("bronzeport-request-id").cloned().unwrap_or_default();
        let load = || format!("{},0,{slots},100", running.load(Ordering::Relaxed));
        let answer = if first.split(' ').nth(1) == Some("/healthz") {
            format!(
                "HTTP/1.1 200 OK\r\nBronzeport-Instance-Id: {id}\r\n\
                 Bronzeport-Server-Load: {}\r\nContent-Length: 0\r\n\r\n",
                load()
            )
        } else if running.fetch_add(1, Ordering::Relaxed) >= slots {
            running.fetch_sub(1, Ordering::Relaxed);
            format!(
                "HTTP/1.1 503 Service Unavailable\r\nBronzeport-Request-Id: {request}\r\n\
                 Bronzeport-Not-Executed: 1\r\nBronzeport-Server-Load: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                load()
            )
        } else {
            let tenant = headers.get("bronzeport-tenant-id").map_or("-", |tenant| tenant);
            println!("run {} {request} {tenant}", unix_ms());
            thread::sleep(work);
            running.fetch_sub(1, Ordering::Relaxed);
            format!(
                "HTTP/1.1 200 OK\r\nBronzeport-Request-Id: {request}\r\n\
                 Bronzeport-Server-Signature: s.{request}\r\nBronzeport-Server-Load: {}\r\n\
                 Content-Length: 2\r\n\r\nok",
                load()
            )
        };
        writer.write_all(answer.as_bytes())?;
    }
    Ok(())
}

/// Clients that keep their connections, as the pages describe them, and the platform's
/// readiness checks beside them.
mod crowd {
    use super::*;

    /// Longest time for which a client keeps an idle connection: four fifths of `idle_timeout`.
    const MAX_IDLE: Duration = Duration::from_secs(12);
    /// Number of clients that have to try in vain.
    const CLIENTS_THAT_TRY: usize = 7;

    /// One of the kinds of request of the sheet.
    #[derive(Clone, Copy)]
    struct Kind {
        method: &'static str,
        prefix: &'static str,
        is_safe: bool,
        deadline: Duration,
    }

    const READ: Kind = Kind {
        method: "GET",
        prefix: "/read/",
        is_safe: true,
        deadline: Duration::from_millis(1200),
    };
    const ORDER: Kind = Kind {
        method: "POST",
        prefix: "/order/",
        is_safe: false,
        deadline: Duration::from_millis(1500),
    };
    /// Share of orders: 169 of 169 + 607 a second.
    const ORDER_SHARE: f64 = 0.218;

    struct IdleConnection {
        stream: TcpStream,
        to: SocketAddr,
        since: Instant,
    }

    /// One attempt of a client that has no answer yet.
    struct Attempt {
        client: usize,
        kind: Kind,
        number: u64,
        /// Whether it is the client's retry.
        is_retry: bool,
        is_new_connection: bool,
        sent: Instant,
        deadline: Instant,
        to: SocketAddr,
        stream: TcpStream,
        received: Vec<u8>,
    }

    enum Progress {
        Waiting,
        Answered { status: u16, retry_after: Duration, closes: bool },
        Closed,
    }

    struct Retry {
        at: Instant,
        client: usize,
        kind: Kind,
        deadline: Instant,
    }

    /// What happened to a try to open a connection and get an answer on it.
    struct Try {
        at: Instant,
        client: usize,
        to: SocketAddr,
        is_taken: bool,
    }

    #[derive(Default)]
    struct Counts(HashMap<String, u64>);

    impl Counts {
        fn add(&mut self, what: impl Into<String>) {
            *self.0.entry(what.into()).or_default() += 1;
        }
    }

    struct Crowd {
        started: Instant,
        machines: Vec<SocketAddr>,
        idle: Vec<Vec<IdleConnection>>,
        attempts: Vec<Attempt>,
        retries: Vec<Retry>,
        tries: Vec<Try>,
        next: u64,
        random: u64,
        counts: Counts,
        seconds: Vec<Counts>,
        most_open: usize,
    }

    /// `--outbound A,A --ready A,A --rate R --clients N --seconds S --remove-at T --stays I`:
    /// from T on only machine I is there; the clients go on at it. T of 0: none is removed.
    /// The script that runs this ends the processes; `--go F` is the file that tells it to.
    pub(super) fn run(flags: &Flags) {
        let machines: Vec<SocketAddr> = text(flags, "outbound").split(',').map(address).collect();
        let ready: Vec<SocketAddr> = text(flags, "ready").split(',').map(address).collect();
        let stays = number(flags, "stays") as usize;
        let remove_at = number(flags, "remove-at");
        let seconds = number(flags, "seconds");
        let rate = number(flags, "rate");
        let contact = Duration::from_secs_f64(number(flags, "contact"));
        let clients = number(flags, "clients") as usize;
        let started = Instant::now();
        let checks = check_readiness(started, ready[stays]);
        let mut crowd = Crowd {
            started,
            machines,
            idle: (0..clients).map(|_| Vec::new()).collect(),
            attempts: Vec::new(),
            retries: Vec::new(),
            tries: Vec::new(),
            next: 0,
            random: 0x9e37_79b9_7f4a_7c15,
            counts: Counts::default(),
            seconds: Vec::new(),
            most_open: 0,
        };
        let stay = crowd.machines[stays];
        let end = started + Duration::from_secs_f64(seconds);
        let mut sent = 0.0;
        let mut is_removed = false;
        let mut cleaned = started;
        while Instant::now() < end {
            let now = Instant::now();
            let elapsed = (now - started).as_secs_f64();
            if remove_at > 0.0 && elapsed >= remove_at && !is_removed {
                is_removed = true;
                crowd.machines = vec![stay];
                let _ = std::fs::write(text(flags, "go"), "now");
                println!("{elapsed:.2} s: all machines but one are removed");
            }
            while sent < elapsed * rate {
                sent += 1.0;
                crowd.begin_request(now);
            }
            crowd.begin_retries(now);
            crowd.advance(now);
            if now - cleaned > Duration::from_millis(200) {
                cleaned = now;
                crowd.drop_closed(now);
            }
            thread::sleep(Duration::from_micros(500));
        }
        crowd.report(stay, remove_at, contact, &checks);
    }

    /// Asks the daemon once a second, on a new connection, whether it is ready.
    fn check_readiness(started: Instant, ready: SocketAddr) -> Arc<Mutex<Vec<(f64, Option<u16>)>>> {
        let checks = Arc::new(Mutex::new(Vec::new()));
        let results = checks.clone();
        thread::spawn(move || {
            loop {
                let at = started.elapsed().as_secs_f64();
                let status = call(ready, "GET", "/api/readyz", "");
                results.lock().expect("no panic").push((at, status));
                thread::sleep(Duration::from_secs(1));
            }
        });
        checks
    }

    impl Crowd {
        fn draw(&mut self) -> f64 {
            self.random ^= self.random << 13;
            self.random ^= self.random >> 7;
            self.random ^= self.random << 17;
            (self.random >> 11) as f64 / (1u64 << 53) as f64
        }

        fn begin_request(&mut self, now: Instant) {
            let client = (self.draw() * self.idle.len() as f64) as usize;
            let kind = if self.draw() < ORDER_SHARE { ORDER } else { READ };
            self.begin(now, client, kind, now + kind.deadline, false);
        }

        fn begin_retries(&mut self, now: Instant) {
            let due: Vec<Retry> = self.retries.extract_if(.., |retry| retry.at <= now).collect();
            for retry in due {
                self.begin(now, retry.client, retry.kind, retry.deadline, true);
            }
        }

        /// Sends a request: on an idle connection of the client, or on a new one. A retry is
        /// sent on a new connection.
        fn begin(
            &mut self,
            now: Instant,
            client: usize,
            kind: Kind,
            deadline: Instant,
            is_retry: bool,
        ) {
            let to = self.machines[client % self.machines.len()];
            let mut idle = None;
            while !is_retry && idle.is_none() {
                let Some(found) = self.idle[client].pop() else { break };
                if found.to == to && now - found.since < MAX_IDLE && is_open(&found.stream) {
                    idle = Some(found.stream);
                }
            }
            let is_new_connection = idle.is_none();
            let connect = || TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok();
            self.next += 1;
            let number = self.next;
            let left = deadline.saturating_duration_since(now).as_millis();
            let request = format!(
                "{} {}{number} HTTP/1.1\r\nHost: a.example\r\nBronzeport-Request-Id: {number:016x}\r\n\
                 Bronzeport-Deadline-Ms: {left}\r\nContent-Length: 0\r\n\r\n",
                kind.method, kind.prefix
            );
            self.count(now, "sent");
            let stream = idle.or_else(connect).filter(|stream| {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                stream.write_all(request.as_bytes()).is_ok() && stream.set_nonblocking(true).is_ok()
            });
            let Some(stream) = stream else {
                self.count(now, "no connection");
                if is_new_connection {
                    self.tries.push(Try { at: now, client, to, is_taken: false });
                }
                return;
            };
            self.attempts.push(Attempt {
                client,
                kind,
                number,
                is_retry,
                is_new_connection,
                sent: now,
                deadline,
                to,
                stream,
                received: Vec::new(),
            });
        }

        fn advance(&mut self, now: Instant) {
            let mut index = 0;
            while index < self.attempts.len() {
                let progress = self.attempts[index].read();
                let is_late = now >= self.attempts[index].deadline;
                if matches!(progress, Progress::Waiting) && !is_late {
                    index += 1;
                    continue;
                }
                let attempt = self.attempts.swap_remove(index);
                self.end(now, attempt, progress);
            }
        }

        fn end(&mut self, now: Instant, attempt: Attempt, progress: Progress) {
            let is_answered = matches!(progress, Progress::Answered { .. });
            if attempt.is_new_connection {
                let Attempt { client, to, sent, .. } = attempt;
                self.tries.push(Try { at: sent, client, to, is_taken: is_answered });
            }
            let (what, wait, may_retry) = match &progress {
                Progress::Waiting => ("no answer by the deadline".to_owned(), None, false),
                Progress::Closed => {
                    let what = match attempt.is_new_connection {
                        true => "closed without an answer, new connection",
                        false => "closed without an answer, kept connection",
                    };
                    (what.to_owned(), None, attempt.kind.is_safe)
                }
                Progress::Answered { status, retry_after, .. } => {
                    let is_promise = [408, 421, 429, 503].contains(status);
                    let is_failure = *status >= 500;
                    let may_retry = is_promise || (is_failure && attempt.kind.is_safe);
                    (status.to_string(), Some(*retry_after), may_retry)
                }
            };
            self.count(now, what);
            if may_retry && !attempt.is_retry {
                let left = attempt.deadline.saturating_duration_since(now);
                // Clients honour Retry-After up to a third of the time that they have left.
                let wait = wait.unwrap_or_default().min(left / 3);
                let Attempt { client, kind, deadline, .. } = attempt;
                self.retries.push(Retry { at: now + wait, client, kind, deadline });
            }
            if let Progress::Answered { closes: false, .. } = progress {
                let Attempt { client, stream, to, .. } = attempt;
                self.idle[client].push(IdleConnection { stream, to, since: now });
            }
            let _ = attempt.number;
        }

        /// Drops idle connections that the daemon has closed or that are too old.
        fn drop_closed(&mut self, now: Instant) {
            for idle in &mut self.idle {
                idle.retain(|idle| now - idle.since < MAX_IDLE && is_open(&idle.stream));
            }
            let open = self.idle.iter().map(Vec::len).sum::<usize>() + self.attempts.len();
            self.most_open = self.most_open.max(open);
        }

        fn count(&mut self, now: Instant, what: impl Into<String>) {
            let second = (now - self.started).as_secs() as usize;
            while self.seconds.len() <= second {
                self.seconds.push(Counts::default());
            }
            let what = what.into();
            self.seconds[second].add(what.clone());
            self.counts.add(what);
        }

        fn report(
            &mut self,
            stay: SocketAddr,
            remove_at: f64,
            contact: Duration,
            checks: &Mutex<Vec<(f64, Option<u16>)>>,
        ) {
            println!("all: {}", line(&self.counts));
            for (second, counts) in self.seconds.iter().enumerate() {
                println!("second {second}: {}", line(counts));
            }
            println!("most connections open at once: {}", self.most_open);
            let checks = checks.lock().expect("no panic").clone();
            println!("readiness of the machine that stays: {checks:?}");
            // The rule binds from `contact` after the removal on.
            let from = self.started + Duration::from_secs_f64(remove_at) + contact;
            let mut tries: Vec<&Try> =
                self.tries.iter().filter(|a_try| a_try.to == stay && a_try.at >= from).collect();
            tries.sort_by_key(|a_try| a_try.at);
            let mut is_broken = false;
            let mut start = from;
            let mut in_vain: Vec<&Try> = Vec::new();
            for a_try in &tries {
                if !a_try.is_taken {
                    in_vain.push(a_try);
                    continue;
                }
                is_broken |= self.judge(start, a_try.at, &in_vain, contact, &checks);
                start = a_try.at;
                in_vain.clear();
            }
            if let Some(last) = in_vain.last() {
                is_broken |= self.judge(start, last.at, &in_vain, contact, &checks);
            }
            for second in 0..self.seconds.len() {
                let within = |a_try: &&&Try| (a_try.at - self.started).as_secs() as usize == second;
                let tried: Vec<&&Try> = tries.iter().filter(within).collect();
                let taken = tried.iter().filter(|a_try| a_try.is_taken).count();
                println!("second {second}: new connections tried {}, taken {taken}", tried.len());
            }
            let taken = tries.iter().filter(|a_try| a_try.is_taken).count();
            println!("new connections tried from then on: {}, taken: {taken}", tries.len());
            println!("{}", if is_broken { "RECOVER is broken" } else { "RECOVER holds" });
            exit(i32::from(is_broken));
        }

        /// Whether the machine took no new connection from `start` to `end`, for `contact` or
        /// longer, while seven clients or more tried and it said that it was ready.
        fn judge(
            &self,
            start: Instant,
            end: Instant,
            in_vain: &[&Try],
            contact: Duration,
            checks: &[(f64, Option<u16>)],
        ) -> bool {
            if end - start < contact {
                return false;
            }
            let clients: HashSet<usize> = in_vain.iter().map(|a_try| a_try.client).collect();
            let (from, to) =
                ((start - self.started).as_secs_f64(), (end - self.started).as_secs_f64());
            let within: Vec<Option<u16>> = checks
                .iter()
                .filter(|(at, _)| (from - 1.0..to).contains(at))
                .map(|(_, status)| *status)
                .collect();
            let is_ready = !within.is_empty() && within.iter().all(|status| *status == Some(200));
            println!(
                "no new connection taken from {from:.2} s to {to:.2} s; {} tries of {} clients; \
                 ready in all checks: {is_ready}",
                in_vain.len(),
                clients.len()
            );
            clients.len() >= CLIENTS_THAT_TRY && is_ready
        }
    }

    impl Attempt {
        fn read(&mut self) -> Progress {
            let mut buffer = [0; 4096];
            loop {
                match self.stream.read(&mut buffer) {
                    Ok(0) => return Progress::Closed,
                    Ok(length) => self.received.extend_from_slice(&buffer[..length]),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return Progress::Closed,
                }
            }
            let mut reader = BufReader::new(&self.received[..]);
            let Some((first, headers)) = read_head(&mut reader) else {
                return Progress::Waiting;
            };
            let length: usize =
                headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return Progress::Waiting;
            }
            let seconds = headers.get("retry-after").and_then(|seconds| seconds.parse().ok());
            Progress::Answered {
                status: status_of(&first),
                retry_after: Duration::from_secs_f64(seconds.unwrap_or(0.0)),
                closes: headers.get("connection").is_some_and(|value| value == "close"),
            }
        }
    }

    /// Whether the other side has neither closed an idle connection nor sent anything on it.
    fn is_open(stream: &TcpStream) -> bool {
        let _ = stream.set_nonblocking(true);
        let is_open =
            matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
        let _ = stream.set_nonblocking(false);
        is_open
    }

    fn line(counts: &Counts) -> String {
        let mut sorted: Vec<(&String, &u64)> = counts.0.iter().collect();
        sorted.sort();
        let parts: Vec<String> =
            sorted.iter().map(|(what, count)| format!("{what} {count}")).collect();
        parts.join(", ")
    }
}
