//! Client of the `/standin/` control paths, for tests and scenarios.

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

/// Time-out of one request.
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// Client that scripts faults at one stand-in and reads its counters.
///
/// Each request is sent over a connection of its own and times out after 5 s.
#[derive(Debug, Clone)]
pub struct StandinClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl StandinClient {
    /// Creates a client of the stand-in at `address`; it connects on each request.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        // No connection is pooled, because scripted faults close connections.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client, address }
    }

    /// Activates a fault.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in could not be reached, did not answer in
    /// time or did not answer with a success status.
    pub async fn add_fault(&self, fault: &Fault) -> io::Result<()> {
        self.send(Method::POST, "/standin/faults", fault).await?;
        Ok(())
    }

    /// Returns the number of requests that a fault applied to.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in could not be reached, did not answer in
    /// time, or answered with an error status or a malformed body.
    pub async fn faults_met(&self) -> io::Result<u32> {
        self.read("/standin/faults").await
    }

    /// Removes all faults.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in could not be reached, did not answer in
    /// time or did not answer with a success status.
    pub async fn clear_faults(&self) -> io::Result<()> {
        self.send(Method::DELETE, "/standin/faults", &()).await?;
        Ok(())
    }

    /// Sets the instances that the stand-in platform lists once the configured
    /// lag has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in could not be reached, did not answer in
    /// time or did not answer with a success status.
    pub async fn set_instances(&self, listing: &InstanceListing) -> io::Result<()> {
        self.send(Method::PUT, "/standin/instances", listing)
            .await?;
        Ok(())
    }

    /// Sets whether the stand-in engine is leaving. An engine that is leaving
    /// refuses new chat requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in could not be reached, did not answer in
    /// time or did not answer with a success status.
    pub async fn set_leaving(&self, leaving: bool) -> io::Result<()> {
        self.send(Method::PUT, "/standin/leaving", &leaving).await?;
        Ok(())
    }

    /// Returns how often each request ran at the stand-in engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in could not be reached, did not answer in
    /// time, or answered with an error status or a malformed body.
    pub async fn runs(&self) -> io::Result<RunCounts> {
        self.read("/standin/runs").await
    }

    /// Returns how often each call ran at the stand-in service.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in could not be reached, did not answer in
    /// time, or answered with an error status or a malformed body.
    pub async fn calls(&self) -> io::Result<ServiceCounts> {
        self.read("/standin/calls").await
    }

    /// Returns the numbers of requests that took effect at the stand-in platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in could not be reached, did not answer in
    /// time, or answered with an error status or a malformed body.
    pub async fn counts(&self) -> io::Result<PlatformCounts> {
        self.read("/standin/counts").await
    }

    /// Returns by row key, over all tables of the stand-in platform, how often a
    /// value that contains `text` was written. `text` is put into the query
    /// string as it is, so it must not need percent-encoding.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in could not be reached, did not answer in
    /// time, or answered with an error status or a malformed body.
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
        payload: &T,
    ) -> io::Result<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(Bytes::from(serde_json::to_vec(payload)?)))
            .map_err(io::Error::other)?;
        let request_timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let response = tokio::time::timeout(request_timeout, self.client.request(request))
            .await?
            .map_err(io::Error::other)?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(io::Error::other)?.to_bytes();
        if !status.is_success() {
            return Err(io::Error::other(format!(
                "{path}: expected a success status, got {status}"
            )));
        }
        Ok(body)
    }
}
