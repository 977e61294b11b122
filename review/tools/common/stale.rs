//! Shared parts of the cases about a configuration that does not come into force.

#![allow(dead_code)]

use std::collections::HashMap;

use crate::lab::{
    BROKEN, Clients, Deployment, HELD, Machine, NOT_RUN, Record, Route, Run, Sent, config, fail,
    put_config, usual_routes,
};

pub const SERVICES: [&str; 2] = ["dele69a", "xano55b"];
pub const TIMEOUTS: [&str; 2] = ["500ms", "600ms"];
/// Three zones of six machines.
pub const ZONES: [&str; 3] = ["lhr-a", "khi-a", "pew-a"];
pub const MACHINES_PER_ZONE: usize = 6;
/// Bounds of the small sites, in seconds.
pub const CONTACT: f64 = 3.0;
pub const CONFIG_APPLY: f64 = 2.0;

/// Zone and service of each machine.
pub fn machines() -> Vec<(&'static str, &'static str)> {
    (0..MACHINES_PER_ZONE)
        .flat_map(|number| ZONES.map(|zone| (zone, SERVICES[usize::from(number % 3 == 2)])))
        .collect()
}

/// The clients of one machine. A quarter of their requests goes to a route that a version adds,
/// and a quarter to one that it moves.
pub fn clients(machine: &Machine) -> Clients {
    Clients {
        machine: machine.clone(),
        per_second: 12.0,
        share_unsafe: 0.15,
        share_archive: 0.25,
        share_added: 0.25,
        deadline: std::time::Duration::from_millis(600),
    }
}

/// The machines that wait for changes of the configuration, by their numbers.
pub fn feed_readers(record: &Record, deployment: &Deployment) -> Vec<usize> {
    let count = deployment.machines.len();
    let readers: Vec<usize> =
        (0..count).filter(|number| deployment.store_paths[*number].has_open_feed()).collect();
    let names: Vec<&str> =
        readers.iter().map(|number| &*deployment.machines[*number].name).collect();
    record.tell(format!(
        "{} of {count} machines wait for changes: {}",
        readers.len(),
        names.join(" ")
    ));
    readers
}

/// Writes a version of the configuration and returns when it was acknowledged.
pub fn put(
    record: &Record,
    deployment: &Deployment,
    version: u64,
    timeouts: &[&str; 2],
    has_changed_routes: bool,
) -> f64 {
    let mut routes = usual_routes(SERVICES, *timeouts);
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
    if !put_config(deployment.store_address, &config(version, SERVICES, &routes)) {
        fail("the store does not take the configuration");
    }
    let acked = record.seconds();
    record.tell(format!("version {version} is acknowledged"));
    acked
}

/// Judges the requests that were sent after `from`, when all machines that count were in touch and
/// the version that was acknowledged at `acked` had to be in force.
pub fn judge(record: &Record, sent: &[Sent], runs: &[Run], acked: f64, from: f64) -> i32 {
    let service_of: HashMap<&str, &str> =
        runs.iter().map(|run| (&*run.id, &*run.service)).collect();
    let is_old = |sent: &&Sent| {
        let is_missing = sent.path.starts_with("/added/") && sent.status == 404;
        let is_moved = sent.path.starts_with("/archive/");
        is_missing || (is_moved && service_of.get(&*sent.id).is_some_and(|s| *s == SERVICES[1]))
    };
    if !sent.iter().any(|sent| sent.at < acked && sent.status == 200) {
        record.tell("no request was served before the change");
        return NOT_RUN;
    }
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
        "CONFIG broken: {} of {} requests on the changed routes that were sent after {from:.3} by \
         machines in touch were handled as only an older version allows",
        old.len(),
        late.filter(|sent| ["/added/", "/archive/"]
            .iter()
            .any(|prefix| sent.path.starts_with(prefix)))
            .count()
    ));
    BROKEN
}
