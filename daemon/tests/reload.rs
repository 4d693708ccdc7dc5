//! A signal to reload that arrives while the process starts reloads the configuration file.
//!
//! Guards against the loss of a VM whose operator sends SIGHUP before its handler is installed, which ended the process.

use std::fs::File;
use std::io::Write;
use std::net::TcpStream;
use std::os::unix::fs::OpenOptionsExt;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::libc::O_NONBLOCK;
use nix::sys::signal::{Signal, kill};
use nix::sys::stat::Mode;
use nix::unistd::{Pid, mkfifo};
use serde_json::json;
use standin::port::free;

/// Time after which the test fails if the process has not opened its configuration file.
const LIMIT: Duration = Duration::from_secs(20);

/// Stops the process when the test ends.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Running {
    /// Repeats a call until it succeeds, while the process runs.
    fn wait_for<T>(&mut self, what: &str, call: impl Fn() -> std::io::Result<T>) -> T {
        let deadline = Instant::now() + LIMIT;
        loop {
            if let Ok(value) = call() {
                return value;
            }
            let ended = self.0.try_wait().unwrap();
            assert!(ended.is_none(), "the process ended: {ended:?}");
            assert!(Instant::now() < deadline, "timed out waiting for the process to {what}");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

/// The configuration is read from a FIFO, so that the signal arrives before the handler is installed, and the second
/// read shows that the process reloads.
#[test]
fn a_signal_during_the_start_reloads_the_configuration() {
    let folder = tempfile::tempdir().unwrap();
    let fifo = folder.path().join("vm.jsonc");
    mkfifo(&fifo, Mode::S_IRWXU).unwrap();
    let [listen, ready, peers, directory] = [(); 4].map(|()| free().to_string());
    let fleet = json!({
        "ready": ready, "peers": peers, "directory": directory, "stop_ms": 1_000,
        "repeat_ratio": 0.2, "repeat_slack": 100.0, "repeat_window_ms": 10_000
    });
    let config = json!({ "vm": "vm-1", "hall": "a", "listen": listen, "fleet": fleet }).to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_foldlockd"));
    let child = command.arg("--config").arg(&fifo).stdout(Stdio::null()).spawn().unwrap();
    let mut vm = Running(child);
    // Succeeds only while the process has the FIFO open for reading.
    let open = || File::options().write(true).custom_flags(O_NONBLOCK).open(&fifo);
    let mut file = vm.wait_for("read its configuration", open);
    kill(Pid::from_raw(vm.0.id() as i32), Signal::SIGHUP).unwrap();
    file.write_all(config.as_bytes()).unwrap();
    drop(file);
    // It listens once it has closed the FIFO.
    vm.wait_for("listen", || TcpStream::connect(&peers));
    vm.wait_for("read its configuration again", open).write_all(config.as_bytes()).unwrap();
}
