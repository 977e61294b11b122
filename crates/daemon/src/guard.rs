//! The service that stands before the target beside this daemon.
//!
//! It owns the gate, the ledger of claimed requests and the list of requests
//! that are held back. Each request that runs is a task of its own, which ends
//! the connection to the target when it is dropped.

mod belief;
mod copies;
mod job;
mod task;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use admit::{AdmissionController, Discipline, Hold, HoldTracker, Registration, Ticket};
use config::TargetSettings;
use kernel::{Kernel, Mailbox, Reply};
use member::RecentRequesters;
use once::DuplicateCache;
use route::{Load, Node, RequestStats};
use wire::{Answer, Request};

use crate::claims::{Claimed, Claims};
use crate::edge::{Edge, Identity, Notice};
use crate::target::{Look, Run, Target};
use crate::{names, settings};
use task::Task;

/// Bytes of answers kept for copies of requests that may not be repeated.
const LEDGER_BYTES: usize = 8 * 1024 * 1024;
/// How long such an answer is kept.
const LEDGER_AGE: Duration = Duration::from_secs(600);
/// Time between two looks whether a target that was down is back.
const WATCH_EVERY: Duration = Duration::from_millis(100);
/// Age of a target's report of its load at which its health page is looked at.
const REPORT_AGE: Duration = Duration::from_millis(40);

/// What the service is asked and told.
#[derive(Debug)]
pub(crate) enum Ask {
    /// Run a request.
    Arrive { ticket: Ticket, request: Box<Request>, reply: Reply<Answer> },
    /// The side that asked has gone.
    Cancel { ticket: Ticket },
    /// The time of a request is over: refuse it if it still waits.
    Expire { ticket: Ticket },
    /// A claim has ended.
    Claimed { ticket: Ticket, claimed: Claimed },
    /// A request at the target has ended.
    Ran { ticket: Ticket, run: Run, service: Duration },
    /// A look at the target has ended.
    Looked { instance: Box<str>, look: Look },
    /// Give the target if a look at it is due.
    Due { reply: Reply<Option<Due>> },
    /// The target says something of itself. The answer tells that it is known.
    Notice { notice: Notice, reply: Reply<()> },
    /// What is stated of the targets of each service.
    Endpoints(Vec<TargetSettings>),
    /// The target may have one more slot by now.
    WarmUp,
    /// News of crashes.
    Holds(Vec<Hold>),
    /// Give the load.
    Load { reply: Reply<Load> },
    /// Take no new requests.
    Leave,
    /// Give the number of requests that wait or run.
    Busy { reply: Reply<usize> },
    /// Give the state for people.
    State { reply: Reply<Status> },
}

/// A look at the target that is due.
#[derive(Debug)]
pub(crate) struct Due {
    pub(crate) target: Target,
    pub(crate) health_path: Option<Box<str>>,
}

/// The state of the guard for people.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Status {
    pub(crate) load: Load,
    pub(crate) is_reachable: bool,
    pub(crate) held: usize,
    pub(crate) ledger: usize,
}

/// Sends requests to the guard of this daemon. All clones draw their tickets
/// from one counter.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    kernel: Kernel,
    mailbox: Mailbox<Ask>,
    tickets: Rc<Cell<Ticket>>,
    service: Rc<RefCell<Box<str>>>,
}

impl Handle {
    /// Service of the target beside this daemon; empty if there is none.
    pub(crate) fn service(&self) -> Box<str> {
        self.service.borrow().clone()
    }

    /// Has the guard run a request. Dropping the future cancels it.
    pub(crate) async fn run(&self, request: Request) -> Option<Answer> {
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        let remaining = request.remaining;
        let (reply, waiter) = kernel::reply();
        let mut cancel = Cancel { mailbox: self.mailbox.clone(), ticket: Some(ticket) };
        let request = Box::new(request);
        self.mailbox.send(Ask::Arrive { ticket, request, reply });
        let (clock, mailbox) = (*self.kernel.clock(), self.mailbox.clone());
        let expiry = self.kernel.spawn(async move {
            clock.sleep(remaining).await;
            mailbox.send(Ask::Expire { ticket });
        });
        let answer = waiter.wait().await;
        drop(expiry);
        if answer.is_some() {
            cancel.ticket = None;
        }
        answer
    }
}

struct Cancel {
    mailbox: Mailbox<Ask>,
    /// The request to cancel; `None` once it has its answer.
    ticket: Option<Ticket>,
}

impl Drop for Cancel {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.mailbox.send(Ask::Cancel { ticket });
        }
    }
}

/// Starts the service and gives the way to it.
pub(crate) fn start(
    kernel: &Kernel,
    node: Node,
    edge: Edge,
    target: Option<&settings::Target>,
    discipline: Discipline,
) -> Handle {
    let inbox = kernel.register::<Ask>(names::GUARD);
    let mailbox = kernel.service::<Ask>(names::GUARD);
    let slots = target.map_or(1, |target| target.slots);
    let connections = target.map_or(u16::MAX, |target| target.connections);
    let service = target.map_or("".into(), |target| target.service.clone());
    let service = Rc::new(RefCell::new(service));
    let target = target.map(|target| {
        let identity = Identity { instance: "".into(), address: target.address };
        Target::new(kernel, edge, identity, slots)
    });
    if target.is_some() {
        kernel.start(watch(kernel.clone(), mailbox.clone()));
    }
    let mut task = Task {
        kernel: kernel.clone(),
        mailbox,
        journal: kernel.service(names::JOURNAL),
        claims: Claims::new(kernel),
        node,
        edge,
        is_reachable: false,
        target,
        service: service.clone(),
        standing: edge.read_notice.map(|_| Registration::default()),
        endpoints: Vec::new(),
        connections,
        report: None,
        askers: RecentRequesters::default(),
        told: Load::default(),
        works: RequestStats::default(),
        gate: AdmissionController::with_discipline(slots, discipline),
        ledger: DuplicateCache::new(LEDGER_BYTES, LEDGER_AGE),
        holds: HoldTracker::default(),
        jobs: HashMap::new(),
        joined: HashMap::new(),
        crash: HashSet::new(),
        looked_at: None,
    };
    task.bound_connections();
    kernel.start(task.run(inbox));
    Handle {
        kernel: kernel.clone(),
        mailbox: kernel.service(names::GUARD),
        tickets: Rc::default(),
        service,
    }
}

/// Has the target looked at whenever that is due.
async fn watch(kernel: Kernel, mailbox: Mailbox<Ask>) {
    loop {
        if let Some(due) = mailbox.request(|reply| Ask::Due { reply }).await.flatten() {
            let instance = due.target.identity().instance.clone();
            let look = due.target.look(due.health_path.as_deref()).await;
            mailbox.send(Ask::Looked { instance, look });
        }
        kernel.clock().sleep(REPORT_AGE).await;
    }
}

/// What a target has last said of its load.
#[derive(Debug, Clone, Copy)]
struct Heard {
    pace: u16,
    at: Instant,
}
