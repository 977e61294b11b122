//! When a daemon reads the store for the others.

use kernel::Inbox;
use store::{Row, Tag};

use super::*;

/// Time limit for a change to be in force, from its acknowledgement.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
const ROW: &str = "op/config";
const PREFIX: &str = "op/evacuate/";

fn duty(earlier: usize, members: usize) -> ReadDuty {
    ReadDuty { read_at: None, is_first: false, earlier, members }
}

#[test]
fn any_daemon_reads_in_time_for_a_change_to_be_in_force() {
    for members in [1, 2, 18, 300, 25_000] {
        for random in [0.0, 0.3, 0.9, 1.0] {
            let step = next_step(READ_AGE, duty(FEED_READERS, members), random);
            let Step::ReadAfter(delay) = step else { panic!("{step:?}") };
            assert!(
                READ_AGE + delay < CONFIG_LIMIT * 3 / 4 + Duration::from_millis(1),
                "{delay:?}"
            );
        }
    }
}

/// A fleet that reads all at once would exceed the read budget and pay for each call.
#[test]
fn few_daemons_read_before_the_first_read_is_known() {
    const SPREAD_TIME: Duration = Duration::from_millis(100);
    for members in [18, 300, 25_000] {
        let mut random = fastrand::Rng::with_seed(7);
        let mut delays: Vec<Duration> =
            (0..members).map(|_| spread_delay(SPREAD, members, random.f64())).collect();
        delays.sort();
        let early = delays.iter().filter(|delay| **delay < delays[0] + SPREAD_TIME).count();
        assert!(early <= 18, "{early} of {members}");
        assert!(delays[members - 1] <= SPREAD);
    }
}

#[test]
fn the_rate_of_attempts_of_a_fleet_without_the_store_is_bounded() {
    for members in [1, 11, 70, 295, 25_000] {
        let per_second = members as f64 / retry_pause(members).as_secs_f64();
        let per_daemon = per_second / members as f64;
        assert!(per_second <= 10.0 || per_daemon <= 0.25, "{members}: {per_second} a second");
    }
}

/// Answers for the membership service of a daemon that is not a feed reader, whose fleet last
/// read the store at `read_at`.
async fn answer_membership(inbox: Inbox<membership::Message>, read_at: std::time::Instant) {
    while let Some(message) = inbox.receive().await {
        match message {
            membership::Message::ReadDuty { reply } => {
                reply.send(ReadDuty { read_at: Some(read_at), ..duty(5, 18) });
            }
            membership::Message::Seniority { reply } => {
                let gossip_age = Duration::ZERO;
                reply.send(membership::Seniority { earlier: 5, gossip_age });
            }
            _ => {}
        }
    }
}

/// The daemons that read the feed were lost, and the others served by the old configuration
/// until the member list had them as lost (issue 35). The member list here has them as present.
#[test]
fn a_daemon_reads_the_table_when_no_other_has_read_it_for_a_while() {
    let kernel = Kernel::paused().expect("a runtime");
    kernel.run(async {
        let clock = *kernel.clock();
        let membership = kernel.register(names::MEMBERSHIP);
        let store: Inbox<storage::Message> = kernel.register(names::STORE);
        let (configuration, installed) = kernel::mailbox();
        Reader::new(&kernel, configuration, ROW, PREFIX).start(Duration::from_millis(1));
        clock.sleep(MEMBERSHIP_SETTLE_TIME).await;
        let read_at = clock.now();
        kernel.start(answer_membership(membership, read_at));
        let Some(storage::Message::ReadTable { reply, .. }) = store.receive().await else {
            panic!("the table is read");
        };
        let waited = clock.now() - read_at;
        assert!(waited < CONFIG_LIMIT, "the table is read after {waited:?}");
        let tag = Tag { era: 1, version: 1 };
        let row = Row { key: ROW.into(), tag, value: "new".into() };
        reply.send(Ok(Rows { rows: vec![row], ..Rows::default() }));
        loop {
            match installed.receive().await.expect("the reader runs") {
                Message::RouteTableRead { text } => break assert_eq!(&*text, "new"),
                _ => continue,
            }
        }
    });
}

fn row(key: &str) -> Row {
    Row { key: key.into(), tag: Tag { era: 1, version: 1 }, value: "".into() }
}

fn names(names: &[&str]) -> DataCentres {
    names.iter().map(|name| Box::from(*name)).collect()
}

/// A row whose text cannot be read requests an evacuation like any other.
#[test]
fn rows_with_the_prefix_name_evacuated_data_centres() {
    let rows = Rows {
        rows: vec![row(ROW), row("op/evacuate/jed-a")],
        deleted: vec!["op/evacuate/ruh-a".into(), "op/other".into()],
        unreadable: vec!["op/evacuate/dmm-a".into()],
        ..Rows::default()
    };
    let added = names(&["dmm-a", "jed-a"]);
    let all = EvacuationRead::All(added.clone());
    assert_eq!(read_evacuation(&rows, PREFIX, true), Some(all));
    let changes = EvacuationRead::Changes { added, removed: names(&["ruh-a"]) };
    assert_eq!(read_evacuation(&rows, PREFIX, false), Some(changes));
}

/// Rows beyond the end of a list that was cut off would count as deleted.
#[test]
fn a_list_that_may_be_cut_off_says_nothing_about_evacuations() {
    let rows = Rows { rows: vec![row("op/evacuate/jed-a"); MAX_ROWS], ..Rows::default() };
    assert_eq!(read_evacuation(&rows, PREFIX, true), None);
    assert!(read_evacuation(&rows, PREFIX, false).is_some());
}
