//! Starts the project's agent as the deploy file does, with the template filled in as the platform does it.

use std::{
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// `grace_s` of a small deployment.
const GRACE: Duration = Duration::from_secs(6);

pub struct Setup {
    pub program: String,
    pub template: String,
    pub dir: String,
    pub record: Record,
}

/// The addresses of one machine: a loopback address of its own, with free ports.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub ip: Ipv4Addr,
    /// Egress, ingress, ready, admin, target, control.
    ports: [SocketAddr; 6],
}

impl Machine {
    pub fn new(setup: &Setup, number: u8, zone: &str, service: &str) -> Machine {
        let pid = std::process::id();
        let ip = Ipv4Addr::new(127, 40 + (pid >> 8) as u8 % 80, pid as u8, 10 + number);
        let name = format!("sidecar-{zone}-{number}");
        let listeners = [(); 6].map(|()| bind_any(ip));
        let ports = listeners.map(|it| it.local_addr().expect("a bound socket has an address"));
        setup.record.line(&format!("machine {name} at {ip}, service {service}"));
        Machine { name, zone: zone.to_owned(), service: service.to_owned(), ip, ports }
    }

    pub fn egress(&self) -> SocketAddr {
        self.ports[0]
    }

    fn ingress(&self) -> SocketAddr {
        self.ports[1]
    }

    pub fn ready(&self) -> SocketAddr {
        self.ports[2]
    }

    pub fn admin(&self) -> SocketAddr {
        self.ports[3]
    }

    pub fn upstream(&self) -> SocketAddr {
        self.ports[4]
    }

    fn control(&self) -> SocketAddr {
        self.ports[5]
    }

    fn settings(&self, template: &str, store: SocketAddr) -> String {
        let config_s =
            "{{#bounds.config_s}}\"config_delay_max_s\": {{bounds.config_s}},{{/bounds.config_s}}";
        let values = [
            (config_s, "\"config_delay_max_s\": 2,".to_owned()),
            ("{{node_name}}", self.name.clone()),
            ("{{zone}}", self.zone.clone()),
            ("{{service}}", self.service.clone()),
            ("{{listen.egress}}", self.egress().to_string()),
            ("{{listen.admin}}", self.admin().to_string()),
            ("{{listen.ready_addr}}", self.ready().to_string()),
            ("{{listen.ingress}}", self.ingress().to_string()),
            ("{{upstream}}", self.upstream().to_string()),
            ("{{ip}}", self.ip.to_string()),
            ("{{port_range.0}}", self.control().port().to_string()),
            ("{{platform.address}}", store.to_string()),
        ];
        values.iter().fold(template.to_owned(), |text, (name, value)| text.replace(name, value))
    }
}

/// One process of the project beside a target.
pub struct Agent {
    pub machine: Machine,
    program: String,
    settings: String,
    log: String,
    /// File with the ids of all processes started.
    pids: String,
    record: Record,
    child: Option<Child>,
}

impl Agent {
    pub fn start(setup: &Setup, machine: &Machine, store: SocketAddr) -> std::io::Result<Agent> {
        let template = fs::read_to_string(&setup.template)?;
        let settings = format!("{}/{}.jsonc", setup.dir, machine.name);
        fs::write(&settings, machine.settings(&template, store))?;
        let mut agent = Agent {
            machine: machine.clone(),
            program: setup.program.clone(),
            settings,
            log: format!("{}/{}.log", setup.dir, machine.name),
            pids: format!("{}/pids", setup.dir),
            record: setup.record.clone(),
            child: None,
        };
        agent.spawn()?;
        Ok(agent)
    }

    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .env("POMELOHILL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        writeln!(File::options().create(true).append(true).open(&self.pids)?, "{}", child.id())?;
        self.record.line(&format!("agent of {} started, pid {}", self.machine.name, child.id()));
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        _ = child.kill();
        _ = child.wait();
        self.record.line(&format!("agent of {} killed", self.machine.name));
    }

    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        _ = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        self.record.line(&format!("agent of {} got SIG{name}", self.machine.name));
    }

    /// SIGTERM, SIGKILL once the time to stop is over, and the start of the next process.
    pub fn stop_and_start(&mut self) -> std::io::Result<()> {
        self.signal("TERM");
        wait_until(GRACE, || self.has_ended());
        self.kill();
        std::thread::sleep(Duration::from_millis(300));
        self.spawn()
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let request = http::request_bytes("GET", "/-/readyz", &[("Host", "ready")], b"");
        http::call(self.machine.ready(), &request, Duration::from_secs(1))
            .is_ok_and(|it| it.status() == 200)
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn wait_until(limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if is_done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A free port at this address.
pub fn free_port(ip: Ipv4Addr) -> SocketAddr {
    bind_any(ip).local_addr().expect("a bound socket has an address")
}

fn bind_any(ip: Ipv4Addr) -> TcpListener {
    TcpListener::bind((ip, 0)).expect("a loopback address can be bound")
}
