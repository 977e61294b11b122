//! Datagrams survive any bytes.

use admit::Hold;
use member::{Kind, Member, State};
use quickcheck::quickcheck;
use wire::{Gossip, MAX_DATAGRAM_BYTES, decode_gossip, encode_gossip};

fn member(node: u64, address: &str) -> Member {
    Member {
        node,
        incarnation: node,
        state: State::Suspect,
        address: address.into(),
        data_centre: "lahore-1".into(),
        service: "ward-desk".into(),
        slots: 12,
    }
}

fn full_gossip() -> Gossip {
    let address = "[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535";
    Gossip {
        kind: Kind::PingRequest,
        sequence: u64::MAX,
        sender: Some(member(1, address)),
        revision: 18_000,
        subject: 2,
        updates: (0..10).map(|node| member(u64::MAX - node, address)).collect(),
        holds: (0..16)
            .map(|n| Hold { fingerprint: u64::MAX - n, crash: u64::MAX / 3 + n })
            .collect(),
        digest: u64::MAX,
        load: None,
    }
}

#[test]
fn the_fullest_datagram_keeps_its_size_and_leaves_news_out() {
    let gossip = full_gossip();
    let bytes = encode_gossip(&gossip);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    let decoded = decode_gossip(&bytes).expect("own bytes");
    assert!(!decoded.updates.is_empty() && gossip.updates.starts_with(&decoded.updates));
    assert_eq!(decoded.sender, gossip.sender);
}

#[test]
fn a_usual_datagram_loses_nothing() {
    let gossip = Gossip {
        updates: (0..10).map(|node| member(node + (1 << 60), "10.20.30.40:8100")).collect(),
        holds: Vec::new(),
        ..full_gossip()
    };
    let bytes = encode_gossip(&gossip);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    assert_eq!(decode_gossip(&bytes).expect("own bytes"), gossip);
}

quickcheck! {
    fn any_bytes_are_decoded_without_a_panic(bytes: Vec<u8>) -> bool {
        let mut marked = vec![1];
        marked.extend(&bytes);
        let _ = decode_gossip(&bytes);
        let _ = decode_gossip(&marked);
        true
    }

    fn any_damage_is_found_or_harmless(place: usize, with: u8) -> bool {
        let mut bytes = encode_gossip(&full_gossip());
        let place = place % bytes.len();
        bytes[place] = with;
        let _ = decode_gossip(&bytes);
        bytes.truncate(place);
        let _ = decode_gossip(&bytes);
        true
    }
}
