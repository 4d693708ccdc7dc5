//! The adapter to the platform's list of VMs, which lags.

use std::future::Future;
use std::time::Duration;

use foldlock_base::id;
use hyper::Request;
use serde::{Deserialize, Serialize};

use crate::http::{Client, Failure, body};

/// How long a call waits for its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// One VM or upstream in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// The control address of an entry VM, `IP:port`; empty for upstreams.
    #[serde(default)]
    pub address: String,
    /// The data hall.
    pub hall: id::Hall,
    /// Whether it is being taken away.
    #[serde(default)]
    pub leaving: bool,
}

/// The list as it was some time ago.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The entry VMs.
    pub vms: Vec<Listed>,
    /// The upstreams that the platform says something of.
    #[serde(default)]
    pub upstreams: Vec<Listed>,
}

/// The platform's list.
pub trait List: Clone + Send + Sync + 'static {
    /// Reads the list.
    fn read(&self) -> impl Future<Output = Result<Listing, Failure>> + Send;
}

/// The list over HTTP.
#[derive(Clone)]
pub struct HttpList {
    client: Client,
    url: String,
}

impl HttpList {
    /// A list at `address`, `IP:port`.
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
            .map_err(|e| Failure::Broken(format!("the list cannot be read: {e}")))
    }
}
