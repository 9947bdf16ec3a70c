//! Signals that arrive before the proxy runs. The configuration file is a FIFO, which blocks the process in its first
//! read of the configuration.
mod sockets;

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use sockets::*;

/// Starts a process and waits until it has begun to read its configuration. Returns the process, the write end of the
/// FIFO, and the path of the FIFO.
fn spawn_in_first_read() -> (Child, File, PathBuf) {
    let file = config_file("");
    std::fs::remove_file(&file).expect("just written");
    assert!(Command::new("mkfifo").arg(&file).status().expect("mkfifo runs").success());
    let mut command = Command::new(env!("CARGO_BIN_EXE_leadrelay"));
    command.arg("serve").env("NODE_CONFIG", &file).stderr(Stdio::piped());
    let child = command.spawn().expect("the proxy starts");
    // This blocks until the process has opened the FIFO for reading.
    let writer = OpenOptions::new().write(true).open(&file).expect("a FIFO");
    (child, writer, file)
}

fn send_signal(child: &Child, signal: &str) {
    let pid = child.id().to_string();
    assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
}

/// Replaces the FIFO with a regular file: the first read continues from the FIFO, and each later read gets `text`.
fn replace_fifo(file: &Path, text: &str) {
    let new_file = file.with_extension("new");
    std::fs::write(&new_file, text).expect("a file");
    std::fs::rename(&new_file, file).expect("a file");
}

/// Guards against a SIGHUP that is ignored because the first read of the configuration is still in progress.
#[test]
fn sighup_during_first_read_leads_to_a_second() {
    let backend = Backend::new(Reply::Write(ok("")));
    let old_discovery = Discovery::new();
    let new_discovery = Discovery::new();
    new_discovery.publish(&all_up(&[&backend]));
    let setup = Setup { has_admin: true, ..Setup::default() };
    let (child, mut writer, file) = spawn_in_first_read();
    send_signal(&child, "-HUP");
    replace_fifo(&file, &config(new_discovery.address, &setup));
    write!(writer, "{}", config(old_discovery.address, &setup)).expect("the process reads");
    drop(writer);
    let mut proxy = Proxy::from_child(child, file);
    // Only the second configuration names a discovery that has published a list.
    wait_for("/up", || proxy.is_up());
    assert_eq!(proxy.client().request(&page("r-1")).expect("a response").status(), 200);
    assert_eq!(proxy.stat("/config_reloads"), 1);
    proxy.terminate();
    assert!(proxy.wait().success());
}

#[test]
fn sigterm_during_first_read_ends_the_process() {
    for signal in ["-TERM", "-INT"] {
        let (mut child, writer, file) = spawn_in_first_read();
        send_signal(&child, signal);
        let mut status = None;
        wait_for("the exit of the process", || {
            status = child.try_wait().expect("a child");
            status.is_some()
        });
        assert_eq!(status.expect("the process has exited").code(), Some(0), "{signal}");
        drop(writer);
        std::fs::remove_file(file).expect("a FIFO");
    }
}
