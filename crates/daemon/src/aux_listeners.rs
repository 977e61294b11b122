//! Auxiliary listeners: one on which the target announces itself, and one that reports
//! whether the daemon accepts calls.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use admit::NoticeEffect;
use bytes::Bytes;
use hyper::{Response, StatusCode};
use kernel::{Kernel, Mailbox};
use web::{IncomingRequest, Limits, ServerHandle};

use crate::adapter::ProtocolAdapter;
use crate::node::{Describe, StartError, listen};
use crate::settings::Settings;
use crate::{configuration, guard, names};

/// Limits on the connections and requests of targets and health checkers.
const LIMITS: Limits = Limits {
    header_timeout: Duration::from_secs(60),
    max_header_bytes: 16 * 1024,
    max_headers: 64,
    body_timeout: NOTICE_TIMEOUT,
    max_body_bytes: MAX_NOTICE_BYTES,
    max_connections: 64,
};
/// Largest notice, in bytes.
const MAX_NOTICE_BYTES: usize = 64 * 1024;
/// Time limit of receiving the body of a notice.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// The listeners that are open.
pub(crate) struct AuxListeners {
    is_leaving: Rc<Cell<bool>>,
    _servers: Vec<ServerHandle>,
}

impl AuxListeners {
    /// Reports from now on that the daemon accepts no new calls.
    pub(crate) fn leave(&self) {
        self.is_leaving.set(true);
    }
}

/// Opens the listeners that the settings configure.
pub(crate) fn open(
    kernel: &Kernel,
    settings: &Settings,
    adapter: ProtocolAdapter,
) -> Result<AuxListeners, StartError> {
    let is_leaving = Rc::new(Cell::new(false));
    let mut servers = Vec::new();
    if let Some(address) = settings.announce {
        let notice_kernel = kernel.clone();
        let handler: web::Handler = Rc::new(move |request| {
            Box::pin(handle_notice(notice_kernel.clone(), adapter, request))
        });
        let server = web::serve(kernel, listen(address)?, LIMITS, handler);
        servers.push(server.describe(|| "cannot serve announcements of the target".into())?);
    }
    if let Some(address) = settings.ready {
        let (ready_kernel, is_leaving) = (kernel.clone(), is_leaving.clone());
        let handler: web::Handler =
            Rc::new(move |_| Box::pin(report_readiness(ready_kernel.clone(), is_leaving.get())));
        let server = web::serve(kernel, listen(address)?, LIMITS, handler);
        servers.push(server.describe(|| "cannot serve readiness checks".into())?);
    }
    Ok(AuxListeners { is_leaving, _servers: servers })
}

async fn report_readiness(kernel: Kernel, is_leaving: bool) -> Response<Bytes> {
    let configuration: Mailbox<configuration::Message> = kernel.service(names::CONFIGURATION);
    let state = configuration.request(|reply| configuration::Message::State { reply }).await;
    let is_ready = state.is_some_and(|state| state.is_ready_for_calls());
    match is_ready && !is_leaving {
        true => json_response(StatusCode::OK, "{\"ready\":true}"),
        false => json_response(StatusCode::SERVICE_UNAVAILABLE, "{\"ready\":false}"),
    }
}

async fn handle_notice(
    kernel: Kernel,
    adapter: ProtocolAdapter,
    request: IncomingRequest,
) -> Response<Bytes> {
    let Some(parse) = adapter.read_notice else {
        return json_response(StatusCode::NOT_FOUND, "{}");
    };
    let IncomingRequest { head, body: Ok(body), .. } = request else {
        return json_response(StatusCode::BAD_REQUEST, "{}");
    };
    match parse(&head.method, head.uri.path(), &body) {
        Ok(notice) => {
            let guard: Mailbox<guard::Message> = kernel.service(names::GUARD);
            match guard.request(|reply| guard::Message::Notice { notice, reply }).await {
                Some(NoticeEffect::Foreign) => json_response(StatusCode::FORBIDDEN, "{}"),
                Some(_) => json_response(StatusCode::OK, "{}"),
                None => json_response(StatusCode::SERVICE_UNAVAILABLE, "{}"),
            }
        }
        Err(reason) => {
            metrics::counter!("bronzeport_unreadable_notices_total").increment(1);
            log::warn!(
                target: "daemon::surroundings",
                "cannot parse a notice at {}: {reason}",
                head.uri.path()
            );
            json_response(StatusCode::BAD_REQUEST, "{}")
        }
    }
}

fn json_response(status: StatusCode, body: &'static str) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from_static(body.as_bytes()));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}
