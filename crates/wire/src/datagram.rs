//! Encoding of gossip datagrams: a version byte, followed by one packed message.

use std::time::Duration;

use capnp::message::Builder;
use capnp::serialize_packed;
use member::{Confirmation, Kind};

use crate::Error;
use crate::bronzeport_capnp::gossip;
use crate::convert::{
    read_holds, read_load, read_member, read_members, text_of, write_holds, write_load,
    write_member, write_members,
};
use crate::handshake::VERSION;
use crate::message::{Evacuation, Gossip};

/// Largest datagram in bytes. It is below the smallest usual path MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Encodes a datagram of up to [`MAX_DATAGRAM_BYTES`]. If the message is larger, updates and
/// holds at the end of the lists are left out.
pub fn encode_gossip(from: &Gossip) -> Vec<u8> {
    let (mut updates, mut holds) = (from.updates.len(), from.holds.len());
    loop {
        let bytes = encode(from, updates, holds);
        if bytes.len() <= MAX_DATAGRAM_BYTES || (updates == 0 && holds == 0) {
            return bytes;
        }
        updates /= 2;
        holds /= 2;
    }
}

/// Encodes a datagram with the first `updates` members and the first `holds` holds.
fn encode(from: &Gossip, updates: usize, holds: usize) -> Vec<u8> {
    let (updates, holds) = (&from.updates[..updates], &from.holds[..holds]);
    let mut message = Builder::new_default();
    let mut to = message.init_root::<gossip::Builder<'_>>();
    to.set_kind(from.kind as u8);
    to.set_sequence(from.sequence);
    if let Some(sender) = &from.sender {
        write_member(to.reborrow().init_sender(), sender);
    }
    to.set_revision(from.revision);
    to.set_subject(from.subject);
    write_members(to.reborrow().init_updates(updates.len() as u32), updates);
    write_holds(to.reborrow().init_holds(holds.len() as u32), holds);
    to.set_digest(from.digest);
    if let Some(load) = from.load {
        write_load(to.reborrow().init_load(), load);
    }
    if let Some(confirmation) = from.confirmation {
        to.set_store_round(confirmation.round);
        to.set_store_age_millis(u32::try_from(confirmation.age.as_millis()).unwrap_or(u32::MAX));
    }
    to.set_hosts(from.hosts);
    if let Some(evacuation) = &from.evacuation {
        to.set_evacuation_era(evacuation.era);
        to.set_evacuation_version(evacuation.version);
        let mut list = to.init_evacuated(evacuation.data_centres.len() as u32);
        for (index, name) in evacuation.data_centres.iter().enumerate() {
            list.set(index as u32, &**name);
        }
    }
    let mut bytes = vec![VERSION];
    serialize_packed::write_message(&mut bytes, &message).expect("writing to memory does not fail");
    bytes
}

/// Decodes a datagram. Arbitrary bytes give an error at most, never a panic.
pub fn decode_gossip(bytes: &[u8]) -> Result<Gossip, Error> {
    let Some((&VERSION, mut packed)) = bytes.split_first() else {
        return Err(Error::failed("gossip datagram has an unknown protocol version".into()));
    };
    let message = serialize_packed::read_message(&mut packed, crate::reader_options())?;
    let from = message.get_root::<gossip::Reader<'_>>()?;
    let sender = match from.has_sender() {
        true => Some(read_member(from.get_sender()?)?),
        false => None,
    };
    Ok(Gossip {
        kind: Kind::try_from(from.get_kind())
            .map_err(|unknown| Error::failed(format!("unknown gossip kind {}", unknown.0)))?,
        sequence: from.get_sequence(),
        sender,
        revision: from.get_revision(),
        subject: from.get_subject(),
        updates: read_members(from.get_updates()?)?,
        holds: read_holds(from.get_holds()?),
        digest: from.get_digest(),
        load: match from.has_load() {
            true => Some(read_load(from.get_load()?)),
            false => None,
        },
        confirmation: match from.get_store_round() {
            0 => None,
            round => {
                let age = Duration::from_millis(u64::from(from.get_store_age_millis()));
                Some(Confirmation { round, age })
            }
        },
        hosts: from.get_hosts(),
        evacuation: match from.get_evacuation_version() {
            0 => None,
            version => Some(Evacuation {
                era: from.get_evacuation_era(),
                version,
                data_centres: from
                    .get_evacuated()?
                    .iter()
                    .map(text_of)
                    .collect::<Result<_, Error>>()?,
            }),
        },
    })
}
