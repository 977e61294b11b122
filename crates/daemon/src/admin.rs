//! The daemon's own pages: liveness, readiness, metrics, state, explanations,
//! and the operators' commands.
//!
//! One thread answers them, apart from the calls, so that a slow reader of a
//! page delays no call.

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

/// Time limit of working out a page.
const PAGE_TIME: Duration = Duration::from_secs(3);
/// Largest body of a command, in bytes.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// Members asked for an explanation when this daemon knows nothing.
const MAX_ASKED: usize = 64;

/// A page that is asked for.
pub(crate) enum Page {
    Ready,
    State,
    Explain { id: Box<str> },
    Drain,
    Install { from: u64, changes: Changes },
}

struct Asked {
    page: Page,
    reply: mpsc::SyncSender<Content>,
}

struct Content {
    status: u16,
    body: Value,
}

/// Starts the pages' thread and the task that answers it.
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

fn serve(server: &Server, mailbox: &Mailbox<Asked>, metrics: &PrometheusHandle) {
    for request in server.incoming_requests() {
        let response = respond(mailbox, metrics, request);
        if let Err(error) = response {
            log::debug!("a reader of a page has gone: {error}");
        }
    }
}

fn respond(
    mailbox: &Mailbox<Asked>,
    metrics: &PrometheusHandle,
    mut request: Request,
) -> std::io::Result<()> {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let page = match (request.method(), path) {
        (Method::Get, "/live") => return send(request, 200, "live\n", "text/plain"),
        (Method::Get, "/metrics") => {
            metrics.run_upkeep();
            return send(request, 200, &metrics.render(), "text/plain; version=0.0.4");
        }
        (Method::Get, "/ready") => Page::Ready,
        (Method::Get, "/state") => Page::State,
        (Method::Get, "/explain") => match query.strip_prefix("id=") {
            Some(id) => Page::Explain { id: id.into() },
            None => return send(request, 400, "expected /explain?id=ID\n", "text/plain"),
        },
        (Method::Post, "/drain") => Page::Drain,
        (Method::Post, "/changes") => match read_changes(&mut request) {
            Some(page) => page,
            None => return send(request, 400, "expected changes as JSON\n", "text/plain"),
        },
        _ => return send(request, 404, "no such page\n", "text/plain"),
    };
    let (reply, waiter) = mpsc::sync_channel(1);
    mailbox.send(Asked { page, reply });
    match waiter.recv_timeout(PAGE_TIME) {
        Ok(content) => send(request, content.status, &content.body.to_string(), "application/json"),
        Err(_) => send(request, 503, "the daemon is stopping or busy\n", "text/plain"),
    }
}

fn send(request: Request, status: u16, body: &str, kind: &str) -> std::io::Result<()> {
    let mut response = Response::from_string(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", kind) {
        response.add_header(header);
    }
    request.respond(response)
}

fn read_changes(request: &mut Request) -> Option<Page> {
    let mut body = String::new();
    let mut reader = std::io::Read::take(request.as_reader(), MAX_BODY_BYTES);
    std::io::Read::read_to_string(&mut reader, &mut body).ok()?;
    let value: Value = serde_json::from_str(&body).ok()?;
    let revision = value["revision"].as_u64()?;
    let changes = value["changes"].as_array()?.iter().map(|change| {
        Some(config::Change {
            revision,
            service: change["service"].as_str()?.into(),
            body: change["body"].as_str()?.into(),
        })
    });
    Some(Page::Install {
        from: value["from"].as_u64()?,
        changes: Changes { revision, changes: changes.collect::<Option<_>>()? },
    })
}

struct Admin {
    kernel: Kernel,
    node: u64,
}

impl Admin {
    async fn run(self, inbox: Inbox<Asked>) {
        while let Some(Asked { page, reply }) = inbox.receive().await {
            // A reader that has gone needs no page.
            let _ = reply.try_send(self.answer(page).await);
        }
    }

    async fn answer(&self, page: Page) -> Content {
        match page {
            Page::Ready => self.ready().await,
            Page::State => ok(self.state().await),
            Page::Explain { id } => ok(json!({ "id": *id, "lines": self.explain(&id).await })),
            Page::Drain => {
                crate::node::leave(&self.kernel);
                ok(json!({ "leaving": true }))
            }
            Page::Install { from, changes } => {
                let configuration = self.configuration();
                configuration.send(configuration::Ask::Install { from, changes });
                let state =
                    configuration.request(|reply| configuration::Ask::State { reply }).await;
                ok(json!({ "revision": state.map_or(0, |state| state.revision) }))
            }
        }
    }

    fn configuration(&self) -> Mailbox<configuration::Ask> {
        self.kernel.service(names::CONFIGURATION)
    }

    async fn ready(&self) -> Content {
        let state = self.configuration().request(|reply| configuration::Ask::State { reply }).await;
        let is_ready = state.is_some_and(|state| state.can_judge());
        Content { status: if is_ready { 200 } else { 503 }, body: json!({ "ready": is_ready }) }
    }

    async fn state(&self) -> Value {
        let configuration = self.configuration();
        let guard: Mailbox<guard::Ask> = self.kernel.service(names::GUARD);
        let membership: Mailbox<membership::Ask> = self.kernel.service(names::MEMBERSHIP);
        let store: Mailbox<storage::Ask> = self.kernel.service(names::STORE);
        let configuration =
            configuration.request(|reply| configuration::Ask::State { reply }).await;
        let guard = guard.request(|reply| guard::Ask::State { reply }).await;
        let members = membership.request(|reply| membership::Ask::All { reply }).await;
        let is_down = store.request(|reply| storage::Ask::IsDown { reply }).await;
        json!({
            "node": format!("{:016x}", self.node),
            "version": env!("CARGO_PKG_VERSION"),
            "revision": configuration.map_or(0, |state| state.revision),
            "revision_may_be_old": configuration.is_none_or(|state| state.may_be_old),
            "platform_down": is_down.unwrap_or(true),
            "target": guard.map(guard_json),
            "members": members.unwrap_or_default().iter().map(member_json).collect::<Vec<_>>(),
        })
    }

    /// The decisions about a request, of this daemon and those that it names.
    async fn explain(&self, id: &str) -> Vec<Box<str>> {
        let (mut lines, named) = self.explain_here(id).await;
        let is_entry = lines.iter().any(|line| line.contains(ARRIVED));
        let membership: Mailbox<membership::Ask> = self.kernel.service(names::MEMBERSHIP);
        let members = membership.request(|reply| membership::Ask::All { reply }).await;
        let asked = members.unwrap_or_default().into_iter().filter(|member| {
            let is_wanted = named.contains(&member.node) || !is_entry;
            member.node != self.node && member.state.is_present() && is_wanted
        });
        for member in asked.take(MAX_ASKED) {
            lines.extend(self.explain_there(member.address, id).await);
        }
        lines.sort_unstable();
        lines
    }

    async fn explain_here(&self, id: &str) -> (Vec<Box<str>>, Vec<u64>) {
        let journal: Mailbox<journal::Message> = self.kernel.service(names::JOURNAL);
        let id = id.into();
        let entries = journal.request(|reply| journal::Message::Explain { id, reply }).await;
        let entries = entries.unwrap_or_default();
        let named = entries.iter().filter_map(|entry| Event::sent_to(&entry.event));
        let lines = entries.iter().map(|entry| entry.line(self.node));
        (lines.collect(), named.collect())
    }

    async fn explain_there(&self, address: Box<str>, id: &str) -> Vec<Box<str>> {
        let peers: Mailbox<peers::Message> = self.kernel.service(names::PEERS);
        let link =
            peers.request(|reply| peers::Message::Connect { address, reply }).await.flatten();
        let Some(link) = link else {
            return Vec::new();
        };
        let lines = self.kernel.clock().timeout(PAGE_TIME / 4, link.explain(id)).await;
        lines.ok().and_then(Result::ok).unwrap_or_default()
    }
}

fn ok(body: Value) -> Content {
    Content { status: 200, body }
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
        "remembered_claims": status.ledger,
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
