//! Client of the platform's list of VMs. The list lags behind the actual state.

use std::future::Future;
use std::time::Duration;

use foldlock_base::id;
use hyper::Request;
use serde::{Deserialize, Serialize};

use crate::http::{Client, Failure, body};
use crate::lenient;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A VM or an upstream in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Name of the VM or upstream.
    pub name: String,
    /// Control address (`IP:port`) of a VM; empty for upstreams.
    #[serde(default)]
    pub address: String,
    /// Data hall that it is in.
    pub hall: id::Hall,
    /// Whether the platform is removing it.
    #[serde(default)]
    pub leaving: bool,
}

/// A copy of the list, which may be stale.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The VMs of the serving layer.
    #[serde(deserialize_with = "lenient::list")]
    pub vms: Vec<Listed>,
    /// The upstreams that the platform lists.
    #[serde(default, deserialize_with = "lenient::list")]
    pub upstreams: Vec<Listed>,
}

/// Access to the platform's list.
pub trait List: Clone + Send + Sync + 'static {
    /// Reads the current list.
    fn read(&self) -> impl Future<Output = Result<Listing, Failure>> + Send;
}

/// Reads the list over HTTP.
#[derive(Clone)]
pub struct HttpList {
    client: Client,
    url: String,
}

impl HttpList {
    /// Creates a client of the list at `address` (`IP:port`).
    pub fn new(client: Client, address: &str) -> HttpList {
        HttpList { client, url: format!("http://{address}/vms") }
    }
}

impl List for HttpList {
    async fn read(&self) -> Result<Listing, Failure> {
        let request =
            Request::get(&self.url).body(body("")).map_err(|e| Failure::Connect(e.to_string()))?;
        let response = self.client.call(request, CALL_TIMEOUT).await?;
        serde_json::from_slice(response.body())
            .map_err(|e| Failure::Broken(format!("cannot decode the list of VMs: {e}")))
    }
}
