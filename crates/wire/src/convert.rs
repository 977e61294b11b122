//! Conversion between messages and their Cap'n Proto form.

use std::time::Duration;

use admit::Hold;
use bytes::Bytes;
use capnp::text;
use config::Change;
use member::{Member, State};
use route::Load;

use crate::Error;
use crate::bronzeport_capnp as schema;
use crate::message::{
    Answer, Changes, Header, Outcome, QuotaGrant, QuotaRequest, QuotaWant, Reason, Request,
};

pub(crate) fn text_of(reader: capnp::Result<text::Reader<'_>>) -> Result<Box<str>, Error> {
    Ok(reader?.to_str()?.into())
}

/// Converts to microseconds, limited to 2^32 - 1 (about 71 minutes).
pub(crate) fn micros_of(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}

fn millis_of(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

pub(crate) fn write_request(mut to: schema::request::Builder<'_>, from: &Request) {
    to.set_id(&*from.id);
    to.set_service(&*from.service);
    to.set_method(&*from.method);
    to.set_path(&*from.path);
    write_headers(to.reborrow().init_headers(from.headers.len() as u32), &from.headers);
    to.set_body(&from.body);
    to.set_remaining_micros(micros_of(from.remaining));
    to.set_depth(from.depth);
    to.set_may_wait(from.may_wait);
    to.set_may_queue(from.may_queue);
    to.set_repeatable(from.repeatable);
    to.set_crashes(from.crashes);
    to.set_claim_tag(&*from.claim_tag);
    to.set_recall_only(from.recall_only);
    to.set_fingerprint(from.fingerprint);
    to.set_caller(&*from.caller);
    to.set_kind(&*from.kind);
    to.set_rank(from.rank);
    to.set_aim_micros(micros_of(from.target_latency));
    to.set_once(from.once);
    to.set_entry(from.entry);
    to.set_organisation(&*from.organisation);
    to.set_organisation_priority(from.organisation_priority);
}

pub(crate) fn read_request(from: schema::request::Reader<'_>) -> Result<Request, Error> {
    Ok(Request {
        id: text_of(from.get_id())?,
        service: text_of(from.get_service())?,
        method: text_of(from.get_method())?,
        path: text_of(from.get_path())?,
        headers: read_headers(from.get_headers()?)?,
        body: Bytes::copy_from_slice(from.get_body()?),
        remaining: Duration::from_micros(from.get_remaining_micros().into()),
        depth: from.get_depth(),
        may_wait: from.get_may_wait(),
        may_queue: from.get_may_queue(),
        repeatable: from.get_repeatable(),
        crashes: from.get_crashes(),
        claim_tag: text_of(from.get_claim_tag())?,
        recall_only: from.get_recall_only(),
        fingerprint: from.get_fingerprint(),
        caller: text_of(from.get_caller())?,
        kind: text_of(from.get_kind())?,
        rank: from.get_rank(),
        target_latency: Duration::from_micros(from.get_aim_micros().into()),
        once: from.get_once(),
        entry: from.get_entry(),
        organisation: text_of(from.get_organisation())?,
        organisation_priority: from.get_organisation_priority(),
    })
}

pub(crate) fn write_answer(mut to: schema::answer::Builder<'_>, from: &Answer) {
    to.set_outcome(from.outcome);
    to.set_reason(from.reason);
    to.set_status(from.status);
    write_headers(to.reborrow().init_headers(from.headers.len() as u32), &from.headers);
    to.set_body(&from.body);
    write_load(to.reborrow().init_load(), from.load);
    to.set_retry_after_millis(millis_of(from.retry_after));
    to.set_node(from.node);
    to.set_service_micros(micros_of(from.service_time));
}

pub(crate) fn read_answer(from: schema::answer::Reader<'_>) -> Result<Answer, Error> {
    let answer = Answer {
        outcome: from.get_outcome()?,
        reason: from.get_reason()?,
        status: from.get_status(),
        headers: read_headers(from.get_headers()?)?,
        body: Bytes::copy_from_slice(from.get_body()?),
        load: read_load(from.get_load()?),
        retry_after: Duration::from_millis(from.get_retry_after_millis().into()),
        node: from.get_node(),
        service_time: Duration::from_micros(from.get_service_micros().into()),
    };
    // A request that has run has the status of its target's answer, or a reason for having none.
    let is_without_status =
        answer.status == 0 && (answer.outcome != Outcome::Ran || answer.reason != Reason::None);
    match answer.is_from_target() || is_without_status {
        true => Ok(answer),
        false => Err(Error::failed(format!("the answer has the status {}", answer.status))),
    }
}

fn write_headers(mut to: capnp::struct_list::Builder<'_, schema::header::Owned>, from: &[Header]) {
    for (index, header) in from.iter().enumerate() {
        let mut item = to.reborrow().get(index as u32);
        item.set_name(&*header.name);
        item.set_value(&header.value);
    }
}

fn read_headers(
    from: capnp::struct_list::Reader<'_, schema::header::Owned>,
) -> Result<Vec<Header>, Error> {
    let headers = from.iter().map(|header| {
        Ok(Header { name: text_of(header.get_name())?, value: header.get_value()?.into() })
    });
    headers.collect()
}

pub(crate) fn write_load(mut to: schema::load::Builder<'_>, from: Load) {
    to.set_in_flight(from.in_flight);
    to.set_queued(from.queued);
    to.set_slots(from.slots);
    to.set_service_micros(micros_of(from.service_time));
    to.set_leaving(from.leaving);
    to.set_patient(from.patient);
    to.set_pace_percent(from.pace);
    to.set_start_period_micros(micros_of(from.start_period));
}

pub(crate) fn read_load(from: schema::load::Reader<'_>) -> Load {
    Load {
        in_flight: from.get_in_flight(),
        queued: from.get_queued(),
        slots: from.get_slots(),
        service_time: Duration::from_micros(from.get_service_micros().into()),
        leaving: from.get_leaving(),
        patient: from.get_patient(),
        pace: from.get_pace_percent(),
        start_period: Duration::from_micros(from.get_start_period_micros().into()),
    }
}

pub(crate) fn write_member(mut to: schema::member::Builder<'_>, from: &Member) {
    to.set_node(from.node);
    to.set_incarnation(from.incarnation);
    to.set_state(from.state as u8);
    to.set_address(&*from.address);
    to.set_data_centre(&*from.data_centre);
    to.set_service(&*from.service);
    to.set_slots(from.slots);
}

pub(crate) fn read_member(from: schema::member::Reader<'_>) -> Result<Member, Error> {
    Ok(Member {
        node: from.get_node(),
        incarnation: from.get_incarnation(),
        state: State::try_from(from.get_state())
            .map_err(|unknown| Error::failed(format!("unknown member state {}", unknown.0)))?,
        address: text_of(from.get_address())?,
        data_centre: text_of(from.get_data_centre())?,
        service: text_of(from.get_service())?,
        slots: from.get_slots(),
    })
}

pub(crate) fn write_members(
    mut to: capnp::struct_list::Builder<'_, schema::member::Owned>,
    from: &[Member],
) {
    for (index, member) in from.iter().enumerate() {
        write_member(to.reborrow().get(index as u32), member);
    }
}

pub(crate) fn read_members(
    from: capnp::struct_list::Reader<'_, schema::member::Owned>,
) -> Result<Vec<Member>, Error> {
    from.iter().map(read_member).collect()
}

pub(crate) fn write_changes(mut to: schema::daemon::changes_results::Builder<'_>, from: &Changes) {
    to.set_revision(from.revision);
    let mut list = to.init_changes(from.changes.len() as u32);
    for (index, change) in from.changes.iter().enumerate() {
        let mut item = list.reborrow().get(index as u32);
        item.set_revision(change.revision);
        item.set_published(change.published);
        item.set_service(&*change.service);
        item.set_body(&*change.body);
    }
}

pub(crate) fn read_changes(
    from: schema::daemon::changes_results::Reader<'_>,
) -> Result<Changes, Error> {
    let changes = from.get_changes()?.iter().map(|change| {
        Ok(Change {
            revision: change.get_revision(),
            // A daemon of an earlier build does not send it.
            published: match change.get_published() {
                0 => change.get_revision(),
                published => published,
            },
            service: text_of(change.get_service())?,
            body: text_of(change.get_body())?,
        })
    });
    Ok(Changes { revision: from.get_revision(), changes: changes.collect::<Result<_, Error>>()? })
}

pub(crate) fn write_holds(
    mut to: capnp::struct_list::Builder<'_, schema::hold::Owned>,
    from: &[Hold],
) {
    for (index, hold) in from.iter().enumerate() {
        let mut item = to.reborrow().get(index as u32);
        item.set_fingerprint(hold.fingerprint);
        item.set_crash(hold.crash);
    }
}

pub(crate) fn read_holds(from: capnp::struct_list::Reader<'_, schema::hold::Owned>) -> Vec<Hold> {
    let holds = from
        .iter()
        .map(|hold| Hold { fingerprint: hold.get_fingerprint(), crash: hold.get_crash() });
    holds.collect()
}

pub(crate) fn write_quota_request(mut to: schema::quota_request::Builder<'_>, from: &QuotaRequest) {
    to.set_from(from.from);
    to.set_borrows(from.borrows);
    to.set_credit(from.credit);
    let mut list = to.init_wants(from.wants.len() as u32);
    for (index, want) in from.wants.iter().enumerate() {
        let mut item = list.reborrow().get(index as u32);
        item.set_organisation(&*want.organisation);
        item.set_tokens(want.tokens);
    }
}

pub(crate) fn read_quota_request(
    from: schema::quota_request::Reader<'_>,
) -> Result<QuotaRequest, Error> {
    let wants = from.get_wants()?.iter().map(|want| {
        Ok(QuotaWant { organisation: text_of(want.get_organisation())?, tokens: want.get_tokens() })
    });
    Ok(QuotaRequest {
        from: from.get_from(),
        borrows: from.get_borrows(),
        credit: from.get_credit(),
        wants: wants.collect::<Result<_, Error>>()?,
    })
}

pub(crate) fn write_quota_grants(to: schema::quota_reply::Builder<'_>, from: &[QuotaGrant]) {
    let mut list = to.init_grants(from.len() as u32);
    for (index, grant) in from.iter().enumerate() {
        let mut item = list.reborrow().get(index as u32);
        item.set_organisation(&*grant.organisation);
        item.set_tokens(grant.tokens);
        item.set_retry_after_millis(millis_of(grant.retry_after));
    }
}

pub(crate) fn read_quota_grants(
    from: schema::quota_reply::Reader<'_>,
) -> Result<Vec<QuotaGrant>, Error> {
    let grants = from.get_grants()?.iter().map(|grant| {
        Ok(QuotaGrant {
            organisation: text_of(grant.get_organisation())?,
            tokens: grant.get_tokens(),
            retry_after: Duration::from_millis(grant.get_retry_after_millis().into()),
        })
    });
    grants.collect()
}
