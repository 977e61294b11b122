//! Case: a second answer of a backend arrives where the answer of a health check is expected.

#[path = "common/lab.rs"]
mod lab;

use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lab::{BROKEN, Backend, Clients, Deployment, HELD, NOT_RUN, Record, Run, Sent, has_trouble};

const SERVICES: [&str; 2] = ["dele69a", "xano55b"];
/// The largest dose on the site munadi-net: a share of 0.6 of the backends of a service spoils
/// 0.03 of its answers for 5 s.
const GARBLED_BACKENDS: [usize; 2] = [4, 2];
const EXTRA_PER_MILLE: u64 = 30;
const GARBLED: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(1);
const ROUNDS: usize = 16;

/// The machines of the site munadi-net.
const MACHINES: [(&str, &str); 11] = [
    ("lhr-a", SERVICES[0]),
    ("khi-a", SERVICES[0]),
    ("pew-a", SERVICES[0]),
    ("lhr-b", SERVICES[0]),
    ("lhr-a", SERVICES[0]),
    ("khi-a", SERVICES[0]),
    ("pew-a", SERVICES[0]),
    ("lhr-a", SERVICES[1]),
    ("khi-a", SERVICES[1]),
    ("pew-a", SERVICES[1]),
    ("lhr-b", SERVICES[1]),
];

fn main() {
    let record = Record::new();
    let code = play(&record);
    record.write(Path::new(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into())));
    std::process::exit(code);
}

fn play(record: &Arc<Record>) -> i32 {
    let deployment = Deployment::start(
        "review-extra",
        &MACHINES,
        SERVICES,
        ["500ms", "600ms"],
        12,
        [Duration::from_millis(60), Duration::from_millis(48)],
        record,
    );
    let (sent, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let mut threads = Vec::new();
    for (number, machine) in deployment.machines.iter().enumerate() {
        // About 40 requests a second at each backend, as on the site.
        let clients = Clients {
            machine: machine.clone(),
            per_second: 40.0,
            share_unsafe: 0.2,
            share_archive: 0.36,
            share_added: 0.0,
            deadline: Duration::from_millis(500),
        };
        threads.extend(clients.start(12, number as u64 + 1, record, &sent, &stop));
    }
    std::thread::sleep(Duration::from_secs(3));
    for _ in 0..ROUNDS {
        for backend in garbled(&deployment).filter(|_| has_trouble()) {
            backend.garble.extra_per_mille.store(EXTRA_PER_MILLE, Ordering::Relaxed);
            backend.garble.is_on.store(true, Ordering::Relaxed);
        }
        std::thread::sleep(GARBLED);
        garbled(&deployment)
            .for_each(|backend| backend.garble.is_on.store(false, Ordering::Relaxed));
        std::thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    for backend in garbled(&deployment) {
        record.tell(format!(
            "{}: {} health checks, {} second answers, {} of them where a health check waited",
            backend.instance,
            backend.checks.load(Ordering::Relaxed),
            backend.garble.extras_sent.load(Ordering::Relaxed),
            backend.garble.extras_at_checks.load(Ordering::Relaxed)
        ));
    }
    let sent = sent.lock().unwrap().clone();
    let runs = deployment.runs.lock().unwrap().clone();
    judge(record, &sent, &runs)
}

/// The faulty backends: a share of those of each service.
fn garbled(deployment: &Deployment) -> impl Iterator<Item = &Arc<Backend>> {
    SERVICES.iter().zip(GARBLED_BACKENDS).flat_map(|(service, count)| {
        deployment.backends.iter().filter(move |b| b.machine.service == *service).take(count)
    })
}

fn judge(record: &Record, sent: &[Sent], runs: &[Run]) -> i32 {
    let is_success = |sent: &&Sent| (200..300).contains(&sent.status);
    let is_whole =
        |sent: &Sent| !sent.signature.is_empty() && sent.is_body_whole && sent.is_answer_to_it;
    let successes = sent.iter().filter(is_success).count();
    record.tell(format!("{successes} of {} requests got a success", sent.len()));
    for status in [0, 502, 503, 504] {
        let count = sent.iter().filter(|sent| sent.status == status).count();
        record.note(format!("status {status}: {count}"));
    }
    if successes * 2 < sent.len() || sent.is_empty() {
        record.tell("too few requests were served");
        return NOT_RUN;
    }
    let wrong: Vec<&Sent> = sent.iter().filter(is_success).filter(|sent| !is_whole(sent)).collect();
    let ran: HashSet<&str> = runs.iter().map(|run| &*run.id).collect();
    for sent in wrong.iter().take(10) {
        record.tell(format!(
            "at {:.3} the client on {} got {} for {} {}, signature {:?}, body {}; it {} run",
            sent.ended,
            sent.machine,
            sent.status,
            sent.id,
            sent.path,
            sent.signature,
            if sent.is_body_whole { "whole" } else { "not the backend's" },
            if ran.contains(&*sent.id) { "has" } else { "has not" }
        ));
    }
    if wrong.is_empty() {
        record.tell("MIXED held");
        return HELD;
    }
    record.tell(format!("MIXED broken: {} successes without signature or body", wrong.len()));
    BROKEN
}
