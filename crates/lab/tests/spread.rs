//! How a change of the configuration reaches all daemons while some do not hear the store.

mod common;

use std::time::Duration;

use lab::fleet::wait_until;
use lab::proxy::Fault;
use lab::soak::host::Mesh;
use serde_json::json;

/// Three hosts in each of three data centres, started in turn.
const HOSTS: usize = 9;
/// The hosts that started first in their data centres.
const EARLY_HOSTS: usize = 6;
/// Time limit for a change, shorter than a daemon waits for a response of the feed.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The daemons that waited for changes got no response from the store. They were alive, so the
/// others waited for them up to 21 s (issue 35).
#[test]
fn a_change_is_in_force_while_the_store_is_silent_towards_the_feed_readers() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let mesh = Mesh::start(HOSTS, 7, None).expect("the processes start");
    // The feed readers are known a second after the last start.
    std::thread::sleep(Duration::from_secs(2));
    for host in 0..EARLY_HOSTS {
        mesh.set_store_link_fault(host, Fault::Freeze);
    }
    let services = json!([{ "name": "desk", "health_path": "/healthz" }]);
    common::publish(&mesh, "/added/", "safe", &services);
    for host in 0..HOSTS {
        let is_in_force = || common::read_status(mesh.callers(host), "/added/x", "probe") != 404;
        let waited = wait_until(TIMEOUT, is_in_force);
        assert!(waited.is_some(), "host {host} has the old configuration after {TIMEOUT:?}");
    }
}
