//! Case: some machines are lost, and the configuration changes soon after.

#[path = "common/lab.rs"]
mod lab;
#[path = "common/stale.rs"]
mod stale;

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lab::{Deployment, NOT_RUN, Record, Sent, has_trouble};
use stale::{CONFIG_APPLY, SERVICES, TIMEOUTS, feed_readers, judge, put};

/// Largest share of the machines that are lost at once (`herd_kill` on the site pankha-sajha).
const MAX_SHARE: f64 = 0.55;

fn main() {
    let record = Record::new();
    let code = play(&record);
    record.write(Path::new(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into())));
    std::process::exit(code);
}

fn play(record: &Arc<Record>) -> i32 {
    let machines = stale::machines();
    let work = [Duration::from_millis(60), Duration::from_millis(48)];
    let mut deployment =
        Deployment::start("review-handover", &machines, SERVICES, TIMEOUTS, 12, work, record);
    let (sent, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let mut threads = Vec::new();
    for (number, machine) in deployment.machines.iter().enumerate() {
        threads.extend(stale::clients(machine).start(6, number as u64 + 1, record, &sent, &stop));
    }
    std::thread::sleep(Duration::from_secs(4));

    let lost = feed_readers(record, &deployment);
    if lost.is_empty() || lost.len() as f64 > MAX_SHARE * machines.len() as f64 {
        record.tell("too many machines would be lost");
        return NOT_RUN;
    }
    let mut is_lost = vec![false; machines.len()];
    if has_trouble() {
        for number in lost {
            is_lost[number] = true;
            deployment.daemons[number].kill();
            deployment.backends[number].stop();
        }
        record.tell("these machines are lost");
    }
    std::thread::sleep(Duration::from_millis(200));
    // `/added/` is new, and `/archive/` moves to the first service.
    let acked = put(record, &deployment, 12, &TIMEOUTS, true);
    std::thread::sleep(Duration::from_secs(20));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let sent = sent.lock().unwrap().clone();
    let runs = deployment.runs.lock().unwrap().clone();
    // Only clients of machines that are not lost count.
    let lost: Vec<&str> = deployment
        .machines
        .iter()
        .zip(&is_lost)
        .filter(|(_, is_lost)| **is_lost)
        .map(|(machine, _)| &*machine.name)
        .collect();
    let sent: Vec<Sent> = sent.into_iter().filter(|sent| !lost.contains(&&*sent.machine)).collect();
    judge(record, &sent, &runs, acked, acked + CONFIG_APPLY)
}
