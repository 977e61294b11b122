//! Case: the platform's store does not respond to some machines for a while, and the
//! configuration changes meanwhile.

#[path = "common/lab.rs"]
mod lab;
#[path = "common/stale.rs"]
mod stale;

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lab::{Deployment, NOT_RUN, Record, has_trouble};
use stale::{CONFIG_APPLY, CONTACT, SERVICES, TIMEOUTS, feed_readers, judge, put};

/// Largest share of the machines that the store turns away (`fleetbench kinds`).
const MAX_SHARE: f64 = 0.35;
/// How long the store does not respond to them (`platform_down` on the site pankha-sajha).
const SILENT: Duration = Duration::from_millis(4500);

fn main() {
    let record = Record::new();
    let code = play(&record);
    record.write(Path::new(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into())));
    std::process::exit(code);
}

fn play(record: &Arc<Record>) -> i32 {
    let machines = stale::machines();
    let work = [Duration::from_millis(60), Duration::from_millis(48)];
    let deployment =
        Deployment::start("review-deaf", &machines, SERVICES, TIMEOUTS, 12, work, record);
    let (sent, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let mut threads = Vec::new();
    for (number, machine) in deployment.machines.iter().enumerate() {
        threads.extend(stale::clients(machine).start(6, number as u64 + 1, record, &sent, &stop));
    }
    std::thread::sleep(Duration::from_secs(4));

    // An earlier change, while nothing is disturbed: the timeout of a route.
    put(record, &deployment, 10, &["600ms", "700ms"], false);
    std::thread::sleep(Duration::from_secs(1));
    let readers = feed_readers(record, &deployment);
    if readers.is_empty() || readers.len() as f64 > MAX_SHARE * machines.len() as f64 {
        record.tell("the store may not turn so many machines away");
        return NOT_RUN;
    }
    let reject = |is_rejected: bool| {
        for number in &readers {
            deployment.store_paths[*number].reject(is_rejected && has_trouble());
        }
    };
    reject(true);
    record.tell("the store does not respond to these machines, and serves the others");
    std::thread::sleep(Duration::from_millis(1500));
    // `/added/` is new, and `/archive/` moves to the first service.
    let acked = put(record, &deployment, 12, &["600ms", "700ms"], true);
    std::thread::sleep(SILENT - Duration::from_millis(1500));
    reject(false);
    let end = record.seconds();
    record.tell("the store responds to all machines again");
    std::thread::sleep(Duration::from_secs(25));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let sent = sent.lock().unwrap().clone();
    let runs = deployment.runs.lock().unwrap().clone();
    let from = (end + CONTACT).max(acked + CONFIG_APPLY);
    judge(record, &sent, &runs, acked, from)
}
