//! Reads the settings from flags and environment variables and reports all findings at once.

use std::collections::HashMap;
use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use route::Policy;

/// Checked settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other daemons, TCP and UDP.
    pub peer_listen: SocketAddr,
    /// Address that other daemons connect to, if a relay forwards it to `peer_listen`.
    pub peer_address: Option<SocketAddr>,
    /// Address of the admin interface.
    pub admin: SocketAddr,
    /// The daemon's data centre.
    pub data_centre: Box<str>,
    /// The target beside the daemon, if there is one.
    pub target: Option<Target>,
    /// The platform, if there is one.
    pub platform: Option<SocketAddr>,
    /// Daemons from which a new daemon first requests members and configuration.
    pub peers: Vec<SocketAddr>,
    /// Longest random wait before the daemon reads the table of members to find other
    /// daemons. When a whole fleet starts for the first time, the wait lets later daemons
    /// find the earlier ones.
    pub join_within: Duration,
    /// How targets are chosen.
    pub policy: Policy,
    /// Seed of the random number generator; 0 uses a seed from the system.
    pub seed: u64,
    /// Longest time that a stopping daemon waits for requests in flight.
    pub stop_within: Duration,
    /// Greatest depth of a chain of calls.
    pub max_depth: u8,
    /// Filter of log lines.
    pub log: Box<str>,
    /// Interface to callers and targets.
    pub interface: Interface,
    /// Address where the target announces itself, if it does.
    pub announce: Option<SocketAddr>,
    /// Address that reports whether the daemon accepts calls, in addition to the admin
    /// interface.
    pub ready: Option<SocketAddr>,
    /// Cost of transferring a megabyte between data centres when a target is chosen, as
    /// time in seconds.
    pub transfer_cost: f64,
    /// Round-trip time from which on other data centres receive requests only when the local
    /// one lacks capacity, and few datagrams; `None` if all data centres count as close.
    pub locality_rtt: Option<Duration>,
    /// Whether the target counts as cold until the first configuration says how many requests a
    /// cold target gets. A daemon that is restarted beside a cold target needs this.
    pub cold_until_configured: bool,
    /// Speed of the host's link in Mbit/s; 0 if unknown.
    pub link: f64,
    /// Time after the announcement of a stop in which the daemon still accepts callers.
    pub linger: Duration,
    /// How far the host's clock is behind. No flag sets it; tests use it to simulate a clock
    /// that has been set back.
    pub clock_behind: Duration,
}

/// Interface to callers and targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    /// The project's own interface.
    Callers,
    /// The interface of the users' platform.
    Platform,
}

/// The target beside a daemon.
#[derive(Debug, Clone)]
pub struct Target {
    /// Service that it serves.
    pub service: Box<str>,
    /// Address of its HTTP endpoint.
    pub address: SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Number of connections that it accepts.
    pub connections: u16,
}

/// Command that the command line requests.
#[derive(Debug)]
pub enum Command {
    /// Run with these settings.
    Run(Box<Settings>),
    /// Report that the settings are valid.
    Checked,
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

/// All findings about the settings.
#[derive(Debug)]
pub struct Findings(pub Vec<Finding>);

/// A finding and its source: a flag, an environment variable or the command line.
#[derive(Debug)]
pub struct Finding {
    source: Box<str>,
    text: Box<str>,
}

struct Setting {
    flag: &'static str,
    unit: &'static str,
    default: &'static str,
    help: &'static str,
}

const fn setting(
    flag: &'static str,
    unit: &'static str,
    default: &'static str,
    help: &'static str,
) -> Setting {
    Setting { flag, unit, default, help }
}

const SETTINGS: [Setting; 25] = [
    setting("listen", "IP:PORT", "127.0.0.1:8000", "address for callers"),
    setting("peer-listen", "IP:PORT", "127.0.0.1:8100", "address for other daemons, TCP and UDP"),
    setting(
        "peer-address",
        "IP:PORT",
        "",
        "address that other daemons connect to, TCP and UDP; empty for that of --peer-listen",
    ),
    setting("admin", "IP:PORT", "127.0.0.1:8200", "address of the admin interface"),
    setting("data-centre", "name", "", "data centre of this host; required"),
    setting("service", "name", "", "service of the target beside the daemon; empty for none"),
    setting("target", "IP:PORT", "", "address of the target beside the daemon"),
    setting("slots", "requests", "8", "requests that the target runs concurrently, 1 to 4096"),
    setting("connections", "connections", "220", "connections that the target accepts, 1 to 65535"),
    setting("platform", "IP:PORT", "", "address of the table service and object store"),
    setting("peers", "IP:PORT,...", "", "daemons that first supply members and configuration"),
    setting(
        "join-within",
        "seconds",
        "0",
        "longest random wait before reading the table of members, 0 to 60",
    ),
    setting(
        "policy",
        "name",
        "bronzeport",
        "policy for choosing a target: random, round-robin, least-in-flight, two-choices, bronzeport",
    ),
    setting(
        "seed",
        "number",
        "0",
        "seed of the random number generator; 0 uses one from the system",
    ),
    setting(
        "stop-within",
        "seconds",
        "30",
        "longest wait for requests in flight when stopping, 0 to 3600",
    ),
    setting(
        "transfer-cost",
        "s/MB",
        "0",
        "cost of a megabyte between data centres in the choice of a target, 0 to 1000",
    ),
    setting(
        "locality-rtt",
        "seconds",
        "",
        "round trip from which on other data centres are used only if needed, 0 to 10; empty: off",
    ),
    setting(
        "cold-until-configured",
        "yes|no",
        "no",
        "whether the target counts as cold until the first configuration is known",
    ),
    setting("link", "Mbit/s", "0", "speed of the host's link, 0.1 to 1000000; 0 if unknown"),
    setting("linger", "seconds", "1", "time to keep accepting callers when stopping, 0 to 60"),
    setting("interface", "name", "callers", "interface to callers and targets: callers, platform"),
    setting("announce", "IP:PORT", "", "address where the target announces itself"),
    setting("ready", "IP:PORT", "", "address that reports whether calls are accepted"),
    setting("max-depth", "calls", "32", "greatest depth of a chain of calls, 1 to 255"),
    setting("log", "level", "info", "least severe log lines to write: error, warn, info, debug"),
];

/// The text of `--help`.
pub fn help() -> String {
    let mut text = String::from(
        "bronzeportd: the load balancer's process beside each target\n\n\
         usage: bronzeportd [--FLAG VALUE]... [--check] [--help] [--version]\n\n\
         A flag takes precedence over its environment variable.\n\n",
    );
    for Setting { flag, unit, default, help } in &SETTINGS {
        let flag_text = format!("--{flag}");
        let variable = variable_of(flag);
        let default = if default.is_empty() { "none" } else { default };
        text.push_str(&format!("  {flag_text:<14} {variable:<24} {unit:<12} {help} [{default}]\n"));
    }
    text.push_str("\n  --check        check the settings, report all findings, exit with 0 or 2\n");
    text
}

/// Parses the command line and the environment variables.
pub fn read(
    args: impl IntoIterator<Item = OsString>,
    variable: impl Fn(&str) -> Option<OsString>,
) -> Result<Command, Findings> {
    let mut raw = RawSettings::default();
    let mut is_check = false;
    let mut parser = lexopt::Parser::from_args(args);
    loop {
        let arg = match parser.next() {
            Ok(Some(arg)) => arg,
            Ok(None) => break,
            Err(error) => {
                raw.add_finding("command line", error.to_string());
                break;
            }
        };
        match arg {
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(Command::Help),
            lexopt::Arg::Long("version") | lexopt::Arg::Short('V') => return Ok(Command::Version),
            lexopt::Arg::Long("check") => is_check = true,
            lexopt::Arg::Long(flag) => {
                let flag = flag.to_owned();
                raw.read_flag(&flag, &mut parser);
            }
            other => raw.add_finding("command line", other.unexpected().to_string()),
        }
    }
    raw.read_variables(variable);
    let settings = Settings::try_from(raw)?;
    Ok(match is_check {
        true => Command::Checked,
        false => Command::Run(Box::new(settings)),
    })
}

/// Unparsed values with their sources, and the findings so far.
#[derive(Default)]
struct RawSettings {
    values: HashMap<&'static str, Value>,
    findings: Vec<Finding>,
}

struct Value {
    source: Box<str>,
    text: Box<str>,
}

impl RawSettings {
    fn add_finding(&mut self, source: impl Into<Box<str>>, text: impl Into<Box<str>>) {
        self.findings.push(Finding { source: source.into(), text: text.into() });
    }

    fn read_flag(&mut self, flag: &str, parser: &mut lexopt::Parser) {
        let source = format!("--{flag}");
        let Some(setting) = SETTINGS.iter().find(|setting| setting.flag == flag) else {
            self.add_finding(source, "unknown flag");
            return;
        };
        match parser.value().map(OsString::into_string) {
            Ok(Ok(text)) => {
                let value = Value { source: source.clone().into(), text: text.into() };
                if self.values.insert(setting.flag, value).is_some() {
                    self.add_finding(source, "given twice");
                }
            }
            Ok(Err(_)) => self.add_finding(source, "the value is not valid UTF-8"),
            Err(error) => self.add_finding(source, error.to_string()),
        }
    }

    fn read_variables(&mut self, variable: impl Fn(&str) -> Option<OsString>) {
        for setting in &SETTINGS {
            let name = variable_of(setting.flag);
            if self.values.contains_key(setting.flag) {
                continue;
            }
            match variable(&name).map(OsString::into_string) {
                Some(Ok(text)) => {
                    let value = Value { source: name.into(), text: text.into() };
                    self.values.insert(setting.flag, value);
                }
                Some(Err(_)) => self.add_finding(name, "the value is not valid UTF-8"),
                None => {}
            }
        }
    }

    /// Returns the text of a setting or its default; `None` if it is empty.
    fn text(&self, flag: &str) -> Option<&str> {
        let given = self.values.get(flag).map(|value| &*value.text);
        let default = SETTINGS.iter().find(|setting| setting.flag == flag)?.default;
        Some(given.unwrap_or(default)).filter(|text| !text.is_empty())
    }

    fn source(&self, flag: &str) -> Box<str> {
        let given = self.values.get(flag).map(|value| value.source.clone());
        given.unwrap_or_else(|| format!("--{flag}").into())
    }

    fn parse<T>(&mut self, flag: &str, scan: impl Fn(&str) -> Result<T, Box<str>>) -> Option<T> {
        let text = self.text(flag)?;
        match scan(text) {
            Ok(value) => Some(value),
            Err(finding) => {
                let text = format!("{finding}, found `{text}`");
                self.add_finding(self.source(flag), text);
                None
            }
        }
    }

    fn require<T>(&mut self, flag: &str, scan: impl Fn(&str) -> Result<T, Box<str>>) -> Option<T> {
        if self.text(flag).is_none() {
            self.add_finding(self.source(flag), "missing");
            return None;
        }
        self.parse(flag, scan)
    }

    fn number(&mut self, flag: &str, min: u64, max: u64) -> Option<u64> {
        self.require(flag, |text| {
            let number = text.parse().ok().filter(|n| (min..=max).contains(n));
            number.ok_or_else(|| format!("expected a number from {min} to {max}").into())
        })
    }

    /// Parses the speed of a link in Mbit/s, or 0.
    fn speed(&mut self, flag: &str, min: f64, max: f64) -> Option<f64> {
        self.require(flag, |text| {
            let is_allowed = |speed: &f64| *speed == 0.0 || (min..=max).contains(speed);
            let speed = text.parse().ok().filter(is_allowed);
            speed.ok_or_else(|| format!("expected 0 or a number from {min} to {max}").into())
        })
    }

    /// Parses a time in seconds, with or without a unit: `6`, `6s`, `1.5s`, `1500ms`.
    fn seconds(&mut self, flag: &str, max: f64) -> Option<Duration> {
        self.require(flag, |text| scan_seconds(text, max))
    }

    fn target(&mut self) -> Option<Target> {
        let service = self.parse("service", scan_name);
        let address = self.parse("target", scan_address);
        let slots = self.number("slots", 1, 4096);
        let connections = self.number("connections", 1, 65535);
        if self.text("service").is_some() && self.text("target").is_none() {
            self.add_finding(self.source("target"), "required when a service is set");
        }
        if self.text("target").is_some() && self.text("service").is_none() {
            self.add_finding(self.source("service"), "required when a target is set");
        }
        Some(Target {
            service: service?,
            address: address?,
            slots: slots? as u16,
            connections: connections? as u16,
        })
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = Findings;

    fn try_from(mut raw: RawSettings) -> Result<Self, Findings> {
        let listen = raw.require("listen", scan_address);
        let peer_listen = raw.require("peer-listen", scan_address);
        let peer_address = raw.parse("peer-address", scan_address);
        let admin = raw.require("admin", scan_address);
        let data_centre = raw.require("data-centre", scan_name);
        let target = raw.target();
        let platform = raw.parse("platform", scan_address);
        let peers = raw.parse("peers", scan_addresses);
        let join_within = raw.seconds("join-within", 60.0);
        let policy = raw.require("policy", |text| Policy::try_from(text));
        let seed = raw.number("seed", 0, u64::MAX);
        let stop_within = raw.seconds("stop-within", 3600.0);
        let max_depth = raw.number("max-depth", 1, 255);
        let log = raw.require("log", scan_level);
        let linger = raw.seconds("linger", 60.0);
        let link = raw.speed("link", 0.1, 1e6);
        let transfer_cost = raw.seconds("transfer-cost", 1000.0);
        let locality_rtt = raw.parse("locality-rtt", |text| scan_seconds(text, 10.0));
        let cold_until_configured = raw.require("cold-until-configured", scan_yes_no);
        let interface = raw.require("interface", |text| Interface::try_from(text));
        let announce = raw.parse("announce", scan_address);
        let ready = raw.parse("ready", scan_address);
        let settings = (|| {
            Some(Self {
                listen: listen?,
                peer_listen: peer_listen?,
                peer_address,
                admin: admin?,
                data_centre: data_centre?,
                target,
                platform,
                peers: peers.unwrap_or_default(),
                join_within: join_within?,
                policy: policy?,
                seed: seed?,
                stop_within: stop_within?,
                max_depth: max_depth? as u8,
                log: log?,
                interface: interface?,
                announce,
                ready,
                locality_rtt,
                cold_until_configured: cold_until_configured?,
                link: link?,
                linger: linger?,
                clock_behind: Duration::ZERO,
                transfer_cost: transfer_cost?.as_secs_f64(),
            })
        })();
        match settings {
            Some(settings) if raw.findings.is_empty() => Ok(settings),
            _ => Err(Findings(raw.findings)),
        }
    }
}

impl TryFrom<&str> for Interface {
    type Error = Box<str>;

    fn try_from(name: &str) -> Result<Self, Box<str>> {
        match name {
            "callers" => Ok(Self::Callers),
            "platform" => Ok(Self::Platform),
            _ => Err("expected callers or platform".into()),
        }
    }
}

fn variable_of(flag: &str) -> String {
    format!("BRONZEPORT_{}", flag.replace('-', "_").to_uppercase())
}

fn scan_address(text: &str) -> Result<SocketAddr, Box<str>> {
    text.parse().map_err(|_| "expected IP:PORT".into())
}

fn scan_addresses(text: &str) -> Result<Vec<SocketAddr>, Box<str>> {
    text.split(',').map(|part| scan_address(part.trim())).collect()
}

fn scan_level(text: &str) -> Result<Box<str>, Box<str>> {
    let levels = ["error", "warn", "info", "debug"];
    let is_known = levels.contains(&text);
    is_known.then(|| text.into()).ok_or_else(|| "expected error, warn, info or debug".into())
}

fn scan_yes_no(text: &str) -> Result<bool, Box<str>> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("expected yes or no".into()),
    }
}

fn scan_seconds(text: &str, max: f64) -> Result<Duration, Box<str>> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s').unwrap_or(text), 1.0),
    };
    let seconds = number.parse::<f64>().ok().map(|number| number * unit);
    let seconds = seconds.filter(|seconds| (0.0..=max).contains(seconds));
    seconds
        .map(Duration::from_secs_f64)
        .ok_or_else(|| format!("expected a number from 0 to {max}").into())
}

fn scan_name(text: &str) -> Result<Box<str>, Box<str>> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let is_name = text.len() <= 64 && text.bytes().all(allowed);
    is_name
        .then(|| text.into())
        .ok_or_else(|| "expected a name of lower-case letters, digits and hyphens".into())
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.source, self.text)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Finding::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Findings {}
