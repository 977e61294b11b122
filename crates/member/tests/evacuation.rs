//! The set of evacuated data centres under reads of the store and gossip.

use member::{DataCentres, Evacuation, EvacuationRead, StorePosition};

fn names(names: &[&str]) -> DataCentres {
    names.iter().map(|name| Box::from(*name)).collect()
}

fn all(listed: &[&str]) -> EvacuationRead {
    EvacuationRead::All(names(listed))
}

fn changes(added: &[&str], removed: &[&str]) -> EvacuationRead {
    EvacuationRead::Changes { added: names(added), removed: names(removed) }
}

/// A member that has read the whole table at this position.
fn reader(at: StorePosition, listed: &[&str]) -> Evacuation {
    let mut evacuation = Evacuation::default();
    evacuation.apply_read(at, all(listed));
    evacuation
}

/// Passes the set of one member to another, as a datagram does.
fn gossip(from: &Evacuation, to: &mut Evacuation) -> bool {
    from.position().is_some_and(|at| to.learn(at, from.data_centres().clone()))
}

#[test]
fn nothing_is_passed_on_while_no_evacuation_has_been_seen() {
    let mut evacuation = reader((1, 10), &[]);
    assert!(!evacuation.apply_read((1, 20), changes(&[], &[])));
    assert_eq!(evacuation.position(), None);
    assert!(evacuation.apply_read((1, 30), changes(&["jed-a"], &[])));
    assert_eq!(evacuation.position(), Some((1, 30)));
    assert!(!evacuation.apply_read((1, 40), changes(&[], &[])), "nothing has changed");
    assert_eq!(evacuation.position(), Some((1, 30)));
    assert!(evacuation.apply_read((1, 50), changes(&[], &["jed-a"])));
    assert_eq!((evacuation.data_centres(), evacuation.position()), (&names(&[]), Some((1, 50))));
}

/// Two calls of one reader overlap, and the earlier page arrives last.
#[test]
fn an_older_page_changes_nothing() {
    let mut evacuation = reader((1, 10), &[]);
    assert!(evacuation.apply_read((1, 30), changes(&["jed-a"], &["ruh-a"])));
    assert!(!evacuation.apply_read((1, 20), changes(&["ruh-a"], &[])));
    assert!(!evacuation.apply_read((1, 20), all(&["ruh-a"])));
    assert_eq!(*evacuation.data_centres(), names(&["jed-a"]));
}

#[test]
fn the_newest_set_wins_in_gossip() {
    let older = reader((1, 30), &["jed-a"]);
    let newer = reader((1, 31), &["ruh-a"]);
    let mut member = Evacuation::default();
    assert!(gossip(&newer, &mut member));
    assert!(!gossip(&older, &mut member), "it is older");
    assert!(!gossip(&newer, &mut member), "it is known");
    assert_eq!(*member.data_centres(), names(&["ruh-a"]));
    // A change in the next feed page applies to the set that was learned meanwhile.
    let mut member = reader((1, 30), &["jed-a"]);
    assert!(gossip(&newer, &mut member));
    assert!(member.apply_read((1, 40), changes(&["dmm-a"], &[])));
    assert_eq!(*member.data_centres(), names(&["dmm-a", "ruh-a"]));
}

/// The reader that saw the row deleted was replaced before it told all others; its successor
/// found no rows, and had nothing to tell.
#[test]
fn a_member_that_missed_the_end_of_an_evacuation_is_corrected() {
    let mut behind = reader((1, 30), &["jed-a"]);
    let mut reader = reader((1, 50), &[]);
    assert!(gossip(&behind, &mut reader), "others have to hear of the newer set");
    assert_eq!(*reader.data_centres(), names(&[]));
    assert!(gossip(&reader, &mut behind));
    assert_eq!(*behind.data_centres(), names(&[]));
}

/// A store that comes back from an older copy issues its versions again.
#[test]
fn a_set_of_an_earlier_era_does_not_outlive_a_restore() {
    let mut behind = reader((1, 500), &["jed-a"]);
    for listed in [&[][..], &["jed-a"]] {
        // The row was lost, or the reader had not seen it lost.
        let mut reader = reader((1, 400), listed);
        reader.apply_read((2, 90), all(&[]));
        assert!(gossip(&behind, &mut reader) || reader.position() == Some((2, 90)));
        assert_eq!(*reader.data_centres(), names(&[]));
        gossip(&reader, &mut behind);
        assert_eq!(*behind.data_centres(), names(&[]));
        assert_eq!(behind.position(), Some((2, 90)));
    }
    // The set is the same in the new era: its position must be of that era all the same.
    let mut reader = reader((1, 400), &["jed-a"]);
    assert!(reader.apply_read((2, 90), all(&["jed-a"])));
    assert_eq!(reader.position(), Some((2, 90)));
}

/// Changes after a lost history have no base.
#[test]
fn changes_without_a_full_read_in_their_era_are_not_applied() {
    let mut evacuation = Evacuation::default();
    assert!(!evacuation.apply_read((1, 30), changes(&["jed-a"], &[])));
    let mut evacuation = reader((1, 30), &["jed-a"]);
    assert!(!evacuation.apply_read((2, 10), changes(&[], &["jed-a"])));
    assert_eq!(*evacuation.data_centres(), names(&["jed-a"]));
}

/// Rows of another writer made a datagram too large to send.
#[test]
fn names_that_do_not_fit_into_a_datagram_are_left_out() {
    let long = "x".repeat(65);
    let many: Vec<String> = (0..200).map(|number| format!("data-centre-{number:03}")).collect();
    let listed: Vec<&str> = many.iter().map(String::as_str).chain([&*long, ""]).collect();
    let evacuation = reader((1, 1), &listed);
    let bytes: usize = evacuation.data_centres().iter().map(|name| name.len()).sum();
    assert!((800..=900).contains(&bytes), "{bytes}");
    assert!(!evacuation.data_centres().contains(&*long));
}
