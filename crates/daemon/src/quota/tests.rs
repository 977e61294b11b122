//! The service with stand-ins for membership and the connections to other daemons.

use config::Quota;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn local() -> Member {
    Member {
        node: 1,
        incarnation: 0,
        state: State::Alive,
        address: "10.0.0.1:7000".into(),
        data_centre: "lahore-1".into(),
        service: "".into(),
        slots: 0,
    }
}

fn organisations(per_second: f64) -> Message {
    let quota = Some(Quota { per_second, burst: per_second });
    Message::Organisations(vec![Organisation { name: "shop".into(), priority: 0, quota }])
}

/// Starts the service on a paused clock. Membership knows only the local host.
fn started() -> (Kernel, Mailbox<Message>, Inbox<peers::Message>) {
    let kernel = Kernel::paused().unwrap();
    let membership = kernel.register::<membership::Message>(names::MEMBERSHIP);
    let peers = kernel.register::<peers::Message>(names::PEERS);
    let starter = kernel.clone();
    kernel.run(async move { start(&starter, &local()) });
    kernel.start(async move {
        while let Some(message) = membership.receive().await {
            if let membership::Message::All { reply } = message {
                reply.send(vec![local()]);
            }
        }
    });
    let mailbox = kernel.service(names::QUOTA);
    (kernel, mailbox, peers)
}

async fn admit(mailbox: &Mailbox<Message>) -> Admission {
    let organisation = "shop".into();
    let message = |reply| Message::Admit { organisation, time_left: 2 * SECOND, reply };
    mailbox.request(message).await.unwrap()
}

/// Guards against messages of a fleet without quotas, and against refusals there.
#[test]
fn without_a_quota_nothing_is_sent_or_refused() {
    let (kernel, mailbox, peers) = started();
    let clock = *kernel.clock();
    kernel.run(async move {
        mailbox.send(Message::Organisations(vec![Organisation {
            name: "shop".into(),
            priority: 0,
            quota: None,
        }]));
        mailbox.send(Message::MembersChanged);
        for _ in 0..100 {
            assert_eq!(admit(&mailbox).await, Admission::Granted);
        }
        assert!(clock.timeout(10 * SECOND, peers.receive()).await.is_err());
    });
}

/// Guards against a host that is alone and grants nothing, or more than the quota, and against
/// requests that are left without a decision.
#[test]
fn a_host_alone_grants_the_quota_and_no_more() {
    let (kernel, mailbox, _peers) = started();
    let clock = *kernel.clock();
    kernel.run(async move {
        mailbox.send(organisations(5.0));
        clock.sleep(10 * SECOND).await;
        let mut granted = 0;
        for _ in 0..40 {
            match admit(&mailbox).await {
                Admission::Granted => granted += 1,
                Admission::Refused { retry_after } => assert!(retry_after > Duration::ZERO),
                Admission::Pending => panic!("no decision"),
            }
        }
        assert!((5..=26).contains(&granted), "{granted} granted of a burst of 5");
        mailbox.send(Message::Organisations(Vec::new()));
        assert_eq!(admit(&mailbox).await, Admission::Granted);
    });
}

/// Guards against tokens of a coordinator that are granted twice, and against numbers in
/// messages that make tokens.
#[test]
fn a_coordinator_grants_and_lends_what_it_was_sent() {
    let (kernel, mailbox, _peers) = started();
    kernel.run(async move {
        mailbox.send(organisations(20.0));
        let exchange = async |borrows, credit, tokens| {
            let wants = vec![QuotaWant { organisation: "shop".into(), tokens }];
            let request = QuotaRequest { from: 2, borrows, credit, wants };
            let message = |reply| Message::Exchange { request, reply };
            let grants = mailbox.request(message).await.unwrap();
            grants.iter().map(|grant| grant.tokens).sum::<f64>()
        };
        assert_eq!(exchange(false, 0.25, 3.0).await, 3.0);
        // 0.25 s of 20 tokens a second are five in all.
        assert_eq!(exchange(false, 0.0, 3.0).await, 2.0);
        assert_eq!(exchange(false, 0.0, 3.0).await, 0.0);
        assert_eq!(exchange(false, f64::NAN, f64::INFINITY).await, 0.0);
        assert_eq!(exchange(true, 0.0, f64::NAN).await, 0.0);
    });
}

/// Runs one of several hosts on real connections: requests enter for a while. Returns how many
/// were granted, and for how long they came.
fn run_host(listener: std::net::TcpListener, local: Member, members: Vec<Member>) -> (u32, f64) {
    let kernel = Kernel::new().unwrap();
    let membership = kernel.register::<membership::Message>(names::MEMBERSHIP);
    let main = async {
        start(&kernel, &local);
        peers::start(&kernel, wire::Uplink::new(0.0));
        kernel.start(async move {
            while let Some(message) = membership.receive().await {
                if let membership::Message::All { reply } = message {
                    reply.send(members.clone());
                }
            }
        });
        let mailbox: Mailbox<Message> = kernel.service(names::QUOTA);
        let requests = mailbox.clone();
        let handler: wire::RpcHandler = std::rc::Rc::new(move |request| {
            let mailbox = requests.clone();
            Box::pin(async move {
                let wire::RpcRequest::ExchangeQuota(request) = request else { return None };
                let message = |reply| Message::Exchange { request, reply };
                mailbox.request(message).await.map(wire::RpcReply::ExchangeQuota)
            })
        });
        listener.set_nonblocking(true).unwrap();
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        let acceptor = kernel.clone();
        kernel.start(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serve = wire::serve(stream, SECOND, wire::Uplink::new(0.0), handler.clone());
                acceptor.start(async move { drop(serve.await) });
            }
        });
        mailbox.send(organisations(30.0));
        mailbox.send(Message::ListsCompared);
        let clock = *kernel.clock();
        clock.sleep(3 * SECOND).await;
        let (began, mut granted) = (clock.now(), 0);
        for _ in 0..200 {
            granted += u32::from(admit(&mailbox).await == Admission::Granted);
            clock.sleep(Duration::from_millis(10)).await;
        }
        let took = (clock.now() - began).as_secs_f64();
        // The others may still need this host.
        clock.sleep(SECOND).await;
        (granted, took)
    };
    kernel.run(main)
}

/// Guards against hosts that do not get tokens from their coordinator or from that of another
/// data centre, and against each host granting the whole quota.
#[test]
fn hosts_share_a_quota_over_connections() {
    let listeners: Vec<std::net::TcpListener> =
        (0..3).map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let member = |(host, listener): (usize, &std::net::TcpListener)| Member {
        node: host as u64 + 1,
        address: listener.local_addr().unwrap().to_string().into(),
        data_centre: ["lahore-1", "lahore-1", "multan-1"][host].into(),
        ..local()
    };
    let members: Vec<Member> = listeners.iter().enumerate().map(member).collect();
    let run = |(listener, local): (std::net::TcpListener, &Member)| {
        let (local, members) = (local.clone(), members.clone());
        std::thread::spawn(move || run_host(listener, local, members))
    };
    let threads: Vec<_> = listeners.into_iter().zip(&members).map(run).collect();
    let results: Vec<(u32, f64)> =
        threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    let granted: u32 = results.iter().map(|(granted, _)| granted).sum();
    let longest = results.iter().map(|(_, took)| *took).fold(0.0, f64::max);
    // The threads do not start at the same time.
    let permitted = (30.0 * (longest + 1.0) + 30.0) * 1.1 + 20.0;
    assert!(f64::from(granted) <= permitted, "{results:?}, {permitted} permitted");
    assert!(results.iter().all(|(granted, _)| *granted > 0), "{results:?}");
    println!("{results:?}");
}
