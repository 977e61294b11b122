//! The asking side of a connection.

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
use crate::convert::{read_answer, read_changes, read_load, read_members, text_of, write_request};
use crate::hello::{HelloError, exchange};
use crate::message::{Answer, Changes, Request};
use crate::uplink::{Paced, Uplink};

/// Silence of the other side after which a connection counts as broken.
pub(crate) const SILENCE: Duration = Duration::from_secs(3);

/// A connection to another daemon. Clones share it.
#[derive(Clone)]
pub struct Link {
    daemon: daemon::Client,
}

/// Connects to the daemon at `address`. The second part drives the connection
/// until it ends and has to be run as a task.
pub async fn connect(
    address: SocketAddr,
    uplink: Uplink,
) -> Result<(Link, impl Future<Output = Result<(), Error>> + 'static), HelloError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    kernel::detect_silence(&stream, SILENCE)?;
    let mut stream = stream.compat();
    exchange(&mut stream).await?;
    let (reader, writer) = stream.split();
    let network = twoparty::VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(Paced::new(writer, uplink)),
        Side::Client,
        crate::reader_options(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let daemon = system.bootstrap(Side::Server);
    Ok((Link { daemon }, system))
}

impl Link {
    /// Has the daemon's guard run a request. Dropping the future cancels it.
    pub async fn call(&self, request: &Request) -> Result<Answer, Error> {
        let mut message = self.daemon.call_request();
        write_request(message.get().init_request(), request);
        let response = message.send().promise.await?;
        read_answer(response.get()?.get_answer()?)
    }

    /// Asks for the target's load.
    pub async fn load(&self) -> Result<Load, Error> {
        let response = self.daemon.load_request().send().promise.await?;
        Ok(read_load(response.get()?.get_load()?))
    }

    /// Asks for all changes of the configuration after a revision.
    pub async fn changes(&self, after: u64) -> Result<Changes, Error> {
        let mut message = self.daemon.changes_request();
        message.get().set_after(after);
        let response = message.send().promise.await?;
        read_changes(response.get()?)
    }

    /// Asks for the members in the buckets whose digests differ from these.
    pub async fn members(&self, digests: &[u64]) -> Result<Vec<Member>, Error> {
        let mut message = self.daemon.members_request();
        let mut list = message.get().init_bucket_digests(digests.len() as u32);
        for (index, digest) in digests.iter().enumerate() {
            list.set(index as u32, *digest);
        }
        let response = message.send().promise.await?;
        read_members(response.get()?.get_members()?)
    }

    /// Asks what was decided about a request.
    pub async fn explain(&self, id: &str) -> Result<Vec<Box<str>>, Error> {
        let mut message = self.daemon.explain_request();
        message.get().set_id(id);
        let response = message.send().promise.await?;
        let lines = response.get()?.get_lines()?;
        lines.iter().map(text_of).collect()
    }
}
