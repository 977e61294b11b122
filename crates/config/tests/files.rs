//! Service files: matching rules, positions of findings and robustness against
//! arbitrary input. Also the exchange of changes between configurations.

use config::{ActiveConfig, Change, InstallResult, Match, Repeat, Service, Source, stored};
use quickcheck::quickcheck;

const UNLIMITED: usize = usize::MAX;

const BOOKING: &str = r#"service = "booking-desk"
answer_within = "2s"
probe_share = "1%"

[[request]]
name = "confirm"
method = "POST"
path = "/bookings"
repeat = "never"

[[request]]
name = "archive"
method = "GET"
path = "/archive/*"
repeat = "safe"
wait = "yes"
answer_within = "20s"
"#;

fn change(revision: u64, service: &str, body: &str) -> Change {
    Change { revision, published: revision, service: service.into(), body: body.into() }
}

#[test]
fn rules_match_by_method_and_path() {
    let service = Service::try_from(Source::new("b", BOOKING)).unwrap();
    let Match::Rule(rule) = service.find_rule("POST", "/bookings?x=1") else {
        panic!("no rule");
    };
    assert_eq!(rule.repeat, Repeat::Never);
    assert!(!rule.may_wait);
    assert_eq!(service.find_rule("PUT", "/bookings"), Match::UnknownMethod);
    assert_eq!(service.find_rule("GET", "/other"), Match::UnknownPath);
}

#[test]
fn all_findings_are_reported_together_with_their_positions() {
    let text = "service = \"Booking\"\nanswer_within = \"soon\"\nprobe_share = 3\nspeed = 1\n\n\
                [[request]]\nname = \"a\"\nmethod = \"get\"\npath = \"x\"\nrepeat = \"maybe\"\n";
    let findings = Service::try_from(Source::new("f.toml", text)).unwrap_err();
    let lines: Vec<usize> = findings.list.iter().map(|finding| finding.line).collect();
    assert_eq!(lines, [1, 2, 3, 4, 8, 9, 10]);
    assert!(findings.to_string().contains("f.toml:2:17: answer_within: expected a time"));
}

#[test]
fn the_revision_in_force_never_decreases() {
    let mut config = ActiveConfig::default();
    let first = change(1, "booking-desk", BOOKING);
    assert_eq!(config.install(1, vec![first.clone()]), InstallResult::Installed(1));
    assert_eq!(config.install(1, vec![first]), InstallResult::Stale { revision: 1 });
    let broken = change(2, "booking-desk", "service = 1");
    assert_eq!(config.install(2, vec![broken]), InstallResult::Invalid);
    assert_eq!(config.revision(), 1);
    let removed = change(2, "booking-desk", "");
    assert_eq!(config.install(2, vec![removed]), InstallResult::Installed(2));
    assert!(config.service("booking-desk").is_none());
    assert_eq!(config.changes_since(1, UNLIMITED).1.len(), 1);
}

/// Guards against a daemon that has missed a publication, writes an older file again and
/// thereby reverts the later one on daemons that have it.
#[test]
fn a_file_that_is_written_again_does_not_replace_a_later_one() {
    let mut config = ActiveConfig::default();
    config.install(7, vec![change(7, "booking-desk", BOOKING)]);
    let older = Change { published: 6, ..change(9, "booking-desk", "") };
    assert_eq!(config.install(9, vec![older]), InstallResult::Installed(9));
    assert!(config.service("booking-desk").is_some());
    let again = Change { published: 7, ..change(10, "booking-desk", BOOKING) };
    assert_eq!(config.install(10, vec![again]), InstallResult::Installed(10));
    let changes = config.changes_since(9, UNLIMITED).1;
    assert_eq!(changes.len(), 1, "a file that is written again is passed on");
    assert_eq!((changes[0].revision, changes[0].published), (10, 7));
}

#[test]
fn no_revision_is_used_in_two_eras() {
    let before = stored::next_revision(stored::next_revision(0, 1), 1);
    // The store has lost both revisions.
    let after = stored::next_revision(0, 2);
    assert!(after > before, "{after} follows {before}");
    assert_eq!(stored::next_revision(after, 2), after + 1);
    assert!(stored::log_key(before) < stored::log_key(after));
}

#[test]
fn rows_of_the_configuration_are_read_as_written_and_by_earlier_builds() {
    let file = Change { published: 3, ..change(5, "desk", "body \"quoted\"\n") };
    let (key, text) = (stored::service_key("desk"), stored::service_text(&file));
    assert_eq!(stored::read_service(&key, &text), Ok(file.clone()));
    let head = stored::Head { revision: 5, era: Some(2) };
    assert_eq!(stored::Head::try_from(&*head.to_text()), Ok(head));
    assert!(head.is_unconfirmed_in(3) && !head.is_unconfirmed_in(2));
    let entry = stored::Entry {
        revision: 5,
        from: 4,
        publication: "id",
        who: "me",
        when: 0,
        changes: std::slice::from_ref(&file),
    };
    assert_eq!(stored::read_entry(&entry.to_text()), Ok((5, vec![file])));
    let earlier = stored::read_service(&key, r#"{"revision":5,"body":"b"}"#);
    assert_eq!(earlier, Ok(change(5, "desk", "b")));
    let earlier = stored::Head::try_from(r#"{"revision":5}"#).expect("a head without an era");
    assert!(!earlier.is_unconfirmed_in(9));
    assert!(stored::Head::try_from("{}").is_err() && stored::read_entry("{}").is_err());
}

quickcheck! {
    fn parsing_arbitrary_text_does_not_panic(text: String) -> bool {
        let _ = Service::try_from(Source::new("f", &text));
        true
    }

    fn damaged_files_are_accepted_or_reported_with_positions(at: usize, replacement: char) -> bool {
        let mut text: Vec<char> = BOOKING.chars().collect();
        let index = at % text.len();
        text[index] = replacement;
        let text: String = text.into_iter().collect();
        match Service::try_from(Source::new("f", &text)) {
            Ok(_) => true,
            Err(findings) => findings.list.iter().all(|f| f.line >= 1 && f.column >= 1),
        }
    }

    /// A follower that reads the changes of a source in pages of any size ends with
    /// the same configuration as the source.
    fn books_that_pull_from_each_other_agree(steps: Vec<(u8, bool)>, max_bytes: u16) -> bool {
        let max_bytes = usize::from(max_bytes) % 2000;
        let mut source = ActiveConfig::default();
        let mut follower = ActiveConfig::default();
        for (index, (name, pull)) in steps.into_iter().enumerate() {
            let name = format!("s{}", name % 5);
            let body = BOOKING.replace("booking-desk", &name);
            let to = index as u64 + 1;
            source.install(to, vec![change(to, &name, &body)]);
            if pull {
                let (to, changes) = source.changes_since(follower.revision(), max_bytes);
                follower.install(to, changes);
            }
        }
        while follower.revision() < source.revision() {
            let (to, changes) = source.changes_since(follower.revision(), max_bytes);
            if follower.install(to, changes) != InstallResult::Installed(to) {
                return false;
            }
        }
        follower.changes_since(0, UNLIMITED) == source.changes_since(0, UNLIMITED)
    }
}
