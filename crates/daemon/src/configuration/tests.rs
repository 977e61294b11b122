//! Lookups made while the configuration comes into force.

use config::{Findings, PathRule, Repeat, RequestLimits, RouteTable, WeightedService};
use kernel::{Kernel, ReplyReceiver};

use super::*;

/// Returns a route table of revision 3 with one path, whatever the text is.
fn read_table(_: &str) -> Result<RouteTable, Findings> {
    let path = PathRule {
        name: "read".into(),
        hostname: "a.example".into(),
        prefix: "/read/".into(),
        traffic_split: vec![WeightedService { service: "desk".into(), weight: 1 }],
        repeat: Repeat::Safe,
        answer_within: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        rank: 0,
        max_attempts: 2,
        is_public: false,
    };
    let limits = RequestLimits {
        max_header_bytes: 8192,
        max_body_bytes: 8192,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    Ok(RouteTable::new(3, [path], [], limits))
}

/// Returns the task of a daemon that has no configuration yet. The other services are
/// registered but handle no messages.
fn task(kernel: &Kernel) -> Task {
    let _inboxes = (
        kernel.register::<router::Message>(names::ROUTER),
        kernel.register::<guard::Message>(names::GUARD),
        kernel.register::<membership::Message>(names::MEMBERSHIP),
        kernel.register::<quota::Message>(names::QUOTA),
    );
    let (mailbox, _) = kernel::mailbox();
    Task {
        kernel: kernel.clone(),
        mailbox,
        active_config: ActiveConfig::with_route_table(read_table),
        uses_route_table: true,
        is_pulling: false,
        has_synced: false,
        confirmed_at: None,
        poll_interval: MIN_POLL_INTERVAL,
        older_in_store: None,
    }
}

fn look_up(task: &mut Task, path: &str) -> ReplyReceiver<Lookup<MatchedPath>> {
    let (reply, receiver) = kernel::reply();
    task.handle(Message::Path { hostname: "a.example".into(), path: path.into(), reply });
    receiver
}

/// Guards against a 404 from a daemon that has just started. It happened when a path was
/// looked up before the route table arrived and a second request, made afterwards, found
/// the daemon ready. 31 callers got such a response in the benchmark munadi-net trouble-3
/// of 2026-12-04.
#[test]
fn lookups_before_the_route_table_arrives_report_not_ready() {
    let kernel = Kernel::paused().expect("a runtime");
    kernel.run(async {
        let mut task = task(&kernel);
        let before = look_up(&mut task, "/read/x");
        task.handle(Message::RouteTableRead { text: "any".into() });
        let after = look_up(&mut task, "/read/x");
        let unknown = look_up(&mut task, "/none/x");
        assert!(matches!(before.wait().await, Some(Lookup::NotReady)));
        assert!(matches!(after.wait().await, Some(Lookup::Found(_))));
        assert!(matches!(unknown.wait().await, Some(Lookup::Unknown)));
    });
}
