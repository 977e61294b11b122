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
