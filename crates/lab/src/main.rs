//! `lab`: the tour, the measurements, and the stand-ins that they start.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use kernel::Kernel;
use lexopt::ValueExt;

use lab::soak::{self, callers};
use lab::{latency, measure, process, relay, scenario, sidecar, slopes, standin, target, tour};

const HELP: &str = "\
lab: stand-ins, load and measurement

usage:
  lab tour [--seed N]        run both deployments at their current sizes
  lab measure --scenario NAME[,NAME] --policy NAME[,NAME] [--seed N]
                             policies side by side, one JSON object for each
  lab soak [--seed N] [--rounds K] [--daemons M] [--skip N,N] [--shrink]
           [--interface platform|callers] [--records FOLDER]
                             random faults, guarantees checked; exits with 1 on a
                             violation; --records writes the daemons' logs
  lab slopes [--seed N]      costs as fleet, configuration and calls grow
  lab latency [--seed N]     time that two daemons add to a call
  lab standin --listen A     (internal) the platform
  lab target --listen A ...  (internal) a target
  lab sidecar --listen A ... (internal) a target on the platform
  lab relay --listen A --to A  (internal) forwards bytes
  lab daemon FLAGS           (internal) bronzeportd
";

type BoxError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<ExitCode, BoxError> {
    let mut args = std::env::args_os().skip(1);
    let command = args.next().and_then(|command| command.into_string().ok());
    match command.as_deref() {
        Some("tour") => run_tour(Options::read(args)?),
        Some("measure") => run_measure(Options::read(args)?),
        Some("soak") => run_soak(Options::read(args)?),
        Some("sidecar") => run_sidecar(Options::read(args)?),
        Some("slopes") => run_slopes(Options::read(args)?),
        Some("latency") => run_latency(Options::read(args)?),
        Some("standin") => run_standin(Options::read(args)?),
        Some("target") => run_target(Options::read(args)?),
        Some("relay") => run_relay(Options::read(args)?),
        Some("daemon") => run_daemon(args),
        _ => {
            print!("{HELP}");
            Ok(ExitCode::from(if command.as_deref() == Some("--help") { 0 } else { 2 }))
        }
    }
}

/// Options of all subcommands.
struct Options {
    listen: Option<SocketAddr>,
    to: Option<SocketAddr>,
    seed: u64,
    slots: usize,
    connections: usize,
    service_time: Duration,
    scenarios: Vec<String>,
    policies: Vec<String>,
    records: Option<PathBuf>,
    rounds: usize,
    daemons: usize,
    skip: Vec<usize>,
    shrink: bool,
    interface: String,
    control: Option<SocketAddr>,
    announced: Option<SocketAddr>,
    service_name: String,
    clock_behind: Duration,
    cold_start: Duration,
}

impl Options {
    fn read(args: impl IntoIterator<Item = std::ffi::OsString>) -> Result<Self, BoxError> {
        let mut options = Self {
            listen: None,
            to: None,
            seed: 1,
            slots: 8,
            connections: 220,
            service_time: Duration::from_millis(20),
            scenarios: Vec::new(),
            policies: vec!["bronzeport".into()],
            records: None,
            rounds: 1,
            daemons: 6,
            skip: Vec::new(),
            shrink: false,
            interface: "platform".into(),
            control: None,
            announced: None,
            service_name: "desk".into(),
            clock_behind: Duration::ZERO,
            cold_start: Duration::ZERO,
        };
        let mut parser = lexopt::Parser::from_args(args);
        while let Some(arg) = parser.next()? {
            match arg {
                lexopt::Arg::Long("listen") => options.listen = Some(parser.value()?.parse()?),
                lexopt::Arg::Long("to") => options.to = Some(parser.value()?.parse()?),
                lexopt::Arg::Long("seed") => options.seed = parser.value()?.parse()?,
                lexopt::Arg::Long("slots") => options.slots = parser.value()?.parse()?,
                lexopt::Arg::Long("connections") => {
                    options.connections = parser.value()?.parse()?
                }
                lexopt::Arg::Long("service-us") => {
                    options.service_time = Duration::from_micros(parser.value()?.parse()?);
                }
                lexopt::Arg::Long("scenario") => options.scenarios = list(&mut parser)?,
                lexopt::Arg::Long("policy") => options.policies = list(&mut parser)?,
                lexopt::Arg::Long("records") => options.records = Some(parser.value()?.into()),
                lexopt::Arg::Long("rounds") => options.rounds = parser.value()?.parse()?,
                lexopt::Arg::Long("daemons") => options.daemons = parser.value()?.parse()?,
                lexopt::Arg::Long("skip") => {
                    let numbers = list(&mut parser)?;
                    options.skip = numbers.iter().map(|n| n.parse()).collect::<Result<_, _>>()?;
                }
                lexopt::Arg::Long("shrink") => options.shrink = true,
                lexopt::Arg::Long("interface") => options.interface = parser.value()?.string()?,
                lexopt::Arg::Long("control") => options.control = Some(parser.value()?.parse()?),
                lexopt::Arg::Long("announced") => {
                    options.announced = Some(parser.value()?.parse()?)
                }
                lexopt::Arg::Long("service") => options.service_name = parser.value()?.string()?,
                lexopt::Arg::Long("clock-behind-ms") => {
                    options.clock_behind = Duration::from_millis(parser.value()?.parse()?);
                }
                lexopt::Arg::Long("cold-start-ms") => {
                    options.cold_start = Duration::from_millis(parser.value()?.parse()?);
                }
                lexopt::Arg::Long("json") => {}
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(options)
    }

    fn listener(&self) -> Result<TcpListener, BoxError> {
        let address = self.listen.ok_or("--listen is missing")?;
        Ok(TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?)
    }
}

fn list(parser: &mut lexopt::Parser) -> Result<Vec<String>, BoxError> {
    Ok(parser.value()?.string()?.split(',').map(String::from).collect())
}

fn run_measure(options: Options) -> Result<ExitCode, BoxError> {
    let mut has_no_violations = true;
    for name in &options.scenarios {
        let unknown =
            || format!("unknown scenario {name}; expected one of {}", scenario::NAMES.join(", "));
        let scenario = scenario::find(name).ok_or_else(unknown)?;
        for policy in &options.policies {
            eprintln!("{name}: {policy}");
            let measurement =
                measure::run(&scenario, policy, options.seed, options.records.as_deref())
                    .map_err(String::from)?;
            println!("{}", measurement.json());
            has_no_violations &= measurement.has_no_violations();
        }
    }
    Ok(if has_no_violations { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn run_soak(options: Options) -> Result<ExitCode, BoxError> {
    let (result, has_no_violations) = match &*options.interface {
        "callers" => {
            let counts = callers::run(options.seed, options.rounds).map_err(String::from)?;
            (counts.json(), counts.has_no_violations())
        }
        "platform" => {
            let settings = soak::Settings {
                seed: options.seed,
                rounds: options.rounds,
                daemons: options.daemons,
                skip: options.skip,
                shrink: options.shrink,
                logs: options.records,
            };
            let report = soak::run(&settings).map_err(String::from)?;
            (report.json(), report.violations.is_empty())
        }
        other => {
            return Err(format!("unknown interface {other}; expected platform or callers").into());
        }
    };
    println!("{result}");
    Ok(if has_no_violations { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn run_sidecar(options: Options) -> Result<ExitCode, BoxError> {
    let settings = sidecar::Settings {
        control: options.control.ok_or("--control is missing")?,
        announced: options.announced.ok_or("--announced is missing")?,
        service: options.service_name.as_str().into(),
        slots: options.slots,
        service_time: options.service_time,
        seed: options.seed,
        clock_behind: options.clock_behind,
        cold_start: options.cold_start,
    };
    serve(&options, |kernel, listener| sidecar::serve(kernel, listener, settings))
}

/// Runs the server that `open` starts on the listener until this process ends.
fn serve(
    options: &Options,
    open: impl FnOnce(&Kernel, TcpListener) -> std::io::Result<web::ServerHandle>,
) -> Result<ExitCode, BoxError> {
    process::exit_with_parent();
    let kernel = Kernel::new()?;
    let listener = options.listener()?;
    kernel.run(async {
        let _server = open(&kernel, listener)?;
        std::future::pending::<()>().await;
        Ok(ExitCode::SUCCESS)
    })
}

fn run_slopes(options: Options) -> Result<ExitCode, BoxError> {
    slopes::run(options.seed, |result| println!("{result}")).map_err(String::from)?;
    Ok(ExitCode::SUCCESS)
}

fn run_latency(options: Options) -> Result<ExitCode, BoxError> {
    for measurement in latency::run(options.seed).map_err(String::from)? {
        println!("{measurement}");
    }
    Ok(ExitCode::SUCCESS)
}

fn run_tour(options: Options) -> Result<ExitCode, BoxError> {
    let has_no_violations = tour::run(options.seed).map_err(String::from)?;
    Ok(if has_no_violations { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn run_standin(options: Options) -> Result<ExitCode, BoxError> {
    serve(&options, |kernel, listener| standin::serve(kernel, listener, options.seed))
}

fn run_target(options: Options) -> Result<ExitCode, BoxError> {
    let settings = target::Settings {
        slots: options.slots,
        connections: options.connections,
        service_time: options.service_time,
        seed: options.seed,
    };
    serve(&options, |kernel, listener| target::serve(kernel, listener, settings))
}

fn run_relay(options: Options) -> Result<ExitCode, BoxError> {
    process::exit_with_parent();
    relay::serve(&options.listener()?, options.to.ok_or("--to is missing")?);
    Ok(ExitCode::SUCCESS)
}

fn run_daemon(args: impl Iterator<Item = std::ffi::OsString>) -> Result<ExitCode, BoxError> {
    process::exit_with_parent();
    let (args, clock_behind) = soak::host::split_clock_offset(args).map_err(String::from)?;
    match daemon::settings::read(args, |_| None)? {
        daemon::settings::Command::Run(mut settings) => {
            settings.clock_behind = clock_behind;
            let edge = platform::adapter_for(settings.interface);
            Ok(daemon::run(*settings, edge))
        }
        _ => Ok(ExitCode::FAILURE),
    }
}
