//! A proxy on loopback by which a link is delayed, silenced, cut one way or reset.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a link does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Link {
    Open,
    /// Bytes arrive later.
    Slow(Duration),
    /// Nothing arrives, and nothing says so.
    Silent,
    /// What is sent arrives, and no answer does.
    OneWay,
    /// Connections are reset, new ones too.
    Reset,
    /// Connections are reset, and nothing listens: the process behind it has ended.
    Closed,
}

/// A link to an address that may change.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    way: watch::Sender<Link>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// An open link.
    pub(crate) async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = Arc::new(Mutex::new(target));
        let (way, ways) = watch::channel(Link::Open);
        let task = tokio::spawn(accept(listener, target.clone(), ways));
        Proxy { address, target, way, task }
    }

    /// Changes what the link does.
    pub(crate) fn set(&self, way: Link) {
        self.way.send_replace(way);
    }

    /// Leads new connections elsewhere.
    pub(crate) fn lead_to(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = target;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    mut listener: TcpListener,
    target: Arc<Mutex<SocketAddr>>,
    mut ways: watch::Receiver<Link>,
) {
    let address = listener.local_addr().unwrap();
    loop {
        tokio::select! {
            Ok((caller, _)) = listener.accept() => {
                let target = *target.lock().unwrap();
                tokio::spawn(carry(caller, target, ways.clone()));
            }
            closed = closes(&mut ways) => {
                drop(listener);
                if !closed || ways.wait_for(|way| *way != Link::Closed).await.is_err() {
                    return;
                }
                listener = listen(address).await;
            }
        }
    }
}

/// Whether the link closes, or is gone.
async fn closes(ways: &mut watch::Receiver<Link>) -> bool {
    ways.wait_for(|way| *way == Link::Closed).await.is_ok()
}

/// Listens again where it did before; what was accepted last may still have the port for a moment.
async fn listen(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

async fn carry(caller: TcpStream, target: SocketAddr, mut ways: watch::Receiver<Link>) {
    reset_when_dropped(&caller, true);
    if matches!(*ways.borrow(), Link::Reset | Link::Closed) {
        return;
    }
    let Ok(callee) = TcpStream::connect(target).await else { return };
    reset_when_dropped(&callee, true);
    let (caller_reads, caller_writes) = caller.into_split();
    let (callee_reads, callee_writes) = callee.into_split();
    let there = pump(caller_reads, callee_writes, ways.clone(), false);
    let back = pump(callee_reads, caller_writes, ways.clone(), true);
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = ways.wait_for(|way| matches!(way, Link::Reset | Link::Closed)) => {}
    }
}

/// Whether a connection that is dropped is reset.
fn reset_when_dropped(stream: &TcpStream, reset: bool) {
    let linger = reset.then_some(Duration::ZERO);
    SockRef::from(stream).set_linger(linger).expect("a socket takes the option");
    stream.set_nodelay(true).expect("a socket takes the option");
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut ways: watch::Receiver<Link>,
    back: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(length) = from.read(&mut buffer).await {
        let stuck = |way: &Link| *way == Link::Silent || back && *way == Link::OneWay;
        let way = ways.wait_for(|way| !stuck(way)).await.map(|way| *way);
        if let Ok(Link::Slow(by)) = way {
            tokio::time::sleep(by).await;
        }
        if length == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
