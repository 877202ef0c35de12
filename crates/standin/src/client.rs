//! Client of the `/standin/` paths, for tests and scenarios.

use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use store::InstanceListing;

use crate::{Fault, PlatformCounts, RunCounts, ServiceCounts};

/// Time limit of one request.
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// Scripts and inspects one stand-in.
#[derive(Debug, Clone)]
pub struct StandinClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl StandinClient {
    /// The stand-in at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        // A fresh connection each time: faults close the pooled ones.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client, address }
    }

    /// Puts a fault into force.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in did not confirm.
    pub async fn add_fault(&self, fault: &Fault) -> io::Result<()> {
        self.send(Method::POST, "/standin/faults", fault).await?;
        Ok(())
    }

    /// Number of requests that met a fault.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer came.
    pub async fn faults_met(&self) -> io::Result<u32> {
        self.read("/standin/faults").await
    }

    /// Ends every fault.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in did not confirm.
    pub async fn clear_faults(&self) -> io::Result<()> {
        self.send(Method::DELETE, "/standin/faults", &()).await?;
        Ok(())
    }

    /// Sets the instances that the platform will list.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in did not confirm.
    pub async fn set_instances(&self, listing: &InstanceListing) -> io::Result<()> {
        self.send(Method::PUT, "/standin/instances", listing)
            .await?;
        Ok(())
    }

    /// Sets whether an engine is leaving.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in did not confirm.
    pub async fn set_leaving(&self, leaving: bool) -> io::Result<()> {
        self.send(Method::PUT, "/standin/leaving", &leaving).await?;
        Ok(())
    }

    /// What ran at an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer came.
    pub async fn runs(&self) -> io::Result<RunCounts> {
        self.read("/standin/runs").await
    }

    /// What ran at a plain service.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer came.
    pub async fn calls(&self) -> io::Result<ServiceCounts> {
        self.read("/standin/calls").await
    }

    /// What took effect at the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer came.
    pub async fn counts(&self) -> io::Result<PlatformCounts> {
        self.read("/standin/counts").await
    }

    /// How often each key of the table was put with a value that contains
    /// `text`, which must need no escaping.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer came.
    pub async fn put_counts(&self, text: &str) -> io::Result<BTreeMap<String, u32>> {
        self.read(&format!("/standin/puts?contains={text}")).await
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> io::Result<T> {
        let body = self.send(Method::GET, path, &()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn send<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        message: &T,
    ) -> io::Result<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(Bytes::from(serde_json::to_vec(message)?)))
            .map_err(io::Error::other)?;
        let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let response = tokio::time::timeout(limit, self.client.request(request))
            .await?
            .map_err(io::Error::other)?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(io::Error::other)?.to_bytes();
        if !status.is_success() {
            return Err(io::Error::other(format!("status {status}")));
        }
        Ok(body)
    }
}
