//! Daemons in data centres that count as far from each other.

mod common;

use std::time::Duration;

use common::{call, plan};
use lab::fleet::{Fleet, wait_until};

/// Starts a fleet in three data centres; the least round trip makes all of them far.
fn start(targets: usize, is_far: bool) -> Fleet {
    let mut plan = plan(targets, 4, Duration::from_millis(5), 1);
    plan.data_centres = ["lahore-1", "kasur-1", "multan-1"].map(Box::from).to_vec();
    let mut fleet = Fleet::start_platform(plan).expect("the platform starts");
    fleet.publish_initial().expect("the files are published");
    for index in 0..fleet.hosts.len() {
        if is_far {
            fleet.set_daemon_flag(index, "--locality-rtt", "0s");
        }
    }
    fleet.start_hosts().expect("the hosts start");
    fleet.wait_until_ready(Duration::from_secs(30)).expect("the fleet is ready");
    fleet
}

/// Mean of the bytes to other data centres over 5 s for each daemon and second.
fn remote_rate(fleet: &Fleet) -> f64 {
    let sum = || -> f64 {
        let name = "bronzeport_traffic_bytes_total";
        fleet.hosts.iter().map(|host| host.counter_with(name, "data_centre=\"remote\"")).sum()
    };
    let before = sum();
    std::thread::sleep(Duration::from_secs(5));
    (sum() - before) / 5.0 / fleet.hosts.len() as f64
}

/// An idle fleet of 87 moved 4 KB/s for a daemon between data centres; the aim is 0.8 KB/s.
#[test]
fn an_idle_fleet_sends_little_between_data_centres() {
    let fleet = start(9, true);
    std::thread::sleep(Duration::from_secs(5));
    let remote = remote_rate(&fleet);
    println!("{remote:.0} B/s for a daemon to other data centres");
    assert!(remote < 800.0, "{remote} B/s");
}

/// Fewer datagrams between data centres must not hide a lost host, and calls must not leave a
/// data centre with room.
#[test]
fn calls_stay_at_home_and_a_lost_host_is_noticed_elsewhere() {
    let mut fleet = start(6, true);
    let entry = fleet.hosts[0].callers;
    std::thread::sleep(Duration::from_secs(8));
    for number in 0..40 {
        let response = call(entry, "GET", "/read/1", &format!("r{number}"), "");
        assert_eq!(response.status, 200, "{response:?}");
    }
    let sent = |label: &str| fleet.hosts[0].counter_with("bronzeport_traffic_bytes_total", label);
    let remote = sent("kind=\"calls\",data_centre=\"remote\"");
    assert_eq!(remote, 0.0, "calls left a data centre with room");
    fleet.hosts[4].daemon = None;
    let lost = fleet.hosts[4].peers.to_string();
    let is_lost = |host: &lab::fleet::Host| {
        let state = host.state().unwrap_or_default();
        let members = state["members"].as_array().cloned().unwrap_or_default();
        members.iter().any(|member| member["address"] == *lost && member["state"] == "lost")
    };
    let others = [0, 1, 2, 3, 5];
    let all_know = || others.iter().all(|index| is_lost(&fleet.hosts[*index]));
    let time = wait_until(Duration::from_secs(20), all_know);
    println!("a lost host is known everywhere after {time:?}");
    assert!(time.is_some());
}
