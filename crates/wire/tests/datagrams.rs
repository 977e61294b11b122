//! Encoding of gossip datagrams within their size limit, and decoding of arbitrary bytes.

use std::time::Duration;

use admit::Hold;
use member::{Confirmation, Kind, Member, State};
use quickcheck::quickcheck;
use wire::{Evacuation, Gossip, MAX_DATAGRAM_BYTES, decode_gossip, encode_gossip};

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
        confirmation: Some(Confirmation { round: u64::MAX, age: Duration::from_millis(1500) }),
        hosts: 25_000,
        evacuation: Some(Evacuation {
            era: 3,
            version: u64::MAX,
            data_centres: vec!["lahore-1".into()],
        }),
    }
}

#[test]
fn an_oversized_gossip_message_is_truncated_to_the_datagram_limit() {
    let gossip = full_gossip();
    let bytes = encode_gossip(&gossip);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    let decoded = decode_gossip(&bytes).expect("encoded gossip is valid");
    assert!(!decoded.updates.is_empty() && gossip.updates.starts_with(&decoded.updates));
    assert_eq!(decoded.sender, gossip.sender);
}

#[test]
fn a_typical_gossip_message_fits_without_truncation() {
    let gossip = Gossip {
        updates: (0..10).map(|node| member(node + (1 << 60), "10.20.30.40:8100")).collect(),
        holds: Vec::new(),
        ..full_gossip()
    };
    let bytes = encode_gossip(&gossip);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    assert_eq!(decode_gossip(&bytes).expect("encoded gossip is valid"), gossip);
}

quickcheck! {
    fn decoding_arbitrary_bytes_does_not_panic(bytes: Vec<u8>) -> bool {
        let mut versioned = vec![1];
        versioned.extend(&bytes);
        let _ = decode_gossip(&bytes);
        let _ = decode_gossip(&versioned);
        true
    }

    fn decoding_a_corrupted_datagram_does_not_panic(index: usize, value: u8) -> bool {
        let mut bytes = encode_gossip(&full_gossip());
        let index = index % bytes.len();
        bytes[index] = value;
        let _ = decode_gossip(&bytes);
        bytes.truncate(index);
        let _ = decode_gossip(&bytes);
        true
    }
}
