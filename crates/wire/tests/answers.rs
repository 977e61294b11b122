//! Answers of another daemon, over a connection on this host.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use kernel::Kernel;
use wire::{Answer, Outcome, Reason, Request, RpcHandler, RpcReply, Uplink};

fn request() -> Request {
    Request {
        id: "r".into(),
        service: "desk".into(),
        method: "GET".into(),
        path: "/".into(),
        headers: Vec::new(),
        body: Bytes::new(),
        remaining: Duration::from_secs(1),
        depth: 0,
        may_wait: false,
        may_queue: true,
        repeatable: true,
        crashes: 0,
        claim_tag: "".into(),
        recall_only: false,
        fingerprint: 1,
        caller: "".into(),
        kind: "read".into(),
        rank: 0,
        target_latency: Duration::from_secs(1),
        once: false,
        entry: 1,
        organisation: "".into(),
        organisation_priority: 0,
    }
}

/// Returns what a daemon receives when another one answers a request with `answer`.
fn transfer(answer: Answer) -> Option<Answer> {
    let kernel = Kernel::new().expect("a runtime");
    kernel.run(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        listener.set_nonblocking(true).expect("a socket option");
        let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
        let handler: RpcHandler = Rc::new(move |_| {
            let answer = Box::new(answer.clone());
            Box::pin(async move { Some(RpcReply::Call(answer)) })
        });
        kernel.start(async move {
            let (stream, _) = listener.accept().await.expect("the client connects");
            let limit = Duration::from_secs(1);
            let _ = wire::serve(stream, limit, Uplink::new(1000.0), handler).await;
        });
        let (client, connection) =
            wire::connect(address, Uplink::new(1000.0)).await.expect("the daemon accepts");
        kernel.start(async move { drop(connection.await) });
        client.call(&request()).await.ok()
    })
}

/// The status 0 marks an answer that no target gave. An entry that took other invalid statuses
/// from a guard, such as one of an earlier build, sent them or the target's body to its caller.
#[test]
fn an_answer_without_a_valid_status_is_an_error() {
    let answer = |status, outcome, reason| Answer {
        status,
        body: Bytes::from_static(b"body"),
        ..Answer::refusal(outcome, reason, 7)
    };
    for status in [0, 1, 65, 99, 100, 101, 199, 600, 999, 1000, u16::MAX] {
        let received = transfer(answer(status, Outcome::Ran, Reason::None));
        assert_eq!(received, None, "status {status}");
    }
    for (status, outcome, reason) in [
        (200, Outcome::Ran, Reason::None),
        (599, Outcome::Ran, Reason::None),
        (503, Outcome::Ran, Reason::TargetShed),
        (0, Outcome::Ran, Reason::TooLarge),
        (0, Outcome::Ran, Reason::AlreadyRan),
        (0, Outcome::NotRun, Reason::Busy),
        (0, Outcome::Unknown, Reason::Cut),
    ] {
        let sent = answer(status, outcome, reason);
        assert_eq!(transfer(sent.clone()), Some(sent), "status {status}");
    }
}
