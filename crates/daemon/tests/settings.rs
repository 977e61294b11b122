//! Settings: flags take precedence over variables, and all findings are reported at once.

use std::ffi::OsString;

use daemon::settings::{Command, Findings, Settings, help, read};
use quickcheck::quickcheck;

fn read_flags(flags: &[&str]) -> Result<Command, Findings> {
    read(flags.iter().map(OsString::from), |_| None)
}

fn settings(flags: &[&str], variable: impl Fn(&str) -> Option<OsString>) -> Settings {
    match read(flags.iter().map(OsString::from), variable) {
        Ok(Command::Run(settings)) => *settings,
        other => panic!("{other:?}"),
    }
}

#[test]
fn flags_override_variables_and_variables_override_defaults() {
    let variable = |name: &str| match name {
        "BRONZEPORT_DATA_CENTRE" => Some("kasur-1".into()),
        "BRONZEPORT_SEED" => Some("7".into()),
        _ => None,
    };
    let shares = ["0%", "2.5%"].map(|share| {
        settings(&["--data-centre", "lahore-1", "--hedge-share", share], variable).hedge_share
    });
    assert_eq!(shares, [Some(0.0), Some(0.025)]);
    let settings = settings(&["--data-centre", "lahore-1"], variable);
    assert_eq!(&*settings.data_centre, "lahore-1");
    assert_eq!(settings.seed, 7);
    assert_eq!(settings.max_depth, 32);
    assert!(settings.target.is_none());
    assert_eq!(settings.hedge_share, None);
}

#[test]
fn all_findings_are_reported_with_their_sources() {
    let variable = |name: &str| (name == "BRONZEPORT_SLOTS").then(|| "many".into());
    let flags = ["--listen", "here", "--policy", "best", "--service", "Desk", "--speed", "1"];
    let flags = [&flags[..], &["--link", "1e-9", "--hedge-share", "3"]].concat();
    let findings = read(flags.iter().map(OsString::from), variable).unwrap_err().to_string();
    for part in [
        "--listen: expected IP:PORT, found `here`",
        "--policy: expected one of random",
        "--service: expected a name",
        "--target: required when a service is set",
        "--speed: unknown flag",
        "--link: expected 0 or a number from 0.1 to 1000000, found `1e-9`",
        "--hedge-share: expected a percentage from 0% to 100%, such as 3%, found `3`",
        "BRONZEPORT_SLOTS: expected a number from 1 to 4096, found `many`",
        "--data-centre: missing",
    ] {
        assert!(findings.contains(part), "{part} is not in:\n{findings}");
    }
}

#[test]
fn a_flag_given_twice_or_without_a_value_is_reported() {
    let twice = read_flags(&["--seed", "1", "--seed", "2"]).unwrap_err();
    assert!(twice.to_string().contains("--seed: given twice"));
    let without_value = read_flags(&["--seed"]).unwrap_err();
    assert!(without_value.to_string().contains("--seed"));
}

#[test]
fn help_lists_each_flag_with_its_variable() {
    let help = help();
    for flag in ["--listen", "--stop-within", "--data-centre", "--check"] {
        assert!(help.contains(flag), "{flag}");
    }
    assert!(help.contains("BRONZEPORT_STOP_WITHIN"));
    assert!(matches!(read_flags(&["--help"]), Ok(Command::Help)));
    assert!(matches!(read_flags(&["--version"]), Ok(Command::Version)));
    assert!(matches!(read_flags(&["--check", "--data-centre", "a"]), Ok(Command::Checked)));
}

quickcheck! {
    fn reading_any_command_line_does_not_panic(flags: Vec<String>) -> bool {
        let _ = read(flags.iter().map(OsString::from), |_| None);
        true
    }
}

/// Locality is off unless it is set, and a wrong value must not switch it off silently.
#[test]
fn the_round_trip_of_far_data_centres_is_optional() {
    let variable = |name: &str| (name == "BRONZEPORT_LOCALITY_RTT").then(|| "2ms".into());
    let rtt = |variable: &dyn Fn(&str) -> Option<OsString>| {
        settings(&["--data-centre", "lahore-1"], variable).locality_rtt
    };
    assert_eq!(rtt(&variable), Some(std::time::Duration::from_millis(2)));
    assert_eq!(rtt(&|_| None), None);
    let wrong = read_flags(&["--data-centre", "lahore-1", "--locality-rtt", "far"]).unwrap_err();
    assert!(wrong.to_string().contains("--locality-rtt: expected a number"), "{wrong}");
}
