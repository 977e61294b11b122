//! Case: a backend sends bytes that are no answer, without end, in place of its answers.

#[path = "common/lab.rs"]
mod lab;

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lab::{BROKEN, Clients, Deployment, HELD, NOT_RUN, Record, Sent, has_trouble};

const SERVICES: [&str; 2] = ["dele69a", "xano55b"];
/// Timeout of the routes to the first and to the second service.
const TIMEOUTS: [&str; 2] = ["500ms", "600ms"];
/// Time that the clients wait, which is longer than the timeouts of the routes.
const DEADLINE: Duration = Duration::from_millis(2000);
/// Number of the faulty backends, of four.
const FAULTY: usize = 2;
const BEFORE: Duration = Duration::from_secs(8);
const ENDLESS: Duration = Duration::from_secs(10);
const AFTER: Duration = Duration::from_secs(8);

fn main() {
    let record = Record::new();
    let code = play(&record);
    record.write(Path::new(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into())));
    std::process::exit(code);
}

fn play(record: &Arc<Record>) -> i32 {
    let deployment = Deployment::start(
        "review-endless",
        &[
            ("lhr-a", SERVICES[0]),
            ("khi-a", SERVICES[0]),
            ("pew-a", SERVICES[0]),
            ("lhr-a", SERVICES[1]),
        ],
        SERVICES,
        TIMEOUTS,
        12,
        [Duration::from_millis(60), Duration::from_millis(48)],
        record,
    );
    let (sent, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let mut threads = Vec::new();
    for (number, machine) in deployment.machines.iter().enumerate() {
        let clients = Clients {
            machine: machine.clone(),
            per_second: 30.0,
            share_unsafe: 0.2,
            share_archive: 0.08,
            share_added: 0.0,
            deadline: DEADLINE,
        };
        threads.extend(clients.start(24, number as u64 + 1, record, &sent, &stop));
    }
    std::thread::sleep(BEFORE);
    let faulty = &deployment.backends[..FAULTY];
    let from = record.seconds();
    if has_trouble() {
        // Heads of interim answers, and never the head of an answer.
        let again = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(4000);
        for backend in faulty {
            *backend.endless.lock().unwrap() = Some((Vec::new(), again.clone()));
            backend.endless_per_mille.store(1000, Ordering::Relaxed);
            record.tell(format!("{} sends bytes without end", backend.instance));
        }
    }
    // The platform's question to the daemon, once a second.
    let mut misses = 0;
    while record.seconds() < from + ENDLESS.as_secs_f64() {
        let asked = record.seconds();
        misses += usize::from(!lab::is_ready(&deployment.machines[0]));
        std::thread::sleep(Duration::from_secs_f64((asked + 1.0 - record.seconds()).max(0.0)));
    }
    record.tell(format!(
        "{} was asked for its readiness once a second; {misses} questions without a 200 in 1 s",
        deployment.machines[0].name
    ));
    let to = record.seconds();
    for backend in faulty {
        backend.endless_per_mille.store(0, Ordering::Relaxed);
        record.tell(format!(
            "{} is sound again; it has sent bytes without end {} times",
            backend.instance,
            backend.endless_count.load(Ordering::Relaxed)
        ));
    }
    std::thread::sleep(AFTER);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let names: Vec<String> =
        deployment.machines.iter().map(|machine| machine.name.clone()).collect();
    let sent = sent.lock().unwrap().clone();
    judge(record, &names, &sent, from, to)
}

/// The route's timeout in seconds.
fn timeout_of(sent: &Sent) -> f64 {
    if sent.path.starts_with("/read/") { 0.5 } else { 0.6 }
}

/// Whether the request had no final answer `after` seconds after its route's timeout.
fn is_unanswered(sent: &Sent, after: f64) -> bool {
    sent.status == 0 || sent.ended - sent.at > timeout_of(sent) + after
}

fn judge(record: &Record, names: &[String], sent: &[Sent], from: f64, to: f64) -> i32 {
    for name in names {
        let of = |is_during: bool| {
            sent.iter().filter(move |sent| {
                sent.machine == *name && (sent.at >= from - 1.0 && sent.at < to) == is_during
            })
        };
        for (when, is_during) in [("before and after", false), ("meanwhile", true)] {
            record.tell(format!(
                "{name}, {when}: {} requests, {} served, {} unanswered at the timeout, {} of them \
                 without an answer 0.5 s later",
                of(is_during).count(),
                of(is_during).filter(|sent| sent.status == 200).count(),
                of(is_during).filter(|sent| is_unanswered(sent, 0.0)).count(),
                of(is_during).filter(|sent| is_unanswered(sent, 0.5)).count()
            ));
        }
    }
    if !sent.iter().any(|sent| sent.at < from && sent.status == 200) {
        record.tell("no request was served before");
        return NOT_RUN;
    }
    let unanswered = sent.iter().filter(|sent| is_unanswered(sent, 0.0)).count();
    let overdue = sent.iter().filter(|sent| is_unanswered(sent, 0.5)).count();
    if overdue >= 8 && overdue * 4 > unanswered {
        record.tell(format!(
            "CONFIG broken: {overdue} of {unanswered} requests that lasted longer than their \
             route's timeout had no final answer 0.5 s after it"
        ));
        return BROKEN;
    }
    record.tell(format!("CONFIG held: {overdue} of {unanswered}"));
    HELD
}
