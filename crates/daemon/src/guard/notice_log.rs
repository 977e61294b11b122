//! Log lines and metrics that show what the target said about itself, and with which effect.

use std::fmt;

use admit::{Announcement, Notice, NoticeEffect, Registration};

use crate::adapter::TargetAnswer;

/// A notice, described in a bounded length: it may come from any writer.
#[derive(Debug)]
pub(super) struct Description {
    kind: &'static str,
    /// The process that the notice is about.
    pub(super) process: Box<str>,
    details: Box<str>,
}

impl Description {
    pub(super) fn of(notice: &Notice) -> Self {
        match notice {
            Notice::Announced(announcement) => {
                let Announcement { instance, service, address, started, sequence, .. } =
                    announcement;
                let state = match announcement.is_leaving {
                    true => "leaving",
                    false => "ready",
                };
                Self {
                    kind: "heartbeat",
                    process: format!("{instance:.64} of {service:.64} at {address}").into(),
                    details: format!(
                        "start {}, sequence {sequence}, {state}",
                        start_text(*started)
                    )
                    .into(),
                }
            }
            Notice::Deregistered { instance, started } => Self {
                kind: "deregistration",
                process: format!("{instance:.64}").into(),
                details: format!("start {}", start_text(*started)).into(),
            },
        }
    }
}

impl fmt::Display for Description {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {}, {}", self.kind, self.process, self.details)
    }
}

/// Counts a notice, and logs it unless it only confirms what is known.
pub(super) fn record(description: &Description, effect: NoticeEffect, registration: &Registration) {
    let effect_text = effect_text(effect);
    metrics::counter!(
        "bronzeport_notices_total", "kind" => description.kind, "effect" => effect_text
    )
    .increment(1);
    if matches!(effect, NoticeEffect::Confirmed | NoticeEffect::Foreign) {
        return;
    }
    let denied = match registration.is_denied() {
        true => " (not admitted: its health page does not confirm it)",
        false => "",
    };
    let registered = match registration.current() {
        Some(current) => {
            format!("{:.64}, start {}{denied}", current.instance, start_text(current.started))
        }
        None => "none".to_owned(),
    };
    log::info!(
        target: "daemon::guard::belief",
        "{description}: {effect_text}; registered: {registered}; departures remembered: {}",
        registration.departure_count()
    );
}

/// What a health page said last, as far as it is logged.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct PageState {
    status: u16,
    instance: Option<Box<str>>,
    is_leaving: bool,
}

impl PageState {
    pub(super) fn of(answer: &TargetAnswer) -> Self {
        let TargetAnswer { status, is_leaving, .. } = *answer;
        Self { status, instance: answer.instance.clone(), is_leaving }
    }

    /// Logs the state.
    pub(super) fn record(&self) {
        let instance = self.instance.as_deref().unwrap_or("unknown");
        let leaving = match self.is_leaving {
            true => ", leaving",
            false => "",
        };
        log::info!(
            target: "daemon::guard::belief",
            "health page of {instance:.64}: status {}{leaving}",
            self.status
        );
    }
}

fn start_text(started: Option<u64>) -> Box<str> {
    started.map_or("unknown".into(), |started| started.to_string().into())
}

fn effect_text(effect: NoticeEffect) -> &'static str {
    match effect {
        NoticeEffect::Started => "registered",
        NoticeEffect::Confirmed => "confirmed",
        NoticeEffect::Leaving => "leaving",
        NoticeEffect::Stale => "stale",
        NoticeEffect::Foreign => "foreign",
    }
}
