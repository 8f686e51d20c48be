//! A service of a deployment: its document, its number of instances and the requests of its callers.

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::Method;
use model::RequestId;
use serde_json::json;
use settings::ServiceDocument;
use standins::caller::{CallRequest, WeightedRoute};

use super::repository;

/// Service as a deployment declares it.
#[derive(Debug, Clone)]
pub(crate) struct ServiceSpec {
    pub(crate) team: &'static str,
    /// Path of the service's document, relative to the root of the repository.
    pub(crate) document: &'static str,
    pub(crate) instances: usize,
    pub(crate) zones: &'static [&'static str],
    /// Routes as `METHOD:PATH:repeat|once:SHARE`; the first one has to be idempotent.
    pub(crate) routes: &'static [&'static str],
    /// Mean service time of a request at an upstream.
    pub(crate) service_ms: f64,
}

/// Service with its parsed and validated document.
#[derive(Debug, Clone)]
pub(crate) struct Service {
    pub(crate) spec: ServiceSpec,
    pub(crate) text: String,
    pub(crate) document: ServiceDocument,
    pub(crate) routes: Vec<WeightedRoute>,
}

/// Returns the shard key with the given number.
pub(crate) fn key(index: usize) -> String {
    format!("key-{index}")
}

impl Service {
    pub(crate) fn load(spec: &ServiceSpec) -> anyhow::Result<Service> {
        let path = repository().join(spec.document);
        let text = std::fs::read_to_string(&path)
            .with_context(|| format!("reading {}", path.display()))?;
        let document = ServiceDocument::parse(&text)
            .map_err(|problems| anyhow::anyhow!("{}: {problems}", spec.document))?;
        let routes = spec.routes.iter().map(|it| it.parse());
        let routes = routes.collect::<anyhow::Result<Vec<WeightedRoute>>>()?;
        Ok(Service { spec: spec.clone(), text, document, routes })
    }

    pub(crate) fn name(&self) -> &str {
        self.document.service.as_str()
    }

    /// Builds an idempotent request on the first route; its id differs from all ids that callers
    /// draw.
    pub(crate) fn probe(&self, number: u64) -> CallRequest {
        let route = &self.routes[0];
        self.request(route.method.clone(), &route.path, number)
    }

    /// Builds an idempotent request to the given path.
    pub(crate) fn request(&self, method: Method, path: &str, number: u64) -> CallRequest {
        let key = key(0);
        CallRequest {
            id: RequestId((u128::from(std::process::id()) << 64) | u128::from(number)),
            method,
            service: self.name().to_owned(),
            path: path.replace("{key}", &key),
            key,
            class: "probe".to_owned(),
            idempotent: true,
            deadline: Duration::from_secs(1),
            answer_bytes: 64,
            body: Bytes::new(),
        }
    }

    /// Returns the document with an additional first route, whose shard key is in a header that no
    /// caller sends: once the document is in force, requests to this path get `bad-request`.
    pub(crate) fn text_with_refusing_route(&self, path: &str) -> anyhow::Result<String> {
        let class = self.document.classes.first().context("the document has no request classes")?;
        let route = json!({
            "method": "GET",
            "path": path,
            "key": { "header": "x-key-that-nobody-sends" },
            "class": class.name,
            "idempotent": true,
        });
        let changed = self.text.replacen("\"routes\": [", &format!("\"routes\": [ {route},"), 1);
        anyhow::ensure!(
            changed != self.text,
            "{}: found no \"routes\" list to extend",
            self.spec.document
        );
        Ok(changed)
    }
}
