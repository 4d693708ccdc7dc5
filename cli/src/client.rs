//! Requests to the control addresses of VMs.

use std::net::SocketAddr;
use std::time::Duration;

use foldlock_connection::http::{Client, body};
use hyper::{Method, Request};
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Response time-out of a VM.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a GET request to a VM and returns the status and body.
pub async fn get(client: &Client, vm: SocketAddr, path: &str) -> Result<(u16, Vec<u8>), Error> {
    call(client, Method::GET, vm, path).await
}

/// Sends a request without a body to a VM and returns the status and body.
pub async fn call(
    client: &Client,
    method: Method,
    vm: SocketAddr,
    path: &str,
) -> Result<(u16, Vec<u8>), Error> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{vm}{path}"))
        .body(body(""))
        .map_err(|e| Error::Usage(e.to_string()))?;
    let response = client.call(request, TIMEOUT).await;
    let response = response.map_err(|e| Error::Vm(format!("{vm}: {e}")))?;
    Ok((response.status().as_u16(), response.into_body().to_vec()))
}

/// Reads JSON from a path of a VM; `None` on status 404.
pub async fn json<T: DeserializeOwned>(
    client: &Client,
    vm: SocketAddr,
    path: &str,
) -> Result<Option<T>, Error> {
    let (status, bytes) = get(client, vm, path).await?;
    match status {
        200 => serde_json::from_slice(&bytes)
            .map(Some)
            .map_err(|e| Error::Vm(format!("{vm}: invalid response: {e}"))),
        404 => Ok(None),
        status => Err(Error::Vm(format!("{vm}: unexpected status {status}"))),
    }
}
