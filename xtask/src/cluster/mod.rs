//! Real processes over loopback: a platform, and instances of an upstream with its agent.

mod binaries;
mod instance;
mod ports;
mod process;
mod run_dir;
mod service;

pub(crate) use binaries::{Binaries, Profile, repository};
pub(crate) use instance::{Instance, StartWith};
pub(crate) use ports::Ports;
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

/// How long a cluster may take until each agent answers for each service of its team.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// A running cluster. Dropping it kills and reaps whatever still runs.
pub(crate) struct Cluster {
    pub(crate) services: Vec<Service>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) dir: RunDir,
    pub(crate) platform_address: SocketAddr,
    _platform: Process,
    client: Client,
}

impl Cluster {
    /// Starts everything and puts the documents into the platform.
    pub(crate) async fn start(
        specs: &[ServiceSpec],
        binaries: &Binaries,
        seed: u64,
    ) -> anyhow::Result<Cluster> {
        let mut ports = Ports::new();
        let mut cluster = Cluster::prepare(specs, binaries, &mut ports, seed).await?;
        let platform_address = cluster.platform_address;
        cluster.start_instances(binaries, seed, |_| platform_address).await?;
        Ok(cluster)
    }

    /// Starts the platform, puts the documents into it and plans the instances.
    pub(crate) async fn prepare(
        specs: &[ServiceSpec],
        binaries: &Binaries,
        ports: &mut Ports,
        seed: u64,
    ) -> anyhow::Result<Cluster> {
        let dir = RunDir::new(seed)?;
        let services = specs.iter().map(Service::load).collect::<anyhow::Result<Vec<Service>>>()?;
        let platform_address = ports.next()?;
        let listen = ["--listen".to_owned(), platform_address.to_string()];
        let platform = Process::spawn("platform", &binaries.platform, &listen, &dir)?;
        platform.wait_listening(platform_address).await?;
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

    /// Starts all instances; `platform` says at which address each reaches the platform.
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
            instance.start(&StartWith { binaries, dir, platform, peers, seed })?;
        }
        let waits = self.instances.iter().map(Instance::wait_listening);
        try_join_all(waits).await?;
        Ok(())
    }

    /// Control addresses of the instances of the same service.
    pub(crate) fn peers(&self, index: usize) -> Vec<SocketAddr> {
        let service = &self.instances[index].service;
        let peers = self.instances.iter().filter(|it| it.service == *service);
        peers.map(|it| it.control).collect()
    }

    /// Waits until each agent answers for each service of its team.
    pub(crate) async fn wait_serving(&self) -> anyhow::Result<()> {
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
                    let answered = record.outcome == standins::journal::FinalOutcome::Answered;
                    let last = record.attempts.last().map(|it| &it.result);
                    anyhow::ensure!(
                        answered,
                        "{} does not answer for {}: {last:?}",
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

    /// Puts a service's document, whatever its version.
    pub(crate) async fn put_document(&self, service: &str, text: &str) -> anyhow::Result<()> {
        let path = format!("objects/services/{service}");
        self.platform_call(Method::PUT, &path, text.to_owned()).await?;
        Ok(())
    }

    /// Sets switches of the platform, as JSON.
    pub(crate) async fn platform_fault(&self, faults: &str) -> anyhow::Result<()> {
        self.platform_call(Method::POST, "admin/fault", faults.to_owned()).await?;
        Ok(())
    }

    /// Has the platform keep a copy of itself.
    pub(crate) async fn platform_keeps_copy(&self) -> anyhow::Result<()> {
        self.platform_call(Method::POST, "admin/keep-copy", String::new()).await?;
        Ok(())
    }

    /// Has the platform come back from its copy.
    pub(crate) async fn platform_rolls_back(&self) -> anyhow::Result<()> {
        self.platform_call(Method::POST, "admin/roll-back", String::new()).await?;
        Ok(())
    }

    /// Reads an object as text.
    pub(crate) async fn read_object(&self, path: &str) -> anyhow::Result<String> {
        self.platform_call(Method::GET, &format!("objects/{path}"), String::new()).await
    }

    /// What the platform has counted, by kind of call.
    pub(crate) async fn platform_counts(&self) -> anyhow::Result<BTreeMap<String, f64>> {
        let text = self.platform_call(Method::GET, "admin/counts", String::new()).await?;
        serde_json::from_str(&text).context("the platform's counts")
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

    /// Caller addresses of all agents of a team.
    pub(crate) fn caller_addresses(&self, team: &str) -> Vec<SocketAddr> {
        self.instances.iter().filter(|it| it.team == team).map(|it| it.caller).collect()
    }

    /// The journals of all upstreams. To be read once they have ended.
    pub(crate) fn journals(&self) -> anyhow::Result<Vec<UpstreamJournal>> {
        self.instances
            .iter()
            .map(|instance| {
                let service = self.service(&instance.service).context("a service without name")?;
                instance.journals(&self.dir, service.document.keyed)
            })
            .collect::<anyhow::Result<Vec<_>>>()
            .map(|it| it.into_iter().flatten().collect())
    }
}
