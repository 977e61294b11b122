//! The service while the member list and the evacuations come in.

use member::State;

use super::*;
use crate::settings::{Command, read};

const SERVICE: &str = "desk";

/// Returns a member that serves [`SERVICE`].
fn serving(node: Node, data_centre: &str) -> (Member, Duration) {
    let member = Member {
        node,
        incarnation: 0,
        state: State::Alive,
        address: format!("10.0.0.{node}:7000").into(),
        data_centre: data_centre.into(),
        service: SERVICE.into(),
        slots: 8,
    };
    (member, Duration::from_millis(1))
}

fn settings() -> Settings {
    match read(["--data-centre", "lahore-1"].map(Into::into), |_| None) {
        Ok(Command::Run(settings)) => *settings,
        other => panic!("{other:?}"),
    }
}

/// Guards against the refusal of all calls by a daemon that has just started and hears of the
/// evacuation of its own data centre before it hears of the members in the others.
#[test]
fn a_daemon_that_joins_does_not_take_the_members_it_knows_for_all() {
    let kernel = Kernel::paused().unwrap();
    let clock = *kernel.clock();
    start(&kernel, 1, &settings(), 7);
    let mailbox: Mailbox<Message> = kernel.service(names::ROUTER);
    kernel.run(async move {
        let is_evacuated = async || {
            mailbox.request(|reply| Message::IsEvacuated { service: SERVICE.into(), reply }).await
        };
        mailbox.send(Message::Members(vec![serving(1, "lahore-1")]));
        mailbox.send(Message::Evacuated(["lahore-1".into()].into()));
        assert_eq!(is_evacuated().await, Some(false), "other members may be unknown yet");
        clock.sleep(EVACUATION_GRACE).await;
        assert_eq!(is_evacuated().await, Some(true), "no other member has been heard of");
        mailbox.send(Message::Members(vec![serving(1, "lahore-1"), serving(2, "lahore-2")]));
        assert_eq!(is_evacuated().await, Some(false), "a member of another data centre serves");
    });
}
