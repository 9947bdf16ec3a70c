//! How the processes of a proxy are started.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use tokio::process::{Child, Command};

use crate::error::Error;
use crate::settings::{ProxySpec, proxy_config};
use crate::syscall_faults::{CONTROL_FILE_VARIABLE, LIBRARY, SyscallFaults};

/// Passes standard input on as descriptor 3, as the platform does: by the shell, as system calls would need unsafe code.
const PASS_SOCKET_SCRIPT: &str = "exec 3<&0 </dev/null; exec \"$0\" \"$@\"";

/// The program, its folder and what it logs.
#[derive(Clone, Debug)]
pub struct LaunchOptions {
    /// The proxy's program.
    pub program: PathBuf,
    /// Where logs and files go.
    pub folder: PathBuf,
    /// What proxies log.
    pub log_filter: String,
}

impl LaunchOptions {
    /// The options for one proxy of a fleet, with a folder of its own, which is created.
    pub(super) fn for_proxy(&self, index: usize) -> Result<Self, Error> {
        let folder = self.folder.join(format!("n{index}"));
        std::fs::create_dir_all(folder.join("tmp")).map_err(Error::create(&folder))?;
        Ok(LaunchOptions { folder, ..self.clone() })
    }

    /// The file that holds the configuration.
    pub(super) fn config_file(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// The file that controls failures of system calls.
    pub(super) fn faults_file(&self) -> PathBuf {
        self.folder.join("faults")
    }

    /// The file that a process's log goes to.
    pub(super) fn log_file(&self, pid: i32) -> PathBuf {
        self.folder.join(format!("{pid}.log"))
    }

    /// Starts a process. Its configuration file has to be there.
    pub(super) fn spawn(&self, passed: Option<&TcpListener>, faults: &SyscallFaults) -> Result<Child, Error> {
        let mut command = match passed {
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
        command.env("LD_PRELOAD", LIBRARY);
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

/// The configuration of a process after so many reloads, each of which changes the number of classes.
pub(super) fn config_after_reloads(spec: &ProxySpec, admin: SocketAddr, reloads: usize) -> String {
    proxy_config(spec, admin, fastrand::u64(..), reloads % 4).to_string()
}

/// A configuration that is cut off, each time elsewhere.
pub(super) fn broken_config(config: &str, reloads: usize) -> &str {
    &config[..config.len() * (reloads % 7) / 7]
}
