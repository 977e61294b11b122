//! Case: the platform's store does not respond to some machines for a while, and the
//! configuration changes meanwhile.

#[path = "lab.rs"]
mod lab;

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lab::{BROKEN, Clients, Deployment, HELD, NOT_RUN, Record, Route, Run, Sent, config, has_trouble};

const SERVICES: [&str; 2] = ["dele69a", "xano55b"];
const TIMEOUTS: [&str; 2] = ["500ms", "600ms"];
/// Three zones of six machines.
const ZONES: [&str; 3] = ["lhr-a", "khi-a", "pew-a"];
const MACHINES_PER_ZONE: usize = 6;
/// Largest share of the machines that the store turns away (`fleetbench kinds`).
const MAX_SHARE: f64 = 0.35;
/// How long the store does not respond to them (`platform_down` on the site munadi-net).
const SILENT: Duration = Duration::from_millis(4500);
/// Bounds of the site, in seconds.
const CONTACT: f64 = 3.0;
const CONFIG_APPLY: f64 = 2.0;

fn main() {
    let record = Record::new();
    let code = play(&record);
    record.write(Path::new(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into())));
    std::process::exit(code);
}

fn play(record: &Arc<Record>) -> i32 {
    let machines: Vec<(&str, &str)> = (0..MACHINES_PER_ZONE)
        .flat_map(|number| ZONES.map(|zone| (zone, SERVICES[usize::from(number >= 4)])))
        .collect();
    let work = [Duration::from_millis(60), Duration::from_millis(48)];
    let deployment =
        Deployment::start("review-deaf", &machines, SERVICES, TIMEOUTS, 12, work, record);
    let (sent, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let mut threads = Vec::new();
    for (number, machine) in deployment.machines.iter().enumerate() {
        let clients = Clients {
            machine: machine.clone(),
            per_second: 12.0,
            share_unsafe: 0.15,
            share_archive: 0.25,
            share_added: 0.25,
            deadline: Duration::from_millis(600),
        };
        threads.extend(clients.start(6, number as u64 + 1, record, &sent, &stop));
    }
    std::thread::sleep(Duration::from_secs(4));

    // An earlier change, while nothing is disturbed: the timeout of a route.
    put(record, &deployment, 10, &["600ms", "700ms"], false);
    std::thread::sleep(Duration::from_secs(1));
    let readers: Vec<usize> = (0..machines.len())
        .filter(|number| deployment.store_paths[*number].has_open_feed())
        .collect();
    let names: Vec<&str> =
        readers.iter().map(|number| &*deployment.machines[*number].name).collect();
    record.tell(format!("{} of {} machines wait for changes: {}", readers.len(), machines.len(), names.join(" ")));
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
    judge(record, &sent, &runs, acked, end)
}

/// Writes a version of the configuration and returns when it was acknowledged.
fn put(
    record: &Record,
    deployment: &Deployment,
    version: u64,
    timeouts: &[&str; 2],
    has_changed_routes: bool,
) -> f64 {
    let mut routes = lab::usual_routes(SERVICES, *timeouts);
    if has_changed_routes {
        routes[2].service = SERVICES[0];
        routes.push(Route {
            prefix: "/added/",
            kind: "safe",
            service: SERVICES[0],
            timeout: timeouts[0],
            priority: 2,
        });
    }
    if !lab::put_config(deployment.store_address, &config(version, SERVICES, &routes)) {
        lab::fail("the store does not take the configuration");
    }
    let acked = record.seconds();
    record.tell(format!("version {version} is acknowledged"));
    acked
}

fn judge(record: &Record, sent: &[Sent], runs: &[Run], acked: f64, end: f64) -> i32 {
    let service_of: HashMap<&str, &str> = runs.iter().map(|run| (&*run.id, &*run.service)).collect();
    let is_old = |sent: &&Sent| {
        let is_missing = sent.path.starts_with("/added/") && sent.status == 404;
        let is_moved = sent.path.starts_with("/archive/");
        is_missing || (is_moved && service_of.get(&*sent.id).is_some_and(|s| *s == SERVICES[1]))
    };
    if !sent.iter().any(|sent| sent.at < acked && sent.status == 200) {
        record.tell("no request was served before the change");
        return NOT_RUN;
    }
    // From then on all machines are in touch, and the version has been in force long enough.
    let from = (end + CONTACT).max(acked + CONFIG_APPLY);
    let late = sent.iter().filter(|sent| sent.at > from);
    let old: Vec<&Sent> = late.clone().filter(is_old).collect();
    let last = sent.iter().filter(is_old).map(|sent| sent.at).fold(0.0, f64::max);
    record.tell(format!(
        "the last request that was handled as only an older version allows was sent at {last:.3}, \
         {:.3} s after the acknowledgement",
        last - acked
    ));
    for sent in old.iter().take(5) {
        record.tell(format!(
            "sent at {:.3} on {}: {} got {}, run by {}",
            sent.at,
            sent.machine,
            sent.path,
            sent.status,
            service_of.get(&*sent.id).unwrap_or(&"no service")
        ));
    }
    if old.is_empty() {
        record.tell("CONFIG held");
        return HELD;
    }
    record.tell(format!(
        "CONFIG broken: {} of {} requests that were sent after {from:.3}, when all machines were in \
         touch, were handled as only an older version allows",
        old.len(),
        late.filter(|sent| ["/added/", "/archive/"].iter().any(|prefix| sent.path.starts_with(prefix))).count()
    ));
    BROKEN
}
