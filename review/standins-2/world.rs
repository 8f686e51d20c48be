//! A small deployment: a store, agents as separate processes with filled-in settings, and targets beside them.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http::call, record::Record};

/// The metrics address of the template, whose port is fixed.
const METRICS_PORT: u16 = 7602;
const ZONES: [&str; 3] = ["pitlane", "drivers-stand", "scoring-hall"];

/// Kills its process when it is dropped.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub struct Machine {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub egress: SocketAddr,
    pub admin: SocketAddr,
    pub ready: SocketAddr,
    pub upstream: SocketAddr,
    settings: PathBuf,
    pub agent: Option<Process>,
}

pub struct World {
    /// Root of the repository, in which the agents run.
    root: PathBuf,
    dir: PathBuf,
    pub record_path: PathBuf,
    pub record: Record,
    pub store: SocketAddr,
    _store_process: Process,
    pub machines: Vec<Machine>,
}

impl Drop for World {
    fn drop(&mut self) {
        self.machines.clear();
        // Kept on request, to look into a case.
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// An address with a free port that is not among `used`.
fn free_address(ip: Ipv4Addr, used: &mut Vec<SocketAddr>) -> Result<SocketAddr, String> {
    loop {
        let listener = TcpListener::bind((ip, 0)).map_err(|it| format!("{ip}: {it}"))?;
        let address = listener.local_addr().map_err(|it| it.to_string())?;
        if !used.contains(&address) && address.port() != METRICS_PORT {
            used.push(address);
            return Ok(address);
        }
    }
}

impl World {
    /// Starts the store and writes the first configuration. `services` are those of the machines.
    pub fn start(record: &Path, config: &str, services: &[&str]) -> Result<World, String> {
        let root = PathBuf::from(".").canonicalize().map_err(|it| it.to_string())?;
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("pomelohill-review-{pid}"));
        fs::create_dir_all(&dir).map_err(|it| it.to_string())?;
        let record_path = record.to_owned();
        let record = Record::open(&record_path);
        let net = |host: usize| {
            Ipv4Addr::new(127, 64 + (pid % 64) as u8, (pid / 64 % 250) as u8, host as u8)
        };
        let mut used = Vec::new();
        let mut address = |ip: Ipv4Addr| free_address(ip, &mut used);
        let store = address(net(1))?;
        let store_process = spawn_self(&["store", "--listen", &store.to_string()])?;
        let template =
            fs::read_to_string(root.join("deploy/settings.jsonc")).map_err(|it| it.to_string())?;
        let mut machines = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let ip = net(10 + index);
            let machine = Machine {
                name: format!("sidecar-{}-{}", ZONES[index % 3], index + 1),
                service: (*service).to_owned(),
                zone: ZONES[index % 3].to_owned(),
                egress: address(ip)?,
                admin: address(ip)?,
                ready: address(ip)?,
                upstream: address(ip)?,
                settings: dir.join(format!("node-{index}.conf")),
                agent: None,
            };
            let (control, traffic) = (address(ip)?, address(ip)?);
            let text = template
                .replace("{{node_name}}", &machine.name)
                .replace("{{zone}}", &machine.zone)
                .replace("{{service}}", &machine.service)
                .replace("{{listen.egress}}", &machine.egress.to_string())
                .replace("{{listen.admin}}", &machine.admin.to_string())
                .replace("{{listen.ready_addr}}", &machine.ready.to_string())
                .replace("{{upstream}}", &machine.upstream.to_string())
                .replace("{{ip}}:{{port_range.0}}", &control.to_string())
                .replace("{{listen.ingress}}", &traffic.to_string())
                .replace("{{ip}}", &ip.to_string())
                .replace("{{platform.address}}", &store.to_string())
                .replace("{{#bounds.config_s}}", "")
                .replace("{{bounds.config_s}}", "2")
                .replace("{{/bounds.config_s}}", "");
            let text = match std::env::var("AGENT_LOG") {
                Ok(level) => text.replace(r#""log": "info""#, &format!(r#""log": "{level}""#)),
                Err(_) => text,
            };
            if text.contains("{{") {
                return Err("the template has placeholders that are not filled in".to_owned());
            }
            if TcpListener::bind((ip, METRICS_PORT)).is_err() {
                return Err(format!("port {METRICS_PORT} of {ip} is in use"));
            }
            fs::write(&machine.settings, text).map_err(|it| it.to_string())?;
            machines.push(machine);
        }
        let world = World {
            root,
            dir,
            record_path,
            record,
            store,
            _store_process: store_process,
            machines,
        };
        wait_for("the store", Duration::from_secs(5), || world.write_config(config).is_ok())?;
        Ok(world)
    }

    /// Writes the configuration as the operator does.
    pub fn write_config(&self, config: &str) -> Result<(), String> {
        let limit = Duration::from_secs(1);
        let headers = [("host", "store"), ("content-type", "application/json")];
        let text = format!(r#"{{"meta":{{"name":"main"}},"spec":{config}}}"#);
        let send = |first: &str| call(self.store, first, &headers, text.as_bytes(), limit);
        let created = send("POST /-/objects/config HTTP/1.1").map_err(|it| it.to_string())?;
        let status = match created.status() {
            409 => {
                send("PUT /-/objects/config/main HTTP/1.1").map_err(|it| it.to_string())?.status()
            }
            status => status,
        };
        if status != 200 {
            return Err(format!("the store answered {status}"));
        }
        self.record.line("operator: a configuration is acknowledged");
        Ok(())
    }

    /// Starts the agent of a machine with the command of the deploy file.
    pub fn start_agent(&mut self, index: usize) -> Result<(), String> {
        let log = self.dir.join(format!("agent-{index}.log"));
        let file =
            File::options().append(true).create(true).open(log).map_err(|it| it.to_string())?;
        let machine = &mut self.machines[index];
        let child = Command::new(self.root.join("target/release/pomelohill-mesh"))
            .current_dir(&self.root)
            .env("POMELOHILL_SETTINGS", &machine.settings)
            .stdout(file)
            .stderr(Stdio::inherit())
            .spawn()
            .map_err(|it| format!("target/release/pomelohill-mesh: {it}"))?;
        self.record.line(&format!("platform: starts the agent of {}", machine.name));
        machine.agent = Some(Process(child));
        Ok(())
    }

    /// Kills the agent of a machine.
    pub fn kill_agent(&mut self, index: usize) {
        self.record.line(&format!("platform: kills the agent of {}", self.machines[index].name));
        self.machines[index].agent = None;
    }

    /// Starts a target beside the agent of a machine.
    pub fn start_target(
        &self,
        index: usize,
        id: &str,
        service: &str,
        sharded: bool,
        work_ms: u64,
    ) -> Result<Process, String> {
        let machine = &self.machines[index];
        self.record
            .line(&format!("platform: starts target {id} of {service} at {}", machine.upstream));
        spawn_self(&[
            "target",
            "--id",
            id,
            "--service",
            service,
            "--zone",
            &machine.zone,
            "--address",
            &machine.upstream.to_string(),
            "--admin",
            &machine.admin.to_string(),
            "--capacity",
            "12",
            "--sharded",
            if sharded { "true" } else { "false" },
            "--work-ms",
            &work_ms.to_string(),
            "--record",
            &self.record_path.to_string_lossy(),
        ])
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let limit = Duration::from_millis(500);
        let headers = [("host", "ready")];
        let ready = self.machines[index].ready;
        call(ready, "GET /-/readyz HTTP/1.1", &headers, b"", limit)
            .is_ok_and(|it| it.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> Result<(), String> {
        wait_for("the agents", limit, || (0..self.machines.len()).all(|it| self.is_ready(it)))
    }
}

fn spawn_self(words: &[&str]) -> Result<Process, String> {
    let program = std::env::current_exe().map_err(|it| it.to_string())?;
    Command::new(program).args(words).spawn().map(Process).map_err(|it| it.to_string())
}

pub fn wait_for(what: &str, limit: Duration, is_done: impl Fn() -> bool) -> Result<(), String> {
    let started = Instant::now();
    while !is_done() {
        if started.elapsed() > limit {
            return Err(format!("{what} did not get ready within {limit:?}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}
