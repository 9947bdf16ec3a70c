//! Starts the processes of a proxy.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use tokio::process::{Child, Command};

use crate::error::Error;
use crate::settings::{ProxySpec, proxy_config};
use crate::syscall_faults::{CONTROL_FILE_VARIABLE, FAULTS_LIBRARY, SyscallFaults};

/// Shell script that passes standard input on as descriptor 3, as the platform passes the listening socket. A shell
/// does it because the system calls would need unsafe code.
const PASS_SOCKET_SCRIPT: &str = "exec 3<&0 </dev/null; exec \"$0\" \"$@\"";

/// Options for starting the processes of proxies.
#[derive(Clone, Debug)]
pub struct LaunchOptions {
    /// Path of the proxy's executable.
    pub program: PathBuf,
    /// Folder for logs and other files.
    pub folder: PathBuf,
    /// Log filter of the proxies.
    pub log_filter: String,
}

impl LaunchOptions {
    /// Returns the options for one proxy of a fleet, and creates a separate folder for it.
    pub(super) fn for_proxy(&self, index: usize) -> Result<Self, Error> {
        let folder = self.folder.join(format!("n{index}"));
        std::fs::create_dir_all(folder.join("tmp")).map_err(Error::create(&folder))?;
        Ok(LaunchOptions { folder, ..self.clone() })
    }

    /// Path of the configuration file.
    pub(super) fn config_file(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Path of the file that controls failures of system calls.
    pub(super) fn faults_file(&self) -> PathBuf {
        self.folder.join("faults")
    }

    /// Path of the log file of a process.
    pub(super) fn log_file(&self, pid: i32) -> PathBuf {
        self.folder.join(format!("{pid}.log"))
    }

    /// Starts a process. The configuration file has to exist.
    pub(super) fn spawn(
        &self, passed_listener: Option<&TcpListener>, faults: &SyscallFaults,
    ) -> Result<Child, Error> {
        let mut command = match passed_listener {
            Some(listener) => command_with_socket(&self.program, listener)?,
            None => {
                let mut command = Command::new(&self.program);
                command.stdin(Stdio::null());
                command
            }
        };
        command.args(["serve", "--log", &self.log_filter]);
        command.env("NODE_CONFIG", self.config_file());
        command.env("TMPDIR", self.folder.join("tmp"));
        command.env("LD_PRELOAD", FAULTS_LIBRARY);
        command.env(CONTROL_FILE_VARIABLE, faults.path());
        command.stderr(Stdio::piped());
        command.kill_on_drop(true);
        command.spawn().map_err(Error::Spawn)
    }
}

fn command_with_socket(program: &Path, listener: &TcpListener) -> std::io::Result<Command> {
    let mut command = Command::new("sh");
    command.args(["-c", PASS_SOCKET_SCRIPT]).arg(program);
    command.stdin(OwnedFd::from(listener.try_clone()?));
    command.env("NODE_PASSED_SOCKET", "3");
    Ok(command)
}

/// Returns the configuration of a process after the given number of reloads. Each reload changes the number of classes.
pub(super) fn config_after_reloads(spec: &ProxySpec, admin: SocketAddr, reloads: usize) -> String {
    proxy_config(spec, admin, fastrand::u64(..), reloads % 4).to_string()
}

/// Truncates a configuration, at a position that varies with the number of reloads.
pub(super) fn broken_config(config: &str, reloads: usize) -> &str {
    &config[..config.len() * (reloads % 7) / 7]
}
