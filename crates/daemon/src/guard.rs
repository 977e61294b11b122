//! The service that protects the target beside this daemon.
//!
//! It owns the admission controller, the cache of claimed requests and the list of
//! requests that are held back after crashes. Each running request is a separate task;
//! dropping the task closes its connection to the target.

mod coldness;
mod duplicates;
mod evacuation;
mod job;
mod notice_log;
mod rate_limit;
mod target_state;
mod task;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use admit::{
    AdmissionController, Discipline, Hold, HoldTracker, NoticeEffect, Registration, Ticket, cold,
};
use config::TargetSettings;
use kernel::{Kernel, Mailbox, Reply};
use member::RecentRequesters;
use once::DuplicateCache;
use route::{Load, Node, RequestStats};
use wire::{Answer, Request};

use crate::adapter::{Notice, ProtocolAdapter, TargetIdentity};
use crate::claims::{ClaimResult, Claims};
use crate::target::{HealthCheckResult, RunResult, Target};
use crate::{names, settings};
use rate_limit::RateObserver;
use task::Task;

/// Maximum size, in bytes, of the answers kept for duplicates of claimed requests.
const DUPLICATE_CACHE_BYTES: usize = 8 * 1024 * 1024;
/// How long the answer of a claimed request is kept.
const DUPLICATE_CACHE_TTL: Duration = Duration::from_secs(600);
/// Interval between health checks of a target that is down.
const DOWN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the latest load report after which the health page is requested.
const MAX_REPORT_AGE: Duration = Duration::from_millis(40);

/// A message to the guard.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request has arrived from an entry.
    Arrive { ticket: Ticket, request: Box<Request>, reply: Reply<Answer> },
    /// The entry no longer waits for the answer.
    Cancel { ticket: Ticket },
    /// The deadline of a request has passed: refuse the request if it still waits.
    Expire { ticket: Ticket },
    /// The attempt to claim a request has ended.
    ClaimEnded { ticket: Ticket, result: ClaimResult },
    /// A request at the target has ended.
    RunEnded { ticket: Ticket, result: RunResult, service_time: Duration },
    /// A health check of the target process `instance` has ended.
    HealthChecked { instance: Box<str>, result: HealthCheckResult },
    /// Returns the health check that is due, if any.
    DueHealthCheck { reply: Reply<Option<DueHealthCheck>> },
    /// A notice from the target. The reply confirms that it has been applied.
    Notice { notice: Notice, reply: Reply<NoticeEffect> },
    /// The configured settings of the targets of each service.
    TargetSettings(Vec<TargetSettings>),
    /// A warm-up step has passed, so that the target may have one more slot.
    WarmUpStep,
    /// The rate that the target accepts allows another start.
    StartDue,
    /// Holds that follow from crashes, here or at other daemons.
    Holds(Vec<Hold>),
    /// Returns the load.
    Load { reply: Reply<Load> },
    /// Whether the data centre of this daemon is evacuated.
    Evacuated(bool),
    /// The time has come to refuse requests because of an evacuation.
    EvacuationDue,
    /// Refuse new requests from now on.
    Leave,
    /// Returns the number of requests that wait or run.
    CountJobs { reply: Reply<usize> },
    /// Returns the state for the admin interface.
    State { reply: Reply<Status> },
}

/// A health check that is due.
#[derive(Debug)]
pub(crate) struct DueHealthCheck {
    pub(crate) target: Target,
    pub(crate) health_path: Option<Box<str>>,
}

/// The state of the guard, for the admin interface.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Status {
    pub(crate) load: Load,
    pub(crate) is_reachable: bool,
    /// Number of requests that are held back after crashes.
    pub(crate) held: usize,
    /// Number of requests in the duplicate cache.
    pub(crate) remembered_claims: usize,
}

/// Sends requests to the guard of this daemon. All clones take their tickets from the
/// same counter.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    kernel: Kernel,
    mailbox: Mailbox<Message>,
    tickets: Rc<Cell<Ticket>>,
    service: Rc<RefCell<Box<str>>>,
}

impl Handle {
    /// Service of the target beside this daemon; empty if there is no target.
    pub(crate) fn service(&self) -> Box<str> {
        self.service.borrow().clone()
    }

    /// Runs a request through the guard. Dropping the future cancels the request.
    pub(crate) async fn run(&self, request: Request) -> Option<Answer> {
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        let remaining = request.remaining;
        let (reply, receiver) = kernel::reply();
        let mut cancel = CancelOnDrop { mailbox: self.mailbox.clone(), ticket: Some(ticket) };
        let request = Box::new(request);
        self.mailbox.send(Message::Arrive { ticket, request, reply });
        let (clock, mailbox) = (*self.kernel.clock(), self.mailbox.clone());
        let expiry = self.kernel.spawn(async move {
            clock.sleep(remaining).await;
            mailbox.send(Message::Expire { ticket });
        });
        let answer = receiver.wait().await;
        drop(expiry);
        if answer.is_some() {
            cancel.ticket = None;
        }
        answer
    }
}

/// Cancels a request when the future that waits for its answer is dropped.
struct CancelOnDrop {
    mailbox: Mailbox<Message>,
    /// The request to cancel; `None` once the request has been answered.
    ticket: Option<Ticket>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.mailbox.send(Message::Cancel { ticket });
        }
    }
}

/// Starts the service and returns a handle to it.
pub(crate) fn start(
    kernel: &Kernel,
    node: Node,
    adapter: ProtocolAdapter,
    target: Option<&settings::Target>,
    discipline: Discipline,
    is_cold_until_configured: bool,
) -> Handle {
    let inbox = kernel.register::<Message>(names::GUARD);
    let mailbox = kernel.service::<Message>(names::GUARD);
    let slots = target.map_or(1, |target| target.slots);
    let default_connections = target.map_or(u16::MAX, |target| target.connections);
    let service = target.map_or("".into(), |target| target.service.clone());
    let service = Rc::new(RefCell::new(service));
    let now = kernel.clock().now();
    let registration = target.map_or_else(
        || Registration::new(now),
        |target| Registration::for_target(now, target.service.clone(), target.address),
    );
    let target = target.map(|target| {
        let identity = TargetIdentity { instance: "".into(), address: target.address };
        Target::new(kernel, adapter, identity, slots)
    });
    if target.is_some() {
        kernel.start(run_health_checks(kernel.clone(), mailbox.clone()));
    }
    let mut task = Task {
        kernel: kernel.clone(),
        mailbox,
        journal: kernel.service(names::JOURNAL),
        claims: Claims::new(kernel),
        node,
        adapter,
        is_reachable: false,
        is_checked: false,
        target,
        service: service.clone(),
        registration: adapter.read_notice.map(|_| registration),
        target_settings: Vec::new(),
        has_settings: false,
        was_cold: false,
        evacuated_since: None,
        default_connections,
        pace_report: None,
        recent_requesters: RecentRequesters::default(),
        published_load: Load::default(),
        request_stats: RequestStats::default(),
        controller: AdmissionController::with_discipline(slots, discipline),
        duplicate_cache: DuplicateCache::new(DUPLICATE_CACHE_BYTES, DUPLICATE_CACHE_TTL),
        holds: HoldTracker::default(),
        jobs: HashMap::new(),
        waiting_duplicates: HashMap::new(),
        crash_tickets: HashSet::new(),
        last_health_check: None,
        page_state: None,
        rate_observer: RateObserver::default(),
    };
    task.limit_connections();
    if is_cold_until_configured {
        let limit = Some(cold::Limit::before_configuration());
        task.controller.set_cold_limit(kernel.clock().now(), limit);
    }
    kernel.start(task.run(inbox));
    Handle {
        kernel: kernel.clone(),
        mailbox: kernel.service(names::GUARD),
        tickets: Rc::default(),
        service,
    }
}

/// Checks the health of the target whenever a check is due.
async fn run_health_checks(kernel: Kernel, mailbox: Mailbox<Message>) {
    loop {
        if let Some(due) =
            mailbox.request(|reply| Message::DueHealthCheck { reply }).await.flatten()
        {
            let instance = due.target.identity().instance.clone();
            let result = due.target.check_health(due.health_path.as_deref()).await;
            mailbox.send(Message::HealthChecked { instance, result });
        }
        kernel.clock().sleep(MAX_REPORT_AGE).await;
    }
}

/// The latest pace that the target has reported.
#[derive(Debug, Clone, Copy)]
struct PaceReport {
    /// Pace in percent; 0 if the target does not report it.
    pace: u16,
    at: Instant,
}
