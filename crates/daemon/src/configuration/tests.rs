//! What is told of a request while the configuration comes into force.

use config::{Findings, PathRule, Repeat, RequestLimits, RouteTable, WeightedService};
use kernel::{Kernel, ReplyReceiver};

use super::*;

/// A table of revision 3 with one path, whatever is read.
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
    };
    let bounds = RequestLimits {
        max_header_bytes: 8192,
        max_body_bytes: 8192,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    Ok(RouteTable::new(3, [path], [], bounds))
}

/// A daemon's configuration before anything is known, among services that only listen.
fn task(kernel: &Kernel) -> Task {
    let _listening = (
        kernel.register::<router::Message>(names::ROUTER),
        kernel.register::<guard::Ask>(names::GUARD),
        kernel.register::<membership::Ask>(names::MEMBERSHIP),
    );
    let (mailbox, _) = kernel::mailbox();
    Task {
        kernel: kernel.clone(),
        mailbox,
        book: ActiveConfig::with_route_table(read_table),
        has_table: true,
        is_pulling: false,
        is_ready: false,
        confirmed: None,
        poll_every: POLL_MIN,
    }
}

fn look_up(task: &mut Task, path: &str) -> ReplyReceiver<Lookup<Found>> {
    let (reply, waiter) = kernel::reply();
    task.take(Ask::Path { hostname: "a.example".into(), path: path.into(), reply });
    waiter
}

/// Bench, munadi-net trouble-3, 2026-12-04: 31 callers of daemons that had just started
/// were told 404. Their paths were looked up before the table was there, and whether the
/// daemon could judge was asked after it.
#[test]
fn what_was_asked_before_the_table_came_is_not_judged_by_it() {
    let kernel = Kernel::paused().expect("a runtime");
    kernel.run(async {
        let mut task = task(&kernel);
        let early = look_up(&mut task, "/read/x");
        task.take(Ask::Table { text: "any".into() });
        let late = look_up(&mut task, "/read/x");
        let unknown = look_up(&mut task, "/none/x");
        assert!(matches!(early.wait().await, Some(Lookup::NotReady)));
        assert!(matches!(late.wait().await, Some(Lookup::Found(_))));
        assert!(matches!(unknown.wait().await, Some(Lookup::Unknown)));
    });
}
