//! A fleet on loopback with platform, targets and daemons as separate processes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::ports::{free_address, free_addresses};
use crate::process::{self, Process, args_of};

/// Maximum attempts at the initial publication of a fleet.
const MAX_PUBLISH_ATTEMPTS: u32 = 5;

/// Layout and settings of a fleet.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Data centres of the deployment.
    pub data_centres: Vec<Box<str>>,
    /// Services with their targets.
    pub services: Vec<ServicePlan>,
    /// Number of daemons without a target, which only serve as entries.
    pub entries: usize,
    /// Load-balancing policy.
    pub policy: Box<str>,
    /// Seed of all random choices.
    pub seed: u64,
    /// Directory for logs; `None` writes none.
    pub logs: Option<PathBuf>,
}

/// A service of a fleet.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: Box<str>,
    /// Number of targets.
    pub targets: usize,
    /// Slots of each target.
    pub slots: usize,
    /// Mean service time.
    pub service_time: Duration,
    /// Content of the service file.
    pub file: Box<str>,
}

impl Plan {
    /// Plans one service in two data centres. Logs are written if the variable `LAB_LOGS`
    /// names a directory.
    pub fn single_service(service: ServicePlan, seed: u64) -> Self {
        Self {
            data_centres: vec!["lahore-1".into(), "kasur-1".into()],
            services: vec![service],
            entries: 0,
            policy: "bronzeport".into(),
            seed,
            logs: std::env::var_os("LAB_LOGS").map(Into::into),
        }
    }
}

/// A host: a target and the daemon beside it.
#[derive(Debug)]
pub struct Host {
    /// Service of the target.
    pub service: Box<str>,
    /// Address of the daemon for callers.
    pub callers: SocketAddr,
    /// Address of the daemon for other daemons.
    pub peers: SocketAddr,
    /// Admin address of the daemon.
    pub admin: SocketAddr,
    /// Address of the target.
    pub target: SocketAddr,
    /// Process of the daemon, if it is running.
    pub daemon: Option<Process>,
    /// Process of the target, if it is running.
    pub target_process: Option<Process>,
    daemon_args: Vec<String>,
    target_args: Vec<String>,
    /// Ids of the requests that ran at this target, in order.
    pub runs: Vec<Box<str>>,
}

/// A running fleet. All processes are killed on drop.
#[derive(Debug)]
pub struct Fleet {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Process of the platform.
    pub standin: Process,
    /// All hosts.
    pub hosts: Vec<Host>,
    plan: Plan,
}

impl Fleet {
    /// Starts all processes, publishes the services' files and waits until all daemons are
    /// ready.
    pub fn start(plan: Plan) -> Result<Self, Box<str>> {
        let mut fleet = Self::start_platform(plan)?;
        fleet.publish_initial()?;
        fleet.start_hosts()?;
        let limit = Duration::from_secs(20) + Duration::from_millis(200) * fleet.hosts.len() as u32;
        fleet.wait_until_ready(limit)?;
        Ok(fleet)
    }

    /// Starts the platform and prepares the hosts.
    pub fn start_platform(plan: Plan) -> Result<Self, Box<str>> {
        let log = log_path(plan.logs.as_deref(), "platform");
        let (standin, platform) = start_standin(plan.seed, log.as_deref())?;
        let mut fleet = Self { platform, standin, hosts: Vec::new(), plan };
        fleet.prepare_hosts()?;
        Ok(fleet)
    }

    fn prepare_hosts(&mut self) -> Result<(), Box<str>> {
        let services = self.plan.services.clone();
        for service in &services {
            for index in 0..service.targets {
                let host = self.prepare_host(service, index)?;
                self.hosts.push(host);
            }
        }
        let no_service = ServicePlan {
            name: "".into(),
            targets: 0,
            slots: 1,
            service_time: Duration::ZERO,
            file: "".into(),
        };
        for index in 0..self.plan.entries {
            let host = self.prepare_host(&no_service, index)?;
            self.hosts.push(host);
        }
        Ok(())
    }

    fn prepare_host(&self, service: &ServicePlan, index: usize) -> Result<Host, Box<str>> {
        let number = self.hosts.len();
        let [callers, peers, admin, target] = free_addresses()?;
        let centres = &self.plan.data_centres;
        let bootstrap_peers: Vec<String> =
            self.hosts.iter().take(3).map(|host| host.peers.to_string()).collect();
        let seed = self.plan.seed + number as u64 + 1;
        let settings = [
            ("listen", callers.to_string()),
            ("peer-listen", peers.to_string()),
            ("admin", admin.to_string()),
            ("data-centre", centres[index % centres.len()].to_string()),
            ("service", service.name.to_string()),
            ("target", if service.targets > 0 { target.to_string() } else { String::new() }),
            ("slots", service.slots.to_string()),
            ("platform", self.platform.to_string()),
            ("policy", self.plan.policy.to_string()),
            ("seed", seed.to_string()),
            ("peers", bootstrap_peers.join(",")),
        ];
        let target_flags = [
            ("listen", target.to_string()),
            ("slots", service.slots.to_string()),
            ("service-us", service.service_time.as_micros().to_string()),
            ("seed", seed.to_string()),
        ];
        Ok(Host {
            service: service.name.clone(),
            callers,
            peers,
            admin,
            target,
            daemon: None,
            target_process: None,
            daemon_args: args_of("daemon", settings),
            target_args: args_of("target", target_flags),
            runs: Vec::new(),
        })
    }

    /// Starts the targets and daemons of all hosts.
    pub fn start_hosts(&mut self) -> Result<(), Box<str>> {
        for index in 0..self.hosts.len() {
            if !self.hosts[index].service.is_empty() {
                self.start_target(index)?;
            }
            self.start_daemon(index)?;
        }
        Ok(())
    }

    /// Starts the target of a host.
    pub fn start_target(&mut self, index: usize) -> Result<(), Box<str>> {
        let log = log_path(self.plan.logs.as_deref(), &format!("target-{index}"));
        let host = &mut self.hosts[index];
        host.collect_runs();
        host.target_process = Some(process::start(&host.target_args, log.as_deref())?);
        Ok(())
    }

    /// Starts the daemon of a host.
    pub fn start_daemon(&mut self, index: usize) -> Result<(), Box<str>> {
        let log = log_path(self.plan.logs.as_deref(), &format!("daemon-{index}"));
        let host = &mut self.hosts[index];
        host.daemon = Some(process::start(&host.daemon_args, log.as_deref())?);
        Ok(())
    }

    /// Sets a flag of a host's daemon for its next start.
    pub fn set_daemon_flag(&mut self, index: usize, flag: &str, value: &str) {
        let args = &mut self.hosts[index].daemon_args;
        match args.iter().position(|arg| arg == flag) {
            Some(position) => args[position + 1] = value.into(),
            None => args.extend([flag.into(), value.into()]),
        }
    }

    fn files(&self) -> Vec<(Box<str>, Box<str>)> {
        let services = self.plan.services.iter();
        services.map(|service| (service.name.clone(), service.file.clone())).collect()
    }

    /// Publishes the files of the plan. The platform's time limit may expire on a machine
    /// that is busy with the start of other fleets, so failed attempts are repeated.
    pub fn publish_initial(&self) -> Result<(), Box<str>> {
        let mut result = Ok(());
        for _ in 0..MAX_PUBLISH_ATTEMPTS {
            result = match self.publish(&self.files()) {
                Ok(_) => return Ok(()),
                // An earlier attempt that was reported as failed has taken effect.
                Err(error) if error.starts_with("Unchanged") => return Ok(()),
                Err(error) => Err(error),
            };
            std::thread::sleep(Duration::from_millis(200));
        }
        result
    }

    /// Publishes service files and notifies the first two running daemons. Returns the
    /// revision.
    pub fn publish(&self, files: &[(Box<str>, Box<str>)]) -> Result<u64, Box<str>> {
        let publication = cli::publish::Publication {
            id: format!("{:x}", fastrand::u64(..)).into(),
            who: "lab".into(),
            files: files
                .iter()
                .map(|(service, body)| cli::files::ServiceFile {
                    service: service.clone(),
                    body: body.clone(),
                })
                .collect(),
            remove: Vec::new(),
            accept_copy: false,
        };
        let result = with_store(self.platform, async |store| {
            cli::publish::publish(&store, publication).await
        });
        let (published, changes) = result.map_err(|report| format!("{report:?}"))?;
        let cli::publish::PublishResult::Accepted { from, revision } = published else {
            return Err(format!("{published:?}").into());
        };
        let body = json!({ "from": from, "revision": revision, "changes": changes });
        for host in self.hosts.iter().filter(|host| host.daemon.is_some()).take(2) {
            let _ = cli::admin::AdminClient::default().post(host.admin, "/changes", &body);
        }
        Ok(revision)
    }

    /// Waits until every running daemon is ready and has all others in its member list.
    pub fn wait_until_ready(&self, limit: Duration) -> Result<(), Box<str>> {
        let running: Vec<&Host> = self.hosts.iter().filter(|h| h.daemon.is_some()).collect();
        let is_ready = |host: &Host| {
            let Some(state) = host.state() else {
                return false;
            };
            let is_up = state["target"]["reachable"] == true || host.target_process.is_none();
            is_up && has_config_and_members(&state, running.len())
        };
        let waited = wait_until(limit, || running.iter().all(|host| is_ready(host)));
        waited.ok_or("the fleet is not ready in time")?;
        // A daemon's member list reaches the daemon's other components within 100 ms.
        std::thread::sleep(Duration::from_millis(150));
        Ok(())
    }

    /// Sets the platform's faults.
    pub fn set_faults(&self, faults: &Value) {
        let _ = post(self.platform, "/faults", faults);
    }

    /// Returns the platform's call counts.
    pub fn platform_counts(&self) -> Value {
        get(self.platform, "/counts").unwrap_or_default()
    }

    /// Slots of each target of a service.
    pub fn slots_of(&self, service: &str) -> usize {
        let plan = self.plan.services.iter().find(|plan| *plan.name == *service);
        plan.map_or(1, |plan| plan.slots)
    }

    /// Indexes of the hosts of a service.
    pub fn hosts_of(&self, service: &str) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        hosts.filter(|(_, host)| *host.service == *service).map(|(index, _)| index).collect()
    }

    /// Collects the runs that the targets have printed.
    pub fn collect_runs(&mut self) {
        for host in &mut self.hosts {
            host.collect_runs();
        }
    }

    /// Returns the ids, among those for which `is_counted` holds, that ran more than once.
    pub fn ran_twice(&mut self, is_counted: impl Fn(&str) -> bool) -> Vec<Box<str>> {
        self.collect_runs();
        let mut seen = HashSet::new();
        let runs = self.hosts.iter().flat_map(|host| &host.runs);
        let counted = runs.filter(|id| is_counted(id));
        counted.filter(|id| !seen.insert((*id).clone())).cloned().collect()
    }

    /// Whether a request has run on any target.
    pub fn has_run(&mut self, id: &str) -> bool {
        self.collect_runs();
        self.hosts.iter().any(|host| host.runs.iter().any(|run| **run == *id))
    }
}

impl Host {
    /// Returns the daemon's state page.
    pub fn state(&self) -> Option<Value> {
        get(self.admin, "/state")
    }

    /// Returns the sum of one of the daemon's counters over all labels.
    pub fn counter(&self, name: &str) -> f64 {
        self.counter_with(name, "")
    }

    /// Returns the sum of one of the daemon's counters over the labels that contain `label`.
    pub fn counter_with(&self, name: &str, label: &str) -> f64 {
        let Ok(mut response) = agent().get(format!("http://{}/metrics", self.admin)).call() else {
            return 0.0;
        };
        let text = response.body_mut().read_to_string().unwrap_or_default();
        let lines = text.lines().filter(|line| {
            let rest = line.strip_prefix(name);
            rest.is_some_and(|rest| rest.starts_with(['{', ' ']) && rest.contains(label))
        });
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    /// Sets the behaviour of the target.
    pub fn set_target_behaviour(&self, behaviour: &Value) -> Option<Value> {
        post(self.target, "/lab", behaviour)
    }

    fn collect_runs(&mut self) {
        let lines = self.target_process.as_ref().map(Process::lines).unwrap_or_default();
        let ids = lines.iter().filter_map(|line| line.strip_prefix("run "));
        self.runs.extend(ids.map(Box::from));
    }
}

/// Runs `work` with a client of the store at an address.
pub fn with_store<T>(address: SocketAddr, work: impl AsyncFnOnce(store::Store) -> T) -> T {
    let kernel = kernel::Kernel::new().expect("a runtime");
    let settings = store::Settings::at(address, platform::store_protocol());
    let store = store::Store::new(&kernel, settings);
    kernel.run(work(store))
}

/// Whether a daemon's state page shows a configuration and at least this many live members.
pub fn has_config_and_members(state: &Value, members: usize) -> bool {
    let alive = |member: &&Value| member["state"] == "alive";
    let live_members = state["members"].as_array().into_iter().flatten().filter(alive).count();
    state["revision"].as_u64() > Some(0) && live_members >= members
}

/// Polls until `is_done` holds and returns the elapsed time, or `None` after `limit`.
pub fn wait_until(limit: Duration, is_done: impl Fn() -> bool) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if is_done() {
            return Some(start.elapsed());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    None
}

/// Starts the stand-in for the platform and returns its address.
pub fn start_standin(seed: u64, log: Option<&Path>) -> Result<(Process, SocketAddr), Box<str>> {
    let address = free_address()?;
    let flags = [("listen", address.to_string()), ("seed", seed.to_string())];
    let standin = process::start(&args_of("standin", flags), log)?;
    wait_for_listener(address)?;
    Ok((standin, address))
}

fn log_path(folder: Option<&Path>, name: &str) -> Option<PathBuf> {
    folder.map(|folder| folder.join(format!("{name}.log")))
}

/// Waits until an address accepts connections.
pub fn wait_for_listener(address: SocketAddr) -> Result<(), Box<str>> {
    let is_up = || std::net::TcpStream::connect(address).is_ok();
    let waited = wait_until(Duration::from_secs(10), is_up);
    waited.map(drop).ok_or_else(|| format!("nothing listens on {address}").into())
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(5))).build();
    ureq::Agent::new_with_config(config)
}

/// Reads a page as JSON; `None` if the request fails or the page is not JSON.
pub fn get(address: SocketAddr, path: &str) -> Option<Value> {
    let mut response = agent().get(format!("http://{address}{path}")).call().ok()?;
    serde_json::from_str(&response.body_mut().read_to_string().ok()?).ok()
}

/// Posts JSON to a page; `None` if the request fails or the response is not JSON.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> Option<Value> {
    let request = agent().post(format!("http://{address}{path}"));
    let mut response = request.send(body.to_string()).ok()?;
    serde_json::from_str(&response.body_mut().read_to_string().ok()?).ok()
}
