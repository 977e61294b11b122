//! A daemon from its start to its stop.

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use admit::Discipline;
use kernel::{Kernel, Mailbox, SignalAction, Signals};
use member::{Member, State};
use metrics_exporter_prometheus::PrometheusBuilder;
use route::Policy;
use store::Store;
use tokio::net::TcpStream;
use web::{BusyConnections, Limits, ServerHandle};
use wire::{RpcHandler, RpcReply, RpcRequest, Uplink};

use crate::edge::Edge;
use crate::entry::Entry;
use crate::logs::Log;
use crate::settings::Settings;
use crate::{
    admin, configuration, guard, journal, membership, names, peers, router, storage, surroundings,
};

/// Bounds of what callers may take up.
const CALLER_LIMITS: Limits = Limits {
    header_timeout: Duration::from_secs(10),
    max_header_bytes: 64 * 1024,
    max_headers: 64,
    body_timeout: Duration::from_secs(10),
    max_body_bytes: wire::MAX_BODY_BYTES,
    max_connections: 4096,
};
/// Connections of other daemons at a time.
const MAX_PEER_CONNECTIONS: usize = 8192;
/// Time limit of a peer's hello.
const HELLO_TIME: Duration = Duration::from_secs(2);
/// Time between two looks whether all requests are finished.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Why a daemon did not start.
#[derive(Debug)]
pub(crate) struct StartError {
    what: Box<str>,
    cause: io::Error,
}

/// How a daemon has stopped.
#[derive(Debug)]
struct Stopped {
    /// Calls answered since the start.
    finished: u64,
    /// Requests that were cut off.
    cut: usize,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.what, self.cause)
    }
}

impl std::error::Error for StartError {}

pub(crate) trait Describe<T> {
    fn describe(self, what: impl FnOnce() -> String) -> Result<T, StartError>;
}

impl<T> Describe<T> for io::Result<T> {
    fn describe(self, what: impl FnOnce() -> String) -> Result<T, StartError> {
        self.map_err(|cause| StartError { what: what().into(), cause })
    }
}

/// Runs a daemon until a signal has stopped it, and writes its log. The exit code
/// tells of a daemon that did not start; the cause is on standard error.
pub fn run(settings: Settings, edge: Edge) -> ExitCode {
    let log = Log::start(&settings);
    let code = match serve(settings, edge) {
        Ok(stopped) => {
            log::info!("stopped: {} calls answered, {} cut off", stopped.finished, stopped.cut);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    };
    log.finish();
    code
}

fn serve(settings: Settings, edge: Edge) -> Result<Stopped, StartError> {
    let kernel = Kernel::new().describe(|| "runtime".into())?;
    let seed = match settings.seed {
        0 => fastrand::u64(..),
        seed => seed,
    };
    fastrand::seed(seed);
    let node = new_node(settings.clock_behind);
    let main = async {
        let mut signals = Signals::subscribe().describe(|| "signals".into())?;
        let running = start(&kernel, &settings, edge, node, seed)?;
        log::info!("node {node:016x} serves callers at {}", settings.listen);
        signals.wait_for(|asked| asked != SignalAction::Reload, log_reload).await;
        Ok(stop(&kernel, running, &mut signals, &settings).await)
    };
    kernel.run(main)
}

struct Running {
    entry: Rc<Entry>,
    callers: ServerHandle,
    surroundings: surroundings::Open,
}

fn start(
    kernel: &Kernel,
    settings: &Settings,
    edge: Edge,
    node: u64,
    seed: u64,
) -> Result<Running, StartError> {
    let callers = listen(settings.listen)?;
    let peer_listener = listen(settings.peer_listen)?;
    let socket = UdpSocket::bind(settings.peer_listen)
        .describe(|| format!("cannot bind UDP {}", settings.peer_listen))?;
    let pages = listen(settings.admin)?;
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| io::Error::other(error.to_string()))
        .describe(|| "metrics".into())?;

    let store = settings.platform.map(|at| store::Settings::at(at, edge.store));
    storage::start(kernel, store.map(|settings| Store::new(kernel, settings)));
    journal::start(kernel, node);
    let uplink = Uplink::new(settings.link);
    peers::start(kernel, uplink.clone());
    router::start(kernel, node, settings, seed);
    let discipline = match settings.policy {
        Policy::Bronzeport => Discipline::Deadline,
        _ => Discipline::Fifo,
    };
    let own = own_member(settings, node);
    let first_peers = settings.peers.clone();
    membership::start(kernel, socket, own, first_peers, settings.join_within, seed)
        .describe(|| "gossip".into())?;
    let guard = guard::start(kernel, node, edge, settings.target.as_ref(), discipline);
    configuration::start(kernel, edge, &settings.peers, settings.join_within);
    serve_peers(kernel, peer_listener, uplink, answering(kernel, node, guard.clone()))
        .describe(|| "daemons' port".into())?;
    admin::start(kernel, pages, node, metrics).describe(|| "admin pages".into())?;

    let surroundings = surroundings::open(kernel, settings, edge)?;
    let entry = Entry::new(kernel, node, edge, settings.max_depth, guard);
    let handler = entry.clone();
    let callers = web::serve(
        kernel,
        callers,
        CALLER_LIMITS,
        Rc::new(move |arrival| Box::pin(handler.clone().handle(arrival))),
    )
    .describe(|| "callers' port".into())?;
    Ok(Running { entry, callers, surroundings })
}

/// Announces that the target takes no new work.
pub(crate) fn leave(kernel: &Kernel) {
    log::info!("leaving: no new requests are taken");
    let guard: Mailbox<guard::Ask> = kernel.service(names::GUARD);
    guard.send(guard::Ask::Leave);
    let membership: Mailbox<membership::Ask> = kernel.service(names::MEMBERSHIP);
    membership.send(membership::Ask::Leave);
}

/// Refuses new work, finishes what is in flight and says so.
async fn stop(
    kernel: &Kernel,
    running: Running,
    signals: &mut Signals,
    settings: &Settings,
) -> Stopped {
    let within = settings.stop_within;
    let Running { entry, callers, surroundings } = running;
    let busy = callers.busy_connections();
    surroundings.leave();
    // A target that announces itself may stay while its daemon is replaced, and
    // tells when it leaves. It serves others until the callers here are gone.
    let does_target_stay = settings.announce.is_some();
    if does_target_stay {
        log::info!("stopping: callers are sent elsewhere");
    } else {
        leave(kernel);
    }
    // Callers that are connected are served once more, and told to close. Where
    // something asks for readiness, it takes a while until no new ones come.
    let callers = match settings.ready {
        Some(_) => Some(callers),
        None => {
            drop(callers);
            None
        }
    };
    entry.leave();
    let finish = async {
        kernel.clock().sleep(settings.linger.min(within)).await;
        drop(callers);
        if does_target_stay {
            leave(kernel);
        }
        entry.refuse();
        while in_flight(kernel, &entry, &busy).await > 0 {
            kernel.clock().sleep(STOP_POLL).await;
        }
    };
    let forced = async {
        // A supervisor may ask more than once; only a person ends the wait.
        signals.wait_for(|asked| asked == SignalAction::Interrupt, log_reload).await;
        log::warn!("an interrupt ends the wait");
    };
    let finish = futures_lite::future::or(finish, forced);
    if kernel.clock().timeout(within, finish).await.is_err() {
        log::warn!("the wait for requests in flight is over");
    }
    let cut = in_flight(kernel, &entry, &busy).await;
    let membership: Mailbox<membership::Ask> = kernel.service(names::MEMBERSHIP);
    membership.send(membership::Ask::Left);
    // The answer shows that the announcement has been sent.
    let _ = membership.request(|reply| membership::Ask::Count { reply }).await;
    kernel.clock().sleep(STOP_POLL).await;
    Stopped { finished: entry.finished(), cut }
}

/// Flags and environment variables of a process do not change while it runs; a
/// new process takes the new ones.
fn log_reload() {
    log::info!("asked to reload: the settings of this process stay until its next start");
}

/// Requests without an answer, and callers whose answers are still being written.
async fn in_flight(kernel: &Kernel, entry: &Entry, busy: &BusyConnections) -> usize {
    let guard: Mailbox<guard::Ask> = kernel.service(names::GUARD);
    let guarded = guard.request(|reply| guard::Ask::Busy { reply }).await.unwrap_or(0);
    entry.in_flight().max(busy.count()) + guarded
}

pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).describe(|| format!("cannot listen on {address}"))
}

fn own_member(settings: &Settings, node: u64) -> Member {
    let target = settings.target.as_ref();
    Member {
        node,
        incarnation: 0,
        state: State::Alive,
        address: settings.peer_address.unwrap_or(settings.peer_listen).to_string().into(),
        data_centre: settings.data_centre.clone(),
        service: target.map_or("".into(), |target| target.service.clone()),
        slots: target.map_or(0, |target| target.slots),
    }
}

/// A number that grows with time: milliseconds since 1970 and 20 random bits.
fn new_node(clock_behind: Duration) -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let since = since.saturating_sub(clock_behind);
    let mut random = fastrand::Rng::new();
    ((since.as_millis() as u64) << 20) | u64::from(random.u32(..1 << 20))
}

/// Accepts connections of other daemons.
fn serve_peers(
    kernel: &Kernel,
    listener: TcpListener,
    uplink: Uplink,
    answering: RpcHandler,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let open = Rc::new(());
    let acceptor = kernel.clone();
    kernel.start(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                acceptor.clock().sleep(STOP_POLL).await;
                continue;
            };
            if Rc::strong_count(&open) <= MAX_PEER_CONNECTIONS {
                let (uplink, answering) = (uplink.clone(), answering.clone());
                acceptor.start(serve_peer(stream, from, uplink, answering, open.clone()));
            }
        }
    });
    Ok(())
}

async fn serve_peer(
    stream: TcpStream,
    from: SocketAddr,
    uplink: Uplink,
    answering: RpcHandler,
    _open: Rc<()>,
) {
    if let Err(error) = wire::serve(stream, HELLO_TIME, uplink, answering).await {
        metrics::counter!("bronzeport_peer_refused_total").increment(1);
        log::debug!("connection of {from} refused: {error}");
    }
}

/// Answers the questions of other daemons by the services here.
fn answering(kernel: &Kernel, node: u64, calls: guard::Handle) -> RpcHandler {
    let guard: Mailbox<guard::Ask> = kernel.service(names::GUARD);
    let configuration: Mailbox<configuration::Ask> = kernel.service(names::CONFIGURATION);
    let membership: Mailbox<membership::Ask> = kernel.service(names::MEMBERSHIP);
    let journal: Mailbox<journal::Message> = kernel.service(names::JOURNAL);
    Rc::new(move |question| {
        let (guard, calls) = (guard.clone(), calls.clone());
        let (configuration, membership) = (configuration.clone(), membership.clone());
        let journal = journal.clone();
        Box::pin(async move {
            match question {
                RpcRequest::Call(request) => {
                    let answer = calls.run(*request).await?;
                    Some(RpcReply::Call(Box::new(answer)))
                }
                RpcRequest::Load => {
                    guard.request(|reply| guard::Ask::Load { reply }).await.map(RpcReply::Load)
                }
                RpcRequest::Changes { after } => {
                    let ask = |reply| configuration::Ask::Changes { after, reply };
                    configuration.request(ask).await.map(RpcReply::Changes)
                }
                RpcRequest::Members { digests } => {
                    let ask = |reply| membership::Ask::Differing { digests, reply };
                    membership.request(ask).await.map(RpcReply::Members)
                }
                RpcRequest::Explain { id } => {
                    let ask = |reply| journal::Message::Explain { id, reply };
                    let entries = journal.request(ask).await?;
                    let lines = entries.iter().map(|entry| entry.line(node));
                    Some(RpcReply::Explain(lines.collect()))
                }
            }
        })
    })
}
