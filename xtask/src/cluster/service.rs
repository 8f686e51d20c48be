//! A service of a deployment: its document, its size and what callers ask of it.

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::Method;
use model::RequestId;
use serde_json::json;
use settings::ServiceDocument;
use standins::caller::{CallRequest, WeightedRoute};

use super::repository;

/// A service as a deployment plans it.
#[derive(Debug, Clone)]
pub(crate) struct ServiceSpec {
    pub(crate) team: &'static str,
    /// Where its document is, from the root of the repository.
    pub(crate) document: &'static str,
    pub(crate) instances: usize,
    pub(crate) zones: &'static [&'static str],
    /// `METHOD:PATH:repeat|once:SHARE`, the first one idempotent.
    pub(crate) routes: &'static [&'static str],
    /// Mean time that an upstream takes for a request.
    pub(crate) service_ms: f64,
}

/// A service with its checked document.
#[derive(Debug, Clone)]
pub(crate) struct Service {
    pub(crate) spec: ServiceSpec,
    pub(crate) text: String,
    pub(crate) document: ServiceDocument,
    pub(crate) routes: Vec<WeightedRoute>,
}

/// The name of a key.
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

    /// An idempotent request; ids are apart from those that callers draw.
    pub(crate) fn probe(&self, number: u64) -> CallRequest {
        let route = &self.routes[0];
        self.request(route.method.clone(), &route.path, number)
    }

    /// An idempotent request to any path.
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

    /// The document with one more route in front, which needs a key in a header that nobody sends:
    /// once it is in force, requests to its path are refused as bad ones.
    pub(crate) fn text_with_refusing_route(&self, path: &str) -> anyhow::Result<String> {
        let class = self.document.classes.first().context("a document without classes")?;
        let route = json!({
            "method": "GET",
            "path": path,
            "key": { "header": "x-key-that-nobody-sends" },
            "class": class.name,
            "idempotent": true,
        });
        let changed = self.text.replacen("\"routes\": [", &format!("\"routes\": [ {route},"), 1);
        anyhow::ensure!(changed != self.text, "{} has no routes", self.spec.document);
        Ok(changed)
    }
}
