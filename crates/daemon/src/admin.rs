//! The admin interface over HTTP: liveness, readiness, metrics, state, explanations of
//! requests, and operators' commands.
//!
//! A thread of its own serves the interface, so that a slow client does not delay calls.

use std::net::TcpListener;
use std::sync::mpsc;
use std::time::Duration;

use kernel::{Inbox, Kernel, Mailbox};
use member::Member;
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response, Server};
use wire::Changes;

use crate::journal::{ARRIVED, Event};
use crate::{configuration, guard, journal, membership, names, peers, storage};

/// Time limit of preparing a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest request body, in bytes.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// Most members that are queried to explain one request. If this daemon was not the entry
/// of the request, all present members are candidates.
const MAX_QUERIED: usize = 64;

/// A request that the task handles.
pub(crate) enum Query {
    Ready,
    State,
    Explain { id: Box<str> },
    Drain,
    Install { from: u64, changes: Changes },
}

struct PendingQuery {
    query: Query,
    reply: mpsc::SyncSender<QueryResponse>,
}

struct QueryResponse {
    status: u16,
    body: Value,
}

/// Starts the thread that serves the admin interface and the task that handles its
/// queries.
pub(crate) fn start(
    kernel: &Kernel,
    listener: TcpListener,
    node: u64,
    metrics: PrometheusHandle,
) -> std::io::Result<()> {
    let server = Server::from_listener(listener, None)
        .map_err(|error| std::io::Error::other(error.to_string()))?;
    let (mailbox, inbox) = kernel::mailbox();
    std::thread::Builder::new()
        .name("admin".into())
        .spawn(move || serve(&server, &mailbox, &metrics))?;
    let admin = Admin { kernel: kernel.clone(), node };
    kernel.start(admin.run(inbox));
    Ok(())
}

fn serve(server: &Server, mailbox: &Mailbox<PendingQuery>, metrics: &PrometheusHandle) {
    for request in server.incoming_requests() {
        let result = respond(mailbox, metrics, request);
        if let Err(error) = result {
            log::debug!("cannot send a response to an admin client: {error}");
        }
    }
}

fn respond(
    mailbox: &Mailbox<PendingQuery>,
    metrics: &PrometheusHandle,
    mut request: Request,
) -> std::io::Result<()> {
    let url = request.url().to_owned();
    let (path, parameters) = url.split_once('?').unwrap_or((&url, ""));
    let query = match (request.method(), path) {
        (Method::Get, "/live") => return send(request, 200, "live\n", "text/plain"),
        (Method::Get, "/metrics") => {
            metrics.run_upkeep();
            return send(request, 200, &metrics.render(), "text/plain; version=0.0.4");
        }
        (Method::Get, "/ready") => Query::Ready,
        (Method::Get, "/state") => Query::State,
        (Method::Get, "/explain") => match parameters.strip_prefix("id=") {
            Some(id) => Query::Explain { id: id.into() },
            None => return send(request, 400, "expected /explain?id=ID\n", "text/plain"),
        },
        (Method::Post, "/drain") => Query::Drain,
        (Method::Post, "/changes") => match read_changes(&mut request) {
            Some(query) => query,
            None => return send(request, 400, "expected changes as JSON\n", "text/plain"),
        },
        _ => return send(request, 404, "no such page\n", "text/plain"),
    };
    let (reply, receiver) = mpsc::sync_channel(1);
    mailbox.send(PendingQuery { query, reply });
    match receiver.recv_timeout(RESPONSE_TIMEOUT) {
        Ok(result) => send(request, result.status, &result.body.to_string(), "application/json"),
        Err(_) => send(request, 503, "the daemon is stopping or busy\n", "text/plain"),
    }
}

fn send(request: Request, status: u16, body: &str, content_type: &str) -> std::io::Result<()> {
    let mut response = Response::from_string(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", content_type) {
        response.add_header(header);
    }
    request.respond(response)
}

fn read_changes(request: &mut Request) -> Option<Query> {
    let mut body = String::new();
    let mut reader = std::io::Read::take(request.as_reader(), MAX_BODY_BYTES);
    std::io::Read::read_to_string(&mut reader, &mut body).ok()?;
    let value: Value = serde_json::from_str(&body).ok()?;
    let revision = value["revision"].as_u64()?;
    let changes = value["changes"].as_array()?.iter().map(|change| {
        Some(config::Change {
            revision,
            published: revision,
            service: change["service"].as_str()?.into(),
            body: change["body"].as_str()?.into(),
        })
    });
    Some(Query::Install {
        from: value["from"].as_u64()?,
        changes: Changes { revision, changes: changes.collect::<Option<_>>()? },
    })
}

struct Admin {
    kernel: Kernel,
    node: u64,
}

impl Admin {
    async fn run(self, inbox: Inbox<PendingQuery>) {
        while let Some(PendingQuery { query, reply }) = inbox.receive().await {
            // The client may have disconnected or timed out.
            let _ = reply.try_send(self.handle(query).await);
        }
    }

    async fn handle(&self, query: Query) -> QueryResponse {
        match query {
            Query::Ready => self.ready().await,
            Query::State => ok(self.state().await),
            Query::Explain { id } => ok(json!({ "id": *id, "lines": self.explain(&id).await })),
            Query::Drain => {
                crate::node::leave(&self.kernel);
                ok(json!({ "leaving": true }))
            }
            Query::Install { from, changes } => {
                let configuration = self.configuration();
                configuration.send(configuration::Message::Install { from, changes });
                let state =
                    configuration.request(|reply| configuration::Message::State { reply }).await;
                ok(json!({ "revision": state.map_or(0, |state| state.revision) }))
            }
        }
    }

    fn configuration(&self) -> Mailbox<configuration::Message> {
        self.kernel.service(names::CONFIGURATION)
    }

    async fn ready(&self) -> QueryResponse {
        let state =
            self.configuration().request(|reply| configuration::Message::State { reply }).await;
        let is_ready = state.is_some_and(|state| state.is_ready_for_calls());
        QueryResponse {
            status: if is_ready { 200 } else { 503 },
            body: json!({ "ready": is_ready }),
        }
    }

    async fn state(&self) -> Value {
        let configuration = self.configuration();
        let guard: Mailbox<guard::Message> = self.kernel.service(names::GUARD);
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        let store: Mailbox<storage::Message> = self.kernel.service(names::STORE);
        let configuration =
            configuration.request(|reply| configuration::Message::State { reply }).await;
        let guard = guard.request(|reply| guard::Message::State { reply }).await;
        let members = membership.request(|reply| membership::Message::All { reply }).await;
        let is_down = store.request(|reply| storage::Message::IsDown { reply }).await;
        let era = store.request(|reply| storage::Message::Era { reply }).await.flatten();
        json!({
            "node": format!("{:016x}", self.node),
            "version": env!("CARGO_PKG_VERSION"),
            "revision": configuration.map_or(0, |state| state.revision),
            "revision_may_be_old": configuration.is_none_or(|state| state.may_be_old),
            "platform_down": is_down.unwrap_or(true),
            "store_era": era,
            "target": guard.map(guard_json),
            "members": members.unwrap_or_default().iter().map(member_json).collect::<Vec<_>>(),
        })
    }

    /// Returns the recorded decisions about a request, from this daemon and from the daemons
    /// that its records name. If this daemon was not the entry of the request, queries all
    /// members.
    async fn explain(&self, id: &str) -> Vec<Box<str>> {
        let (mut lines, named_nodes) = self.explain_locally(id).await;
        let is_entry = lines.iter().any(|line| line.contains(ARRIVED));
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        let members = membership.request(|reply| membership::Message::All { reply }).await;
        let queried = members.unwrap_or_default().into_iter().filter(|member| {
            let is_relevant = named_nodes.contains(&member.node) || !is_entry;
            member.node != self.node && member.state.is_present() && is_relevant
        });
        for member in queried.take(MAX_QUERIED) {
            lines.extend(self.explain_remotely(member.address, id).await);
        }
        lines.sort_unstable();
        lines
    }

    async fn explain_locally(&self, id: &str) -> (Vec<Box<str>>, Vec<u64>) {
        let journal: Mailbox<journal::Message> = self.kernel.service(names::JOURNAL);
        let id = id.into();
        let entries = journal.request(|reply| journal::Message::Explain { id, reply }).await;
        let entries = entries.unwrap_or_default();
        let named_nodes = entries.iter().filter_map(|entry| Event::sent_to(&entry.event));
        let lines = entries.iter().map(|entry| entry.line(self.node));
        (lines.collect(), named_nodes.collect())
    }

    async fn explain_remotely(&self, address: Box<str>, id: &str) -> Vec<Box<str>> {
        let peers: Mailbox<peers::Message> = self.kernel.service(names::PEERS);
        let client =
            peers.request(|reply| peers::Message::Connect { address, reply }).await.flatten();
        let Some(client) = client else {
            return Vec::new();
        };
        let lines = self.kernel.clock().timeout(RESPONSE_TIMEOUT / 4, client.explain(id)).await;
        lines.ok().and_then(Result::ok).unwrap_or_default()
    }
}

fn ok(body: Value) -> QueryResponse {
    QueryResponse { status: 200, body }
}

fn guard_json(status: guard::Status) -> Value {
    json!({
        "in_flight": status.load.in_flight,
        "queued": status.load.queued,
        "patient": status.load.patient,
        "slots": status.load.slots,
        "service_ms": status.load.service_time.as_secs_f64() * 1e3,
        "pace_percent": status.load.pace,
        "leaving": status.load.leaving,
        "reachable": status.is_reachable,
        "held_requests": status.held,
        "remembered_claims": status.remembered_claims,
    })
}

fn member_json(member: &Member) -> Value {
    json!({
        "node": format!("{:016x}", member.node),
        "address": *member.address,
        "data_centre": *member.data_centre,
        "service": *member.service,
        "slots": member.slots,
        "state": format!("{:?}", member.state).to_lowercase(),
    })
}
