//! Client side of a connection between daemons.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use futures::io::{BufReader, BufWriter};
use member::Member;
use route::Load;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::Error;
use crate::bronzeport_capnp::daemon;
use crate::convert::{
    read_answer, read_changes, read_load, read_members, read_quota_grants, text_of,
    write_quota_request, write_request,
};
use crate::handshake::{HandshakeError, exchange};
use crate::message::{Answer, Changes, QuotaGrant, QuotaRequest, Request};
use crate::uplink::{PacedWriter, Uplink};

/// Time without a response from the peer's TCP stack after which a connection fails.
pub(crate) const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Client of another daemon. Clones share one connection.
#[derive(Clone)]
pub struct PeerClient {
    daemon: daemon::Client,
}

/// Connects to the daemon at `address`. Returns the client and a future that drives the
/// connection until it ends; the future has to be run as a task.
pub async fn connect(
    address: SocketAddr,
    uplink: Uplink,
) -> Result<(PeerClient, impl Future<Output = Result<(), Error>> + 'static), HandshakeError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    kernel::set_dead_peer_timeout(&stream, DEAD_PEER_TIMEOUT)?;
    let mut stream = stream.compat();
    exchange(&mut stream).await?;
    let (reader, writer) = stream.split();
    let network = twoparty::VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(PacedWriter::new(writer, uplink)),
        Side::Client,
        crate::reader_options(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let daemon = system.bootstrap(Side::Server);
    Ok((PeerClient { daemon }, system))
}

impl PeerClient {
    /// Sends a request to the daemon's guard, which runs it at its target. Dropping the
    /// future cancels the request.
    pub async fn call(&self, request: &Request) -> Result<Answer, Error> {
        let mut message = self.daemon.call_request();
        write_request(message.get().init_request(), request);
        let response = message.send().promise.await?;
        read_answer(response.get()?.get_answer()?)
    }

    /// Fetches the load of the daemon's target.
    pub async fn load(&self) -> Result<Load, Error> {
        let response = self.daemon.load_request().send().promise.await?;
        Ok(read_load(response.get()?.get_load()?))
    }

    /// Fetches all changes of the configuration after the revision `after`.
    pub async fn changes(&self, after: u64) -> Result<Changes, Error> {
        let mut message = self.daemon.changes_request();
        message.get().set_after(after);
        let response = message.send().promise.await?;
        read_changes(response.get()?)
    }

    /// Fetches the members in the buckets whose digests differ from `digests`.
    pub async fn members(&self, digests: &[u64]) -> Result<Vec<Member>, Error> {
        let mut message = self.daemon.members_request();
        let mut list = message.get().init_bucket_digests(digests.len() as u32);
        for (index, digest) in digests.iter().enumerate() {
            list.set(index as u32, *digest);
        }
        let response = message.send().promise.await?;
        read_members(response.get()?.get_members()?)
    }

    /// Fetches the decisions about the request `id`, one line for each.
    pub async fn explain(&self, id: &str) -> Result<Vec<Box<str>>, Error> {
        let mut message = self.daemon.explain_request();
        message.get().set_id(id);
        let response = message.send().promise.await?;
        let lines = response.get()?.get_lines()?;
        lines.iter().map(text_of).collect()
    }

    /// Hands over credit and asks for tokens of quotas.
    pub async fn exchange_quota(&self, request: &QuotaRequest) -> Result<Vec<QuotaGrant>, Error> {
        let mut message = self.daemon.exchange_quota_request();
        write_quota_request(message.get().init_request(), request);
        let response = message.send().promise.await?;
        read_quota_grants(response.get()?.get_reply()?)
    }
}
