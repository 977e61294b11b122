//! The addresses where the target announces itself and where others ask whether
//! the daemon takes calls.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use kernel::{Kernel, Mailbox};
use web::{IncomingRequest, Limits, ServerHandle};

use crate::edge::Edge;
use crate::node::{Describe, StartError, listen};
use crate::settings::Settings;
use crate::{configuration, guard, names};

/// Bounds of what a target or a health check may take up.
const LIMITS: Limits = Limits {
    header_timeout: Duration::from_secs(60),
    max_header_bytes: 16 * 1024,
    max_headers: 64,
    body_timeout: NOTICE_TIME,
    max_body_bytes: MAX_NOTICE_BYTES,
    max_connections: 64,
};
/// Bytes of the largest notice.
const MAX_NOTICE_BYTES: usize = 64 * 1024;
/// Time limit of a notice's body.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// The open addresses.
pub(crate) struct Open {
    is_leaving: Rc<Cell<bool>>,
    _serving: Vec<ServerHandle>,
}

impl Open {
    /// Tells from now on that no new calls are taken.
    pub(crate) fn leave(&self) {
        self.is_leaving.set(true);
    }
}

/// Opens the addresses that the settings name.
pub(crate) fn open(kernel: &Kernel, settings: &Settings, edge: Edge) -> Result<Open, StartError> {
    let is_leaving = Rc::new(Cell::new(false));
    let mut serving = Vec::new();
    if let Some(address) = settings.announce {
        let kernel_of_notices = kernel.clone();
        let handler: web::Handler =
            Rc::new(move |arrival| Box::pin(take_notice(kernel_of_notices.clone(), edge, arrival)));
        let open = web::serve(kernel, listen(address)?, LIMITS, handler);
        serving.push(open.describe(|| "target's port".into())?);
    }
    if let Some(address) = settings.ready {
        let (asked, is_leaving) = (kernel.clone(), is_leaving.clone());
        let handler: web::Handler =
            Rc::new(move |_| Box::pin(tell_ready(asked.clone(), is_leaving.get())));
        let open = web::serve(kernel, listen(address)?, LIMITS, handler);
        serving.push(open.describe(|| "readiness port".into())?);
    }
    Ok(Open { is_leaving, _serving: serving })
}

async fn tell_ready(kernel: Kernel, is_leaving: bool) -> Response<Bytes> {
    let configuration: Mailbox<configuration::Ask> = kernel.service(names::CONFIGURATION);
    let state = configuration.request(|reply| configuration::Ask::State { reply }).await;
    let is_ready = state.is_some_and(|state| state.can_judge());
    match is_ready && !is_leaving {
        true => answer(StatusCode::OK, "{\"ready\":true}"),
        false => answer(StatusCode::SERVICE_UNAVAILABLE, "{\"ready\":false}"),
    }
}

async fn take_notice(kernel: Kernel, edge: Edge, arrival: IncomingRequest) -> Response<Bytes> {
    let Some(read) = edge.read_notice else {
        return answer(StatusCode::NOT_FOUND, "{}");
    };
    let IncomingRequest { head, body: Ok(body), .. } = arrival else {
        return answer(StatusCode::BAD_REQUEST, "{}");
    };
    match read(&head.method, head.uri.path(), &body) {
        Ok(notice) => {
            let guard: Mailbox<guard::Ask> = kernel.service(names::GUARD);
            match guard.request(|reply| guard::Ask::Notice { notice, reply }).await {
                Some(()) => answer(StatusCode::OK, "{}"),
                None => answer(StatusCode::SERVICE_UNAVAILABLE, "{}"),
            }
        }
        Err(text) => {
            metrics::counter!("bronzeport_unreadable_notices_total").increment(1);
            log::warn!("a notice at {} cannot be read: {text}", head.uri.path());
            answer(StatusCode::BAD_REQUEST, "{}")
        }
    }
}

fn answer(status: StatusCode, body: &'static str) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from_static(body.as_bytes()));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}
