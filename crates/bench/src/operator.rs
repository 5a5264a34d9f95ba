//! Client of the operators' HTTP API.

use api::{AnnounceBody, ChangeBody, Operation, OutcomeBody, StatusBody};
use miette::{IntoDiagnostic, Result, miette};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval between attempts while waiting for a status.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Sends requests to the operators' listeners of daemons.
#[derive(Clone, Debug, Default)]
pub struct Operator {
    http: reqwest::Client,
}

impl Operator {
    /// Requests the state of control from a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid response.
    pub async fn status(&self, daemon: SocketAddr) -> Result<StatusBody> {
        let url = format!("http://{daemon}{}", api::STATUS);
        let res = self.http.get(url).send().await.into_diagnostic()?;
        let res = res.error_for_status().into_diagnostic()?;
        res.json().await.into_diagnostic()
    }

    /// Waits until the state of control satisfies a condition.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition isn't met within `timeout`.
    pub async fn wait_for_status(
        &self,
        daemon: SocketAddr,
        timeout: Duration,
        condition: impl Fn(&StatusBody) -> bool,
    ) -> Result<StatusBody> {
        let start = Instant::now();
        loop {
            let last = self.status(daemon).await;
            match last {
                Ok(status) if condition(&status) => return Ok(status),
                other if start.elapsed() > timeout => {
                    return Err(miette!(
                        "{daemon}: status did not satisfy the condition within {timeout:?}; last status: {other:?}"
                    ));
                }
                _ => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }

    /// Initialises a cluster with a daemon's empty control replica as its first
    /// member.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon refuses.
    pub async fn initialise(&self, daemon: SocketAddr) -> Result<()> {
        let url = format!("http://{daemon}{}", api::INITIALISE);
        let res = self.http.post(url).send().await.into_diagnostic()?;
        res.error_for_status().into_diagnostic().map(drop)
    }

    /// Sends a configuration change that is based on a version.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid response.
    pub async fn change(
        &self,
        daemon: SocketAddr,
        change: &str,
        base: u64,
        operation: Operation,
    ) -> Result<OutcomeBody> {
        let url = format!("http://{daemon}{}", api::CHANGES);
        let body = ChangeBody {
            change: change.into(),
            base,
            author: "bench".into(),
            operation,
        };
        let res = self
            .http
            .post(url)
            .json(&body)
            .send()
            .await
            .into_diagnostic()?;
        res.json().await.into_diagnostic()
    }

    /// Announces an upstream to its daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon refuses the announcement.
    pub async fn announce(&self, daemon: SocketAddr, body: &AnnounceBody) -> Result<()> {
        let url = format!("http://{daemon}{}", api::ANNOUNCE);
        let res = self
            .http
            .post(url)
            .json(body)
            .send()
            .await
            .into_diagnostic()?;
        res.error_for_status().into_diagnostic().map(drop)
    }
}
