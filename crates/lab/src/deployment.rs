//! The two reference deployments at their current sizes.

use std::time::Duration;

use crate::fleet::{Plan, ServicePlan};

/// Returns the plan of the Lahore deployment at its current size.
pub fn lahore(policy: &str, seed: u64) -> Plan {
    let services = vec![
        service("ward-desk", 7, 12, 20, WARD_DESK),
        service("munadi-send", 4, 12, 25, MUNADI_SEND),
    ];
    deployment(&["lahore-1", "lahore-2", "kasur-1", "okara-1"], services, policy, seed)
}

/// Returns the plan of the sangh deployment at its current size.
pub fn sangh(policy: &str, seed: u64) -> Plan {
    let services = vec![
        service("slot-board", 7, 9, 20, SLOT_BOARD),
        service("booking-desk", 3, 9, 25, BOOKING_DESK),
    ];
    deployment(&["kathmandu-1", "lalitpur-1", "bhaktapur-1"], services, policy, seed)
}

fn deployment(centres: &[&str], services: Vec<ServicePlan>, policy: &str, seed: u64) -> Plan {
    Plan {
        data_centres: centres.iter().copied().map(Box::from).collect(),
        services,
        entries: 0,
        policy: policy.into(),
        seed,
        logs: None,
    }
}

fn service(name: &str, targets: usize, slots: usize, millis: u64, file: &str) -> ServicePlan {
    ServicePlan {
        name: name.into(),
        targets,
        slots,
        service_time: Duration::from_millis(millis),
        file: file.into(),
    }
}

const WARD_DESK: &str = r#"service = "ward-desk"
answer_within = "500ms"
probe_share = "3%"
retry_share = "10%"
hedge_share = "2%"

[[request]]
name = "current-notice"
method = "GET"
path = "/notices/*"
repeat = "safe"

[[request]]
name = "correction"
method = "PUT"
path = "/poison"
repeat = "safe"

[[request]]
name = "archive"
method = "GET"
path = "/archive/*"
repeat = "safe"
wait = "yes"
answer_within = "5s"
"#;

const MUNADI_SEND: &str = r#"service = "munadi-send"
answer_within = "2s"
probe_share = "3%"

[[request]]
name = "broadcast"
method = "POST"
path = "/broadcasts"
repeat = "never"

[[request]]
name = "progress"
method = "GET"
path = "/broadcasts/*"
repeat = "safe"
"#;

const SLOT_BOARD: &str = r#"service = "slot-board"
answer_within = "500ms"
probe_share = "1%"
hedge_share = "2%"

[[request]]
name = "open-slots"
method = "GET"
path = "/slots/*"
repeat = "safe"
"#;

const BOOKING_DESK: &str = r#"service = "booking-desk"
answer_within = "2s"
probe_share = "1%"

[[request]]
name = "booking"
method = "POST"
path = "/bookings"
repeat = "never"

[[request]]
name = "deposit"
method = "POST"
path = "/deposits"
repeat = "never"

[[request]]
name = "booking-state"
method = "GET"
path = "/bookings/*"
repeat = "safe"
"#;
