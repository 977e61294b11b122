//! Case: a heartbeat of another writer names a service that the configuration does not have.

#[path = "common/lab.rs"]
mod lab;

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lab::{
    BROKEN, Clients, Deployment, HELD, NOT_RUN, Record, Run, Sent, has_trouble, post, unix_millis,
};

const SERVICES: [&str; 2] = ["dele69a", "xano55b"];
/// Time of the traffic before the heartbeat and after it.
const BEFORE: Duration = Duration::from_secs(10);
const AFTER: Duration = Duration::from_secs(15);

fn main() {
    let record = Record::new();
    let code = play(&record);
    record.write(Path::new(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into())));
    std::process::exit(code);
}

fn play(record: &Arc<Record>) -> i32 {
    let deployment = Deployment::start(
        "review-foreign",
        &[
            ("lhr-a", SERVICES[0]),
            ("khi-a", SERVICES[0]),
            ("pew-a", SERVICES[0]),
            ("lhr-a", SERVICES[1]),
        ],
        SERVICES,
        ["500ms", "600ms"],
        12,
        [Duration::from_millis(60), Duration::from_millis(48)],
        record,
    );
    let (sent, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let mut threads = Vec::new();
    for (number, machine) in deployment.machines.iter().enumerate() {
        let clients = Clients {
            machine: machine.clone(),
            per_second: 20.0,
            share_unsafe: 0.2,
            share_archive: 0.08,
            share_added: 0.0,
            deadline: Duration::from_millis(500),
        };
        threads.extend(clients.start(8, number as u64 + 1, record, &sent, &stop));
    }
    std::thread::sleep(BEFORE);
    let at = record.seconds();
    if has_trouble() {
        let machine = &deployment.machines[0];
        // Nothing listens at this address.
        let address = std::net::SocketAddr::from((lab::machine_address(1), 8199));
        let body = format!(
            "{{\"address\":\"{address}\",\"born\":{},\"info\":{{\"service\":\"zuvo77q\",\
             \"version\":\"v1\",\"zone\":\"{}\",\"slots\":12}},\"status\":{{\"state\":\"ready\",\
             \"sequence\":4,\"cold_remaining\":\"0ms\"}}}}",
            unix_millis(),
            machine.zone
        );
        let answer = post(machine.control, "/api/Instances.Heartbeat/i-other-writer", &body);
        record.tell(format!(
            "{} gets a heartbeat of another writer with the service zuvo77q, which no \
             configuration has; status {}",
            machine.name,
            answer.map_or(0, |answer| answer.status)
        ));
    }
    std::thread::sleep(AFTER);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let sent = sent.lock().unwrap().clone();
    let runs = deployment.runs.lock().unwrap().clone();
    judge(record, &sent, &runs, at)
}

fn judge(record: &Record, sent: &[Sent], runs: &[Run], at: f64) -> i32 {
    let by_id: HashMap<&str, &Sent> = sent.iter().map(|sent| (&*sent.id, sent)).collect();
    let served = |sent: &&Sent| sent.status == 200;
    let early = sent.iter().filter(|sent| sent.at < at);
    let late = sent.iter().filter(|sent| sent.at >= at);
    record.tell(format!(
        "served before: {} of {}; after: {} of {}",
        early.clone().filter(served).count(),
        early.count(),
        late.clone().filter(served).count(),
        late.count()
    ));
    for instance in runs.iter().map(|run| &run.instance).collect::<std::collections::BTreeSet<_>>()
    {
        let of = |is_late: bool| {
            runs.iter().filter(|run| run.instance == *instance && (run.at >= at) == is_late).count()
        };
        record.tell(format!("{instance} ran {} before, {} after", of(false), of(true)));
    }
    if !sent.iter().any(|sent| sent.at < at && sent.status == 200) {
        record.tell("no request was served before the heartbeat");
        return NOT_RUN;
    }
    let wrong: Vec<&Run> = runs
        .iter()
        .filter(|run| by_id.get(&*run.id).is_none_or(|sent| sent.service != run.caller))
        .collect();
    for run in wrong.iter().take(5) {
        let began = by_id.get(&*run.id).map_or("no client", |sent| &*sent.machine);
        record.tell(format!(
            "at {:.3} {} ran {} {}, which began on {began}, with Bronzeport-Caller-Service {}",
            run.at, run.instance, run.id, run.path, run.caller
        ));
    }
    if wrong.is_empty() {
        record.tell("UNASKED held");
        return HELD;
    }
    record.tell(format!(
        "UNASKED broken: {} of {} runs name a wrong caller service",
        wrong.len(),
        runs.len()
    ));
    BROKEN
}
