//! Starts, runs and stops a daemon.

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

use crate::adapter::ProtocolAdapter;
use crate::entry::Entry;
use crate::logs::Log;
use crate::settings::Settings;
use crate::settlement::Claimer;
use crate::{
    admin, aux_listeners, configuration, guard, journal, membership, names, peers, quota, router,
    settlement, storage,
};

/// Limits on the connections and requests of callers.
const CALLER_LIMITS: Limits = Limits {
    header_timeout: Duration::from_secs(10),
    max_header_bytes: 64 * 1024,
    max_headers: 64,
    body_timeout: Duration::from_secs(10),
    max_body_bytes: wire::MAX_BODY_BYTES,
    max_connections: 4096,
};
/// Most concurrent connections from other daemons.
const MAX_PEER_CONNECTIONS: usize = 8192;
/// Time limit of a peer's handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a stopping daemon checks whether all requests have finished. Also the
/// wait for the last announcement to be sent, and the pause after a failed accept.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a daemon did not start.
#[derive(Debug)]
pub(crate) struct StartError {
    operation: Box<str>,
    cause: io::Error,
}

/// Summary of a daemon that has stopped.
#[derive(Debug)]
struct Stopped {
    /// Number of calls answered since the start.
    finished: u64,
    /// Number of requests that were cut off.
    cut: usize,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.operation, self.cause)
    }
}

impl std::error::Error for StartError {}

pub(crate) trait Describe<T> {
    fn describe(self, operation: impl FnOnce() -> String) -> Result<T, StartError>;
}

impl<T> Describe<T> for io::Result<T> {
    fn describe(self, operation: impl FnOnce() -> String) -> Result<T, StartError> {
        self.map_err(|cause| StartError { operation: operation().into(), cause })
    }
}

/// Runs a daemon and its log until a signal stops it. If the daemon cannot start, writes the
/// cause to standard error and returns a failure exit code.
pub fn run(settings: Settings, adapter: ProtocolAdapter) -> ExitCode {
    let log = Log::start(&settings);
    let code = match serve(settings, adapter) {
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

fn serve(settings: Settings, adapter: ProtocolAdapter) -> Result<Stopped, StartError> {
    let kernel = Kernel::new().describe(|| "cannot create the runtime".into())?;
    let seed = match settings.seed {
        0 => fastrand::u64(..),
        seed => seed,
    };
    fastrand::seed(seed);
    let node = new_node_id(settings.clock_behind);
    let main = async {
        let mut signals = Signals::subscribe().describe(|| "cannot subscribe to signals".into())?;
        let running = start(&kernel, &settings, adapter, node, seed)?;
        log::info!("node {node:016x} serves callers at {}", settings.listen);
        signals.wait_for(|action| action != SignalAction::Reload, log_reload).await;
        Ok(stop(&kernel, running, &mut signals, &settings).await)
    };
    kernel.run(main)
}

struct Running {
    entry: Rc<Entry>,
    callers: ServerHandle,
    aux_listeners: aux_listeners::AuxListeners,
    /// `None` if this daemon claims no requests.
    claimer: Option<Claimer>,
}

fn start(
    kernel: &Kernel,
    settings: &Settings,
    adapter: ProtocolAdapter,
    node: u64,
    seed: u64,
) -> Result<Running, StartError> {
    let caller_listener = listen(settings.listen)?;
    let peer_listener = listen(settings.peer_listen)?;
    let socket = UdpSocket::bind(settings.peer_listen)
        .describe(|| format!("cannot bind UDP {}", settings.peer_listen))?;
    let admin_listener = listen(settings.admin)?;
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| io::Error::other(error.to_string()))
        .describe(|| "cannot install the metrics recorder".into())?;

    let store = settings.platform.map(|at| store::Settings::at(at, adapter.store));
    storage::start(kernel, store.map(|settings| Store::new(kernel, settings)));
    journal::start(kernel, node);
    let uplink = Uplink::new(settings.link);
    peers::start(kernel, uplink.clone());
    router::start(kernel, node, settings, seed);
    let discipline = match settings.policy {
        Policy::Bronzeport => Discipline::Deadline,
        _ => Discipline::Fifo,
    };
    let local = local_member(settings, node);
    quota::start(kernel, &local);
    let bootstrap_peers = settings.peers.clone();
    let (join_within, locality_rtt) = (settings.join_within, settings.locality_rtt);
    membership::start(kernel, socket, local, bootstrap_peers, join_within, locality_rtt, seed)
        .describe(|| "cannot start gossip".into())?;
    settlement::start(kernel);
    // With a route table, requests have no rows in the store.
    let uses_claims = adapter.read_route_table.is_none();
    let claimer = claimer(settings, node).filter(|_| uses_claims);
    if uses_claims {
        kernel.start(settlement::follow_eras(kernel.clone(), claimer.clone()));
    }
    let guard = guard::start(
        kernel,
        node,
        adapter,
        settings.target.as_ref(),
        discipline,
        settings.cold_until_configured,
    );
    configuration::start(kernel, node, adapter, &settings.peers, settings.join_within);
    serve_peers(kernel, peer_listener, uplink, rpc_handler(kernel, node, guard.clone()))
        .describe(|| "cannot serve other daemons".into())?;
    admin::start(kernel, admin_listener, node, metrics)
        .describe(|| "cannot start the admin interface".into())?;

    let aux_listeners = aux_listeners::open(kernel, settings, adapter)?;
    let entry = Entry::new(kernel, node, adapter, settings.max_depth, guard);
    let handler = entry.clone();
    let callers = web::serve(
        kernel,
        caller_listener,
        CALLER_LIMITS,
        Rc::new(move |request| Box::pin(handler.clone().handle(request))),
    )
    .describe(|| "cannot serve callers".into())?;
    Ok(Running { entry, callers, aux_listeners, claimer })
}

/// Announces that the target accepts no new requests.
pub(crate) fn leave(kernel: &Kernel) {
    log::info!("leaving: no new requests are taken");
    let guard: Mailbox<guard::Message> = kernel.service(names::GUARD);
    guard.send(guard::Message::Leave);
    let membership: Mailbox<membership::Message> = kernel.service(names::MEMBERSHIP);
    membership.send(membership::Message::AnnounceLeaving);
}

/// Stops a daemon: refuses new requests, waits for those in flight and announces that the
/// node has left.
async fn stop(
    kernel: &Kernel,
    running: Running,
    signals: &mut Signals,
    settings: &Settings,
) -> Stopped {
    let time_limit = settings.stop_within;
    let Running { entry, callers, aux_listeners, claimer } = running;
    let busy = callers.busy_connections();
    aux_listeners.leave();
    // A target that announces itself may keep running while its daemon is replaced, and
    // announces when it leaves. It serves other daemons until this daemon's callers have
    // moved to other daemons.
    let does_target_stay = settings.announce.is_some();
    if does_target_stay {
        log::info!("stopping: callers are sent elsewhere");
    } else {
        leave(kernel);
    }
    // Connected callers get one more response, which closes the connection. If a health
    // checker polls for readiness, new callers keep connecting until it has noticed the
    // stop, so the listener stays open until then.
    let callers = match settings.ready {
        Some(_) => Some(callers),
        None => {
            drop(callers);
            None
        }
    };
    entry.leave();
    let finish = async {
        kernel.clock().sleep(settings.linger.min(time_limit)).await;
        drop(callers);
        if does_target_stay {
            leave(kernel);
        }
        entry.refuse();
        while in_flight(kernel, &entry, &busy).await > 0 {
            kernel.clock().sleep(STOP_POLL_INTERVAL).await;
        }
    };
    let interrupted = async {
        // A supervisor may repeat its stop signal, so only an interrupt, sent by a person, ends
        // the wait.
        signals.wait_for(|action| action == SignalAction::Interrupt, log_reload).await;
        log::warn!("an interrupt ends the wait");
    };
    let finish = futures_lite::future::or(finish, interrupted);
    if kernel.clock().timeout(time_limit, finish).await.is_err() {
        log::warn!("the wait for requests in flight is over");
    }
    let cut = in_flight(kernel, &entry, &busy).await;
    if let Some(claimer) = claimer.filter(|_| cut == 0) {
        settlement::close(kernel, &claimer).await;
    }
    let membership: Mailbox<membership::Message> = kernel.service(names::MEMBERSHIP);
    membership.send(membership::Message::AnnounceLeft);
    // The service handles messages in order, so the reply shows that it has handled the
    // announcement.
    let _ = membership.request(|reply| membership::Message::Count { reply }).await;
    kernel.clock().sleep(STOP_POLL_INTERVAL).await;
    Stopped { finished: entry.finished(), cut }
}

/// Logs that a reload has no effect. The flags and environment variables of a process do not
/// change while it runs, so only a new process gets new settings.
fn log_reload() {
    log::info!("reload requested, but settings are read only at the start of the process");
}

/// Returns the number of requests without an answer plus callers whose answers are still
/// being written.
async fn in_flight(kernel: &Kernel, entry: &Entry, busy: &BusyConnections) -> usize {
    let guard: Mailbox<guard::Message> = kernel.service(names::GUARD);
    let in_guard = guard.request(|reply| guard::Message::CountJobs { reply }).await.unwrap_or(0);
    entry.in_flight().max(busy.count()) + in_guard
}

pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).describe(|| format!("cannot listen on {address}"))
}

fn local_member(settings: &Settings, node: u64) -> Member {
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

/// Returns what identifies this daemon in its claims; `None` without a target.
fn claimer(settings: &Settings, node: u64) -> Option<Claimer> {
    let Member { address, service, .. } = local_member(settings, node);
    settings.target.as_ref().map(|_| Claimer { node, address, service })
}

/// Returns a number that grows with time, made of the milliseconds since 1970 and 20 random
/// bits.
fn new_node_id(clock_behind: Duration) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let since_epoch = since_epoch.saturating_sub(clock_behind);
    let mut random = fastrand::Rng::new();
    ((since_epoch.as_millis() as u64) << 20) | u64::from(random.u32(..1 << 20))
}

/// Accepts connections from other daemons.
fn serve_peers(
    kernel: &Kernel,
    listener: TcpListener,
    uplink: Uplink,
    handler: RpcHandler,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let connections = Rc::new(());
    let acceptor = kernel.clone();
    kernel.start(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                acceptor.clock().sleep(STOP_POLL_INTERVAL).await;
                continue;
            };
            if Rc::strong_count(&connections) <= MAX_PEER_CONNECTIONS {
                let (uplink, handler) = (uplink.clone(), handler.clone());
                acceptor.start(serve_peer(stream, from, uplink, handler, connections.clone()));
            }
        }
    });
    Ok(())
}

async fn serve_peer(
    stream: TcpStream,
    from: SocketAddr,
    uplink: Uplink,
    handler: RpcHandler,
    _connection: Rc<()>,
) {
    if let Err(error) = wire::serve(stream, HANDSHAKE_TIMEOUT, uplink, handler).await {
        metrics::counter!("bronzeport_peer_refused_total").increment(1);
        log::debug!("connection from {from} refused: {error}");
    }
}

/// Returns a handler that passes the requests of other daemons to the local services.
fn rpc_handler(kernel: &Kernel, node: u64, calls: guard::Handle) -> RpcHandler {
    let guard: Mailbox<guard::Message> = kernel.service(names::GUARD);
    let configuration: Mailbox<configuration::Message> = kernel.service(names::CONFIGURATION);
    let membership: Mailbox<membership::Message> = kernel.service(names::MEMBERSHIP);
    let journal: Mailbox<journal::Message> = kernel.service(names::JOURNAL);
    let quota: Mailbox<quota::Message> = kernel.service(names::QUOTA);
    Rc::new(move |request| {
        let (guard, calls) = (guard.clone(), calls.clone());
        let (configuration, membership) = (configuration.clone(), membership.clone());
        let (journal, quota) = (journal.clone(), quota.clone());
        Box::pin(async move {
            match request {
                RpcRequest::Call(call) => {
                    let peer = membership::Peer::Node(call.entry);
                    let answer = calls.run(*call).await?;
                    let bytes = answer.wire_size();
                    let kind = "answers";
                    membership.send(membership::Message::Transferred { kind, peer, bytes });
                    Some(RpcReply::Call(Box::new(answer)))
                }
                RpcRequest::Load => {
                    guard.request(|reply| guard::Message::Load { reply }).await.map(RpcReply::Load)
                }
                RpcRequest::Changes { after } => {
                    let message = |reply| configuration::Message::Changes { after, reply };
                    configuration.request(message).await.map(RpcReply::Changes)
                }
                RpcRequest::Members { digests } => {
                    let message = |reply| membership::Message::Differing { digests, reply };
                    membership.request(message).await.map(RpcReply::Members)
                }
                RpcRequest::ExchangeQuota(request) => {
                    let message = |reply| quota::Message::Exchange { request, reply };
                    quota.request(message).await.map(RpcReply::ExchangeQuota)
                }
                RpcRequest::Explain { id } => {
                    let message = |reply| journal::Message::Explain { id, reply };
                    let entries = journal.request(message).await?;
                    let lines = entries.iter().map(|entry| entry.line(node));
                    Some(RpcReply::Explain(lines.collect()))
                }
            }
        })
    })
}
