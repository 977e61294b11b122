//! End-to-end tests with the caller, entry, guard and target as separate processes.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::{call, call_with, fleet, json, plan, runs};
use lab::fleet::{Fleet, wait_until};

#[test]
fn any_daemon_serves_a_call_and_reports_its_outcome() {
    let mut fleet = fleet(3);
    for index in 0..3 {
        let id = format!("read-{index}");
        let response = call(fleet.hosts[index].callers, "GET", "/read/7", &id, "");
        assert_eq!((response.status, &*response.outcome), (200, "ran"), "{response:?}");
        assert_eq!(json(&response.body)["id"], *id);
        assert_eq!(runs(&mut fleet, &id), 1);
    }
    let response = call(fleet.hosts[0].callers, "POST", "/orders", "order-1", "supply cut");
    assert_eq!((response.status, &*response.outcome), (200, "ran"), "{response:?}");
    assert_eq!(json(&response.body)["echo"], "supply cut");
}

#[test]
fn refusals_carry_the_right_status_reason_and_outcome() {
    let mut fleet = fleet(1);
    let entry = fleet.hosts[0].callers;
    let big = "x".repeat(2 * 1024 * 1024);
    let cases = [
        // The outcome of the first two is unknown, because a daemon with a newer configuration
        // may know the path or method and run a copy of the request.
        ("GET", "/other", "id", "", 404, "unknown-path", "unknown"),
        ("PUT", "/read/1", "id", "", 405, "unknown-method", "unknown"),
        ("PUT", "/upload", "id", &*big, 413, "too-large", "not-run"),
        ("GET", "/read/1", "\u{1}", "", 400, "bad-request", "not-run"),
    ];
    for (method, path, id, body, status, reason, outcome) in cases {
        let response = match id {
            "\u{1}" => {
                let headers = [("bronzeport-deadline-ms", "soon")];
                call_with(entry, method, path, &headers, body)
            }
            id => call(entry, method, path, id, body),
        };
        assert_eq!((response.status, &*response.reason), (status, reason), "{response:?}");
        assert_eq!(response.outcome, outcome);
    }
    let no_key = call_with(entry, "POST", "/orders", &[], "no key");
    assert_eq!((no_key.status, &*no_key.outcome), (400, "not-run"), "{no_key:?}");
    assert!(no_key.body.contains("idempotency-key"), "{no_key:?}");
    let unknown = call_with(entry, "GET", "/", &[("bronzeport-service", "x")], "");
    assert_eq!(unknown.status, 404, "{unknown:?}");
    let deep = call_with(entry, "GET", "/read/1", &[("bronzeport-depth", "32")], "");
    assert_eq!((deep.status, &*deep.reason), (508, "too-deep"), "{deep:?}");
    fleet.collect_runs();
    assert!(fleet.hosts[0].runs.is_empty());
}

/// Issue 12: on a slow link long messages are written in parts. Each must arrive complete and
/// at its own caller, also when short messages are interleaved and when callers disconnect
/// during the transfer.
#[test]
fn long_messages_arrive_intact_over_a_slow_link() {
    const LONG_BYTES: usize = 100_000;
    let mut fleet = Fleet::start_platform(plan(2, 8, Duration::from_millis(5), 1))
        .expect("the platform starts");
    for index in 0..2 {
        fleet.set_daemon_flag(index, "--link", "50");
    }
    fleet.publish_initial().expect("the publication is accepted");
    fleet.start_hosts().expect("the hosts start");
    fleet.wait_until_ready(Duration::from_secs(10)).expect("the fleet is ready");
    // Host 0 is the entry and its target is drained, so that only host 1 takes the calls.
    cli::admin::AdminClient::default()
        .post(fleet.hosts[0].admin, "/drain", &serde_json::Value::Null)
        .expect("the admin page responds");
    let entry = fleet.hosts[0].callers;
    let callers = (0..12).map(|number| {
        std::thread::spawn(move || {
            let body = format!("{number:04}").repeat(LONG_BYTES / 4);
            let id = format!("long-{number}");
            let response = match number % 3 {
                0 => {
                    let headers = [("idempotency-key", &*id), ("bronzeport-deadline-ms", "15")];
                    call_with(entry, "PUT", "/upload", &headers, &body);
                    return;
                }
                1 => call(entry, "GET", "/read/1", &id, ""),
                _ => call(entry, "PUT", "/upload", &id, &body),
            };
            assert_eq!(
                (response.status, &*response.outcome),
                (200, "ran"),
                "{id}: {}",
                response.reason
            );
            let expected = if number % 3 == 1 { "" } else { &*body };
            assert!(
                json(&response.body)["echo"] == expected,
                "{id} got the body of another request"
            );
            assert_eq!(json(&response.body)["id"], *id);
        })
    });
    let callers: Vec<_> = callers.collect();
    for caller in callers {
        caller.join().expect("the caller gets its answer");
    }
    let waits = fleet.hosts[1].counter("bronzeport_uplink_wait_seconds_count");
    assert!(waits >= 4.0, "{waits} messages waited for the uplink, expected at least 4");
}

/// Sends raw bytes and returns the bytes received until the peer closes the connection.
fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the port is open");
    stream.set_read_timeout(Some(Duration::from_secs(15))).expect("a valid timeout");
    // The peer may close the connection before all bytes are written.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}

#[test]
fn garbage_on_any_port_harms_nobody() {
    let fleet = fleet(2);
    let host = &fleet.hosts[0];
    let malformed = exchange(host.callers, b"\x00\x01garbage\r\n\r\n");
    assert!(malformed.starts_with(b"HTTP/1.1 400"), "{malformed:?}");
    let mut endless = b"GET / HTTP/1.1\r\nx: ".to_vec();
    endless.resize(1024 * 1024, b'a');
    let endless = exchange(host.callers, &endless);
    assert!(endless.is_empty() || endless.starts_with(b"HTTP/1.1 4"), "{endless:?}");
    let http = exchange(host.peers, b"GET / HTTP/1.1\r\n\r\n");
    assert!(http.starts_with(b"bronzep"), "{http:?}");
    let other_version = exchange(host.peers, b"bronzep\x63");
    assert_eq!(other_version, b"bronzep\x01");
    let mut frames = b"bronzep\x01".to_vec();
    frames.extend([0xff; 4096]);
    exchange(host.peers, &frames);
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    for datagram in [&b""[..], b"\x01", b"\x01garbage garbage", &[0xff; 1400]] {
        socket.send_to(datagram, host.peers).expect("the loopback interface accepts the datagram");
    }
    let response = call(host.callers, "GET", "/read/1", "after", "");
    assert_eq!(response.status, 200, "{response:?}");
    assert!(host.counter("bronzeport_peer_refused_total") >= 2.0);
    assert!(host.counter("bronzeport_gossip_garbage_total") >= 2.0);
}

#[test]
fn a_daemon_without_a_platform_syncs_from_its_peers() {
    let mut fleet = fleet(2);
    fleet.set_faults(&serde_json::json!({ "down": true }));
    if let Some(daemon) = &mut fleet.hosts[1].daemon {
        daemon.kill();
    }
    fleet.start_daemon(1).expect("the daemon starts");
    fleet.wait_until_ready(Duration::from_secs(10)).expect("the daemon syncs from its peer");
    let response = call(fleet.hosts[1].callers, "GET", "/read/1", "read", "");
    assert_eq!(response.status, 200, "{response:?}");
    let state = fleet.hosts[1].state().expect("the state page is available");
    assert_eq!(state["revision_may_be_old"], true);
}

#[test]
fn sigterm_finishes_what_is_in_flight_and_loses_nothing() {
    let plan = common::plan(2, 4, Duration::from_millis(600), 2);
    let mut fleet = Fleet::start(plan).expect("the fleet starts");
    let entries: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let calls: Vec<_> = (0..6)
        .map(|index| {
            let entry = entries[index % 2];
            std::thread::spawn(move || {
                call(entry, "POST", "/orders", &format!("order-{index}"), "x")
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let mut stopped = fleet.hosts[0].daemon.take().expect("the daemon is running");
    stopped.signal("TERM");
    for call in calls {
        let response = call.join().expect("the caller thread finishes");
        assert_eq!((response.status, &*response.outcome), (200, "ran"), "{response:?}");
    }
    let status = stopped.wait(Duration::from_secs(10)).expect("the daemon exits");
    assert!(status.success(), "{status}");
    let response = call(entries[1], "GET", "/read/1", "after", "");
    assert_eq!(response.status, 200, "{response:?}");
}

#[test]
fn explain_lists_the_decisions_about_a_request() {
    let fleet = fleet(2);
    let response = call(fleet.hosts[0].callers, "GET", "/read/1", "asked-for", "");
    assert_eq!(response.status, 200);
    let admin = cli::admin::AdminClient::default();
    for host in &fleet.hosts {
        let found =
            admin.get(host.admin, "/explain?id=asked-for").expect("the admin page responds");
        let lines = found["lines"].to_string();
        for part in ["arrived for desk", "sent to", "admitted", "told the caller 200 ran"] {
            assert!(lines.contains(part), "`{part}` is missing in {lines}");
        }
    }
}

#[test]
fn a_publication_takes_effect_everywhere_and_is_never_reverted() {
    let fleet = fleet(4);
    let body = common::DESK.replace("2s", "3s");
    let revision =
        fleet.publish(&[("desk".into(), body.into())]).expect("the publication is accepted");
    let revision_of = |index: usize| {
        fleet.hosts[index].state().and_then(|state| state["revision"].as_u64()).unwrap_or(0)
    };
    let everywhere = || (0..4).all(|index| revision_of(index) == revision);
    let waited = wait_until(Duration::from_secs(4), everywhere);
    assert!(waited.is_some(), "not in force everywhere within 4 s");
    let old = serde_json::json!({
        "from": 0, "revision": 1, "changes": [{ "service": "desk", "body": common::DESK }],
    });
    let admin = cli::admin::AdminClient::default();
    admin.post(fleet.hosts[0].admin, "/changes", &old).expect("the admin page responds");
    assert_eq!(revision_of(0), revision);
}

#[test]
fn a_daemon_without_a_configuration_reports_an_unknown_outcome() {
    let mut fleet = Fleet::start_platform(common::plan(1, 4, Duration::from_millis(5), 7))
        .expect("the platform starts");
    fleet.start_hosts().expect("the hosts start");
    let host = &fleet.hosts[0];
    let is_up = || TcpStream::connect(host.callers).is_ok();
    assert!(wait_until(Duration::from_secs(10), is_up).is_some());
    let response = call(host.callers, "POST", "/orders", "early", "pay");
    assert_eq!((response.status, &*response.outcome), (503, "unknown"), "{response:?}");
    assert_eq!(response.reason, "not-ready");
    assert!(response.retry_after.is_some(), "{response:?}");
}
