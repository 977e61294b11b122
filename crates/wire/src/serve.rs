//! The answering side of a connection.

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
use crate::convert::{read_request, write_answer, write_changes, write_load, write_members};
use crate::hello::{HelloError, exchange};
use crate::link::SILENCE;
use crate::message::{Question, Reply};
use crate::uplink::{Paced, Uplink};

/// Answers questions. The future is dropped when the asker has cancelled.
pub type Answering = Rc<dyn Fn(Question) -> Pin<Box<dyn Future<Output = Option<Reply>>>>>;

/// Checks the other side's hello, which has to come within `hello_time`, and
/// answers its questions until the connection ends.
pub async fn serve(
    stream: TcpStream,
    hello_time: Duration,
    uplink: Uplink,
    answering: Answering,
) -> Result<(), HelloError> {
    stream.set_nodelay(true)?;
    kernel::detect_silence(&stream, SILENCE)?;
    let mut stream = stream.compat();
    let hello = tokio::time::timeout(hello_time, exchange(&mut stream));
    hello.await.map_err(|_| HelloError::Late)??;
    let (reader, writer) = stream.split();
    let network = twoparty::VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(Paced::new(writer, uplink)),
        Side::Server,
        crate::reader_options(),
    );
    let daemon: daemon::Client = new_client(Server { answering });
    // An error here is the end of the connection, which the asker sees too.
    let _ = RpcSystem::new(Box::new(network), Some(daemon.client)).await;
    Ok(())
}

struct Server {
    answering: Answering,
}

impl Server {
    async fn ask(&self, question: Question) -> Result<Reply, Error> {
        let reply = (self.answering)(question).await;
        reply.ok_or_else(|| Error::overloaded("the daemon is stopping".into()))
    }
}

fn mismatch() -> Error {
    Error::failed("the reply is not of the question's kind".into())
}

impl daemon::Server for Server {
    async fn call(
        self: ServerRc<Self>,
        params: daemon::CallParams,
        mut results: daemon::CallResults,
    ) -> Result<(), Error> {
        let request = read_request(params.get()?.get_request()?)?;
        drop(params);
        match self.ask(Question::Call(Box::new(request))).await? {
            Reply::Call(answer) => write_answer(results.get().init_answer(), &answer),
            _ => return Err(mismatch()),
        }
        Ok(())
    }

    async fn load(
        self: ServerRc<Self>,
        _params: daemon::LoadParams,
        mut results: daemon::LoadResults,
    ) -> Result<(), Error> {
        match self.ask(Question::Load).await? {
            Reply::Load(load) => write_load(results.get().init_load(), load),
            _ => return Err(mismatch()),
        }
        Ok(())
    }

    async fn changes(
        self: ServerRc<Self>,
        params: daemon::ChangesParams,
        mut results: daemon::ChangesResults,
    ) -> Result<(), Error> {
        let after = params.get()?.get_after();
        match self.ask(Question::Changes { after }).await? {
            Reply::Changes(changes) => write_changes(results.get(), &changes),
            _ => return Err(mismatch()),
        }
        Ok(())
    }

    async fn members(
        self: ServerRc<Self>,
        params: daemon::MembersParams,
        mut results: daemon::MembersResults,
    ) -> Result<(), Error> {
        let digests = params.get()?.get_bucket_digests()?.iter().collect();
        match self.ask(Question::Members { digests }).await? {
            Reply::Members(members) => {
                let list = results.get().init_members(members.len() as u32);
                write_members(list, &members);
            }
            _ => return Err(mismatch()),
        }
        Ok(())
    }

    async fn explain(
        self: ServerRc<Self>,
        params: daemon::ExplainParams,
        mut results: daemon::ExplainResults,
    ) -> Result<(), Error> {
        let id = params.get()?.get_id()?.to_str()?.into();
        match self.ask(Question::Explain { id }).await? {
            Reply::Explain(lines) => {
                let mut list = results.get().init_lines(lines.len() as u32);
                for (index, line) in lines.iter().enumerate() {
                    list.set(index as u32, &**line);
                }
            }
            _ => return Err(mismatch()),
        }
        Ok(())
    }
}
