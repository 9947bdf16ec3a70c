//! Signals that come before the proxy runs. A FIFO as its configuration keeps the process in its first read.
mod sockets;

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use sockets::*;

/// A process that has begun to read its configuration, the end to write that to, and the file.
fn spawn_in_first_read() -> (Child, File, PathBuf) {
    let file = config_file("");
    std::fs::remove_file(&file).expect("just written");
    assert!(Command::new("mkfifo").arg(&file).status().expect("mkfifo runs").success());
    let mut command = Command::new(env!("CARGO_BIN_EXE_leadrelay"));
    command.arg("serve").env("NODE_CONFIG", &file).stderr(Stdio::piped());
    let child = command.spawn().expect("the proxy starts");
    // Opens once the other end is open too.
    let writer = OpenOptions::new().write(true).open(&file).expect("a FIFO");
    (child, writer, file)
}

fn kill(child: &Child, signal: &str) {
    let pid = child.id().to_string();
    assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
}

/// Replaces the FIFO by a file: the first reading goes on, each later one finds this.
fn replace(file: &Path, text: &str) {
    let fresh = file.with_extension("new");
    std::fs::write(&fresh, text).expect("a file");
    std::fs::rename(&fresh, file).expect("a file");
}

#[test]
fn sighup_during_first_read_leads_to_a_second() {
    let backend = Backend::new(Reply::Write(ok("")));
    let old = Discovery::new();
    let new = Discovery::new();
    new.publish(&all_up(&[&backend]));
    let setup = Setup { has_admin: true, ..Setup::default() };
    let (child, mut writer, file) = spawn_in_first_read();
    kill(&child, "-HUP");
    replace(&file, &config(new.address, &setup));
    write!(writer, "{}", config(old.address, &setup)).expect("it reads");
    drop(writer);
    let mut proxy = Proxy::from_child(child, file);
    // Only the later one names a discovery that tells its list.
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
        kill(&child, signal);
        let mut status = None;
        wait_for("its end", || {
            status = child.try_wait().expect("a child");
            status.is_some()
        });
        assert_eq!(status.expect("just seen").code(), Some(0), "{signal}");
        drop(writer);
        std::fs::remove_file(file).expect("a FIFO");
    }
}
