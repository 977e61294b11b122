//! Server side of a connection between daemons.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use capnp::capability::Rc as ServerRc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client, twoparty};
use futures::AsyncReadExt;
use futures::io::{BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::Error;
use crate::bronzeport_capnp::daemon;
use crate::client::DEAD_PEER_TIMEOUT;
use crate::convert::{
    read_quota_request, read_request, write_answer, write_changes, write_load, write_members,
    write_quota_grants,
};
use crate::handshake::{HandshakeError, exchange};
use crate::message::{RpcReply, RpcRequest};
use crate::uplink::{PacedWriter, Uplink};

/// Handles requests of other daemons. Returns `None` if the daemon is stopping. The future
/// is dropped when the peer cancels the request.
pub type RpcHandler = Rc<dyn Fn(RpcRequest) -> Pin<Box<dyn Future<Output = Option<RpcReply>>>>>;

/// Checks the peer's handshake, which has to arrive within `handshake_timeout`, and serves
/// the peer's requests until the connection ends.
pub async fn serve(
    stream: TcpStream,
    handshake_timeout: Duration,
    uplink: Uplink,
    handler: RpcHandler,
) -> Result<(), HandshakeError> {
    stream.set_nodelay(true)?;
    kernel::set_dead_peer_timeout(&stream, DEAD_PEER_TIMEOUT)?;
    let mut stream = stream.compat();
    let handshake = tokio::time::timeout(handshake_timeout, exchange(&mut stream));
    handshake.await.map_err(|_| HandshakeError::TimedOut)??;
    let (reader, writer) = stream.split();
    let network = twoparty::VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(PacedWriter::new(writer, uplink)),
        Side::Server,
        crate::reader_options(),
    );
    let daemon: daemon::Client = new_client(Server { handler });
    // An error ends the connection, and the peer detects that itself.
    let _ = RpcSystem::new(Box::new(network), Some(daemon.client)).await;
    Ok(())
}

struct Server {
    handler: RpcHandler,
}

impl Server {
    async fn handle(&self, request: RpcRequest) -> Result<RpcReply, Error> {
        let reply = (self.handler)(request).await;
        reply.ok_or_else(|| Error::overloaded("the daemon is stopping".into()))
    }
}

fn mismatched_reply() -> Error {
    Error::failed("the reply does not match the kind of the request".into())
}

impl daemon::Server for Server {
    async fn call(
        self: ServerRc<Self>,
        params: daemon::CallParams,
        mut results: daemon::CallResults,
    ) -> Result<(), Error> {
        let request = read_request(params.get()?.get_request()?)?;
        drop(params);
        match self.handle(RpcRequest::Call(Box::new(request))).await? {
            RpcReply::Call(answer) => write_answer(results.get().init_answer(), &answer),
            _ => return Err(mismatched_reply()),
        }
        Ok(())
    }

    async fn load(
        self: ServerRc<Self>,
        _params: daemon::LoadParams,
        mut results: daemon::LoadResults,
    ) -> Result<(), Error> {
        match self.handle(RpcRequest::Load).await? {
            RpcReply::Load(load) => write_load(results.get().init_load(), load),
            _ => return Err(mismatched_reply()),
        }
        Ok(())
    }

    async fn changes(
        self: ServerRc<Self>,
        params: daemon::ChangesParams,
        mut results: daemon::ChangesResults,
    ) -> Result<(), Error> {
        let after = params.get()?.get_after();
        match self.handle(RpcRequest::Changes { after }).await? {
            RpcReply::Changes(changes) => write_changes(results.get(), &changes),
            _ => return Err(mismatched_reply()),
        }
        Ok(())
    }

    async fn members(
        self: ServerRc<Self>,
        params: daemon::MembersParams,
        mut results: daemon::MembersResults,
    ) -> Result<(), Error> {
        let digests = params.get()?.get_bucket_digests()?.iter().collect();
        match self.handle(RpcRequest::Members { digests }).await? {
            RpcReply::Members(members) => {
                let list = results.get().init_members(members.len() as u32);
                write_members(list, &members);
            }
            _ => return Err(mismatched_reply()),
        }
        Ok(())
    }

    async fn explain(
        self: ServerRc<Self>,
        params: daemon::ExplainParams,
        mut results: daemon::ExplainResults,
    ) -> Result<(), Error> {
        let id = params.get()?.get_id()?.to_str()?.into();
        match self.handle(RpcRequest::Explain { id }).await? {
            RpcReply::Explain(lines) => {
                let mut list = results.get().init_lines(lines.len() as u32);
                for (index, line) in lines.iter().enumerate() {
                    list.set(index as u32, &**line);
                }
            }
            _ => return Err(mismatched_reply()),
        }
        Ok(())
    }

    async fn exchange_quota(
        self: ServerRc<Self>,
        params: daemon::ExchangeQuotaParams,
        mut results: daemon::ExchangeQuotaResults,
    ) -> Result<(), Error> {
        let request = read_quota_request(params.get()?.get_request()?)?;
        match self.handle(RpcRequest::ExchangeQuota(request)).await? {
            RpcReply::ExchangeQuota(grants) => {
                write_quota_grants(results.get().init_reply(), &grants);
            }
            _ => return Err(mismatched_reply()),
        }
        Ok(())
    }
}
