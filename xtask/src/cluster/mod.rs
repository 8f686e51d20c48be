//! Cluster of real processes on loopback: a platform, and instances of upstream and agent.

mod binaries;
mod instance;
mod ports;
mod process;
mod run_dir;
mod service;

pub(crate) use binaries::{Binaries, Profile, repository};
pub(crate) use instance::{Instance, StartContext};
pub(crate) use ports::PortAllocator;
pub(crate) use process::Process;
pub(crate) use run_dir::RunDir;
pub(crate) use service::{Service, ServiceSpec, key};

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use anyhow::Context;
use futures_util::future::try_join_all;
use http::Method;
use standins::caller::{AgentClient, CallPolicy, Caller};
use tokio::time::timeout;
use volo_http::{
    body::{Body, BodyConversion},
    client::Client,
};

use crate::demo::evidence::UpstreamJournal;

/// Longest time from the start until each agent serves each service of its team.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Running cluster. Dropping it kills and reaps all processes that are still running.
pub(crate) struct Cluster {
    pub(crate) services: Vec<Service>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) dir: RunDir,
    pub(crate) platform_address: SocketAddr,
    _platform: Process,
    client: Client,
}

impl Cluster {
    /// Starts the platform, writes the services' documents to it and starts all instances.
    pub(crate) async fn start(
        specs: &[ServiceSpec],
        binaries: &Binaries,
        seed: u64,
    ) -> anyhow::Result<Cluster> {
        let mut ports = PortAllocator::new();
        let mut cluster = Cluster::prepare(specs, binaries, &mut ports, seed).await?;
        let platform_address = cluster.platform_address;
        cluster.start_instances(binaries, seed, |_| platform_address).await?;
        Ok(cluster)
    }

    /// Starts the platform, writes the services' documents to it and plans the instances.
    pub(crate) async fn prepare(
        specs: &[ServiceSpec],
        binaries: &Binaries,
        ports: &mut PortAllocator,
        seed: u64,
    ) -> anyhow::Result<Cluster> {
        let dir = RunDir::new(seed)?;
        let services = specs.iter().map(Service::load).collect::<anyhow::Result<Vec<Service>>>()?;
        let platform_address = ports.next()?;
        let listen = ["--listen".to_owned(), platform_address.to_string()];
        let platform = Process::spawn("platform", &binaries.platform, &listen, &dir)?;
        platform.wait_until_listening(platform_address).await?;
        let client = Client::builder()
            .build()
            .map_err(|error| anyhow::anyhow!("building an HTTP client: {error}"))?;
        let mut cluster = Cluster {
            services,
            instances: Vec::new(),
            dir,
            platform_address,
            _platform: platform,
            client,
        };
        cluster.put_documents().await?;
        for service in &cluster.services {
            for number in 1..=service.spec.instances {
                cluster.instances.push(Instance::plan(service, number, ports)?);
            }
        }
        Ok(cluster)
    }

    async fn put_documents(&self) -> anyhow::Result<()> {
        for service in &self.services {
            self.put_document(service.name(), &service.text).await?;
        }
        Ok(())
    }

    /// Starts all instances; `platform` maps an instance's index to the address at which its agent
    /// calls the platform.
    pub(crate) async fn start_instances(
        &mut self,
        binaries: &Binaries,
        seed: u64,
        platform: impl Fn(usize) -> SocketAddr,
    ) -> anyhow::Result<()> {
        for index in 0..self.instances.len() {
            let peers = self.peers(index);
            let instance = &mut self.instances[index];
            let (dir, platform, peers) = (&self.dir, platform(index), peers.as_slice());
            instance.start(&StartContext { binaries, dir, platform, peers, seed })?;
        }
        let waits = self.instances.iter().map(Instance::wait_until_listening);
        try_join_all(waits).await?;
        Ok(())
    }

    /// Returns the control addresses of all instances of the same service.
    pub(crate) fn peers(&self, index: usize) -> Vec<SocketAddr> {
        let service = &self.instances[index].service;
        let peers = self.instances.iter().filter(|it| it.service == *service);
        peers.map(|it| it.control).collect()
    }

    /// Waits until each agent has answered a probe for each service of its team.
    pub(crate) async fn wait_until_serving(&self) -> anyhow::Result<()> {
        let client = AgentClient::new()?;
        let policy = CallPolicy { call_timeout: START_TIMEOUT, ..CallPolicy::default() };
        let mut probes = Vec::new();
        for instance in &self.instances {
            for service in self.services.iter().filter(|it| it.spec.team == instance.team) {
                let targets = vec![instance.caller];
                let caller = Caller { client: client.clone(), targets, policy: policy.clone() };
                let request = service.probe(probes.len() as u64);
                probes.push(async move {
                    let record = caller.call(&request, 0).await;
                    let is_answered = record.outcome == standins::journal::FinalOutcome::Answered;
                    let last = record.attempts.last().map(|it| &it.result);
                    anyhow::ensure!(
                        is_answered,
                        "{} does not serve {}; last attempt: {last:?}",
                        instance.name,
                        request.service
                    );
                    Ok(())
                });
            }
        }
        try_join_all(probes).await?;
        Ok(())
    }

    /// Writes a service's document unconditionally, without a version check.
    pub(crate) async fn put_document(&self, service: &str, text: &str) -> anyhow::Result<()> {
        let path = format!("objects/services/{service}");
        self.platform_call(Method::PUT, &path, text.to_owned()).await?;
        Ok(())
    }

    /// Sets fault switches of the platform, given as JSON.
    pub(crate) async fn set_platform_faults(&self, faults: &str) -> anyhow::Result<()> {
        self.platform_call(Method::POST, "admin/fault", faults.to_owned()).await?;
        Ok(())
    }

    /// Makes the platform take a snapshot of its objects.
    pub(crate) async fn snapshot_platform(&self) -> anyhow::Result<()> {
        self.platform_call(Method::POST, "admin/keep-copy", String::new()).await?;
        Ok(())
    }

    /// Makes the platform restore its snapshot.
    pub(crate) async fn roll_back_platform(&self) -> anyhow::Result<()> {
        self.platform_call(Method::POST, "admin/roll-back", String::new()).await?;
        Ok(())
    }

    /// Reads an object of the platform as text.
    pub(crate) async fn read_object(&self, path: &str) -> anyhow::Result<String> {
        self.platform_call(Method::GET, &format!("objects/{path}"), String::new()).await
    }

    /// Returns the numbers of calls that the platform has counted, by kind.
    pub(crate) async fn platform_counts(&self) -> anyhow::Result<BTreeMap<String, f64>> {
        let text = self.platform_call(Method::GET, "admin/counts", String::new()).await?;
        serde_json::from_str(&text).context("decoding the platform's call counts")
    }

    async fn platform_call(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> anyhow::Result<String> {
        let uri = format!("http://{}/{path}", self.platform_address);
        let step = format!("{method} {uri}");
        let request = self.client.request(method, uri).body(Body::from(body));
        let response = timeout(PLATFORM_TIMEOUT, request.send())
            .await
            .with_context(|| step.clone())?
            .map_err(|error| anyhow::anyhow!("{step}: {error}"))?;
        anyhow::ensure!(response.status().is_success(), "{step}: {}", response.status());
        response.into_string().await.map_err(|error| anyhow::anyhow!("{step}: {error}"))
    }

    pub(crate) fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|it| it.name() == name)
    }

    /// Returns the caller addresses of all agents of a team.
    pub(crate) fn caller_addresses(&self, team: &str) -> Vec<SocketAddr> {
        self.instances.iter().filter(|it| it.team == team).map(|it| it.caller).collect()
    }

    /// Reads the journals of all upstreams; complete only after the upstreams have exited.
    pub(crate) fn journals(&self) -> anyhow::Result<Vec<UpstreamJournal>> {
        self.instances
            .iter()
            .map(|instance| {
                let service = self
                    .service(&instance.service)
                    .context("an instance belongs to an unknown service")?;
                instance.journals(&self.dir, service.document.keyed)
            })
            .collect::<anyhow::Result<Vec<_>>>()
            .map(|it| it.into_iter().flatten().collect())
    }
}
