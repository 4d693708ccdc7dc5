//! A TCP proxy on loopback that can delay, block, block in one direction, or reset a link.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::port;

/// Timeout of a connection that shows whether the queue of a listener is full.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(50);

/// How a proxy treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// All bytes are forwarded.
    Open,
    /// Bytes are delayed.
    Delayed(Duration),
    /// No bytes are forwarded, and connections stay open.
    Blackhole,
    /// Requests are forwarded, responses are not.
    OneWay,
    /// Existing and new connections are reset.
    Reset,
    /// Connections are reset and the port is closed, as if the process behind it had exited.
    Closed,
    /// No bytes are forwarded, and new connections are not established, as if the network were partitioned.
    Unreachable,
    /// Existing connections are kept, and new ones are refused.
    RefusesNew,
}

/// A proxy for a target address that may change.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    mode: watch::Sender<Mode>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy in [`Mode::Open`].
    pub async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(port::free()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = Arc::new(Mutex::new(target));
        let (mode, modes) = watch::channel(Mode::Open);
        let task = tokio::spawn(accept(listener, target.clone(), modes));
        Proxy { address, target, mode, task }
    }

    /// Sets the mode, for existing connections too.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
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
    mut modes: watch::Receiver<Mode>,
) {
    let address = listener.local_addr().unwrap();
    loop {
        tokio::select! {
            Ok((caller, _)) = listener.accept() => {
                let target = *target.lock().unwrap();
                tokio::spawn(relay(caller, target, modes.clone()));
            }
            closed = wait_closed(&mut modes) => {
                drop(listener);
                let mode = *modes.borrow();
                // Its queue is full, so that the system drops further connection requests.
                let full = if mode == Mode::Unreachable { Some(full_listener(address).await) } else { None };
                if !closed || modes.wait_for(|new| *new != mode).await.is_err() {
                    return;
                }
                drop(full);
                listener = listen(address).await;
            }
        }
    }
}

/// Waits for a mode without a listener; false if the proxy was dropped.
async fn wait_closed(modes: &mut watch::Receiver<Mode>) -> bool {
    modes
        .wait_for(|mode| matches!(mode, Mode::Closed | Mode::Unreachable | Mode::RefusesNew))
        .await
        .is_ok()
}

/// Listens on an address without accepting, with a full queue of connections.
async fn full_listener(address: SocketAddr) -> (Socket, Vec<TcpStream>) {
    let socket = loop {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a free descriptor");
        socket.set_reuse_address(true).expect("a socket takes the option");
        if socket.bind(&address.into()).is_ok() {
            break socket;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    socket.listen(0).expect("a bound socket listens");
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(QUEUE_TIMEOUT, TcpStream::connect(address)).await
    {
        queued.push(stream);
    }
    (socket, queued)
}

/// Listens on the previous address again. Retries, since connections accepted last may hold the port for a
/// moment.
async fn listen(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

async fn relay(caller: TcpStream, target: SocketAddr, mut modes: watch::Receiver<Mode>) {
    set_reset_on_drop(&caller, true);
    if matches!(*modes.borrow(), Mode::Reset | Mode::Closed) {
        return;
    }
    let Ok(callee) = TcpStream::connect(target).await else { return };
    set_reset_on_drop(&callee, true);
    let (caller_reader, caller_writer) = caller.into_split();
    let (callee_reader, callee_writer) = callee.into_split();
    let to_callee = forward(caller_reader, callee_writer, modes.clone(), false);
    let to_caller = forward(callee_reader, caller_writer, modes.clone(), true);
    tokio::select! {
        _ = async { tokio::join!(to_callee, to_caller) } => {}
        _ = modes.wait_for(|mode| matches!(mode, Mode::Reset | Mode::Closed)) => {}
    }
}

/// Sets whether a connection is reset when it is dropped.
fn set_reset_on_drop(stream: &TcpStream, reset: bool) {
    let linger = reset.then_some(Duration::ZERO);
    SockRef::from(stream).set_linger(linger).expect("a socket takes the option");
    stream.set_nodelay(true).expect("a socket takes the option");
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    to_caller: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(length) = from.read(&mut buffer).await {
        let blocked = |mode: &Mode| {
            matches!(mode, Mode::Blackhole | Mode::Unreachable)
                || to_caller && *mode == Mode::OneWay
        };
        let mode = modes.wait_for(|mode| !blocked(mode)).await.map(|mode| *mode);
        if let Ok(Mode::Delayed(delay)) = mode {
            tokio::time::sleep(delay).await;
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
