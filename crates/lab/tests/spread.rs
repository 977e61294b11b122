//! How a change of the configuration reaches all daemons while some do not hear the store.

use std::net::SocketAddr;
use std::time::Duration;

use lab::fleet::{wait_until, with_store};
use lab::proxy::Fault;
use lab::soak::host::Mesh;
use serde_json::json;

/// Three hosts in each of three data centres, started in turn.
const HOSTS: usize = 9;
/// The hosts that started first in their data centres.
const EARLY_HOSTS: usize = 6;
/// Time limit for a change, shorter than a daemon waits for a response of the feed.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Writes a configuration with a single path to the store, as an operator does.
fn publish(mesh: &Mesh, prefix: &str) {
    let path = json!({
        "name": "r", "prefix": prefix, "kind": "safe", "timeout": "5s",
        "service": "desk", "max_attempts": 2,
    });
    let config = json!({
        "version": 1000,
        "services": [{ "name": "desk", "health_path": "/healthz" }],
        "virtual_hosts": [{ "hostname": "soak.example", "paths": [path] }],
    });
    let write = store::Write {
        key: "op/config".into(),
        condition: store::Condition::Always,
        value: config.to_string().into(),
    };
    with_store(mesh.store(), async |store| store.commit(vec![write]).await);
}

fn status(entry: SocketAddr, path: &str) -> u16 {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build();
    let request = ureq::http::Request::builder()
        .uri(format!("http://{entry}{path}"))
        .header("host", "soak.example")
        .header("bronzeport-request-id", "probe")
        .header("bronzeport-deadline-ms", "900")
        .body(())
        .expect("a valid request");
    let response = ureq::Agent::new_with_config(config).run(request);
    response.expect("the daemon answers").status().as_u16()
}

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
    publish(&mesh, "/added/");
    for host in 0..HOSTS {
        let is_in_force = || status(mesh.callers(host), "/added/x") != 404;
        let waited = wait_until(TIMEOUT, is_in_force);
        assert!(waited.is_some(), "host {host} has the old configuration after {TIMEOUT:?}");
    }
}
