//! Upgrades: the state that a process hands over to its successor through a shared folder.
mod sockets;

use std::net::UdpSocket;

use sockets::*;

#[test]
fn upgrade_keeps_clients_maintenance_and_drain() {
    let one = Backend::new(Reply::Write(ok("one")));
    let two = Backend::new(Reply::Write(ok("two")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&one, &two]));
    let own_socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let peer_socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let gossip_addresses = Some((own_socket.local_addr().unwrap(), peer_socket.local_addr().unwrap()));
    drop(own_socket);
    let (setup, folder) = setup_with_platform("upgrade");
    let setup = Setup { gossip: gossip_addresses, ..setup };
    let mut old = Proxy::start_ready(&discovery, &setup);
    let mut client = old.client();
    assert_eq!(status(client.request(&page("r-0"))), 200);
    assert_eq!(old.admin_call("PUT /backends/s-0/maint").status(), 200);
    let before = one.requests().len();
    let mut new = Proxy::start(&discovery, &setup);
    wait_for("the new process", || new.admin_call("GET /healthcheck").status() == 200);
    assert_eq!(old.admin_call("GET /healthcheck").status(), 200, "both serve");
    // A drain that is set at one process takes effect at the other.
    assert_eq!(new.admin_call("PUT /healthcheck/fail").status(), 200);
    wait_for("the drain at both processes", || (0..10).all(|_| !old.is_up()));
    assert_eq!(new.admin_call("PUT /healthcheck/ok").status(), 200);
    wait_for("the end of the drain at both processes", || (0..10).all(|_| old.is_up()));
    old.terminate();
    assert_eq!(status(client.request(&page("r-1"))), 200, "a connected client gets its response");
    assert!(old.wait().success());
    for id in 2..20 {
        let response = new.client().request(&page(&format!("r-{id}"))).expect("a response");
        assert_eq!(response.text(), "two");
    }
    assert_eq!(one.requests().len(), before, "the maintenance outlives the process at which it was set");
    assert_eq!(new.admin_call("PUT /backends/s-0/ready").status(), 200);
    let mut id = 20;
    wait_for("a request to the backend", || {
        id += 1;
        new.client().request(&page(&format!("r-{id}"))).expect("a response").text() == "one"
    });
    assert!(new.is_running());
    std::fs::remove_dir_all(folder).expect("the file or folder exists");
}

/// A proxy with one of its two backends in maintenance, and the folder that it shares with its successor.
struct MaintenanceUpgrade {
    backends: [Backend; 2],
    discovery: Discovery,
    setup: Setup,
    folder: std::path::PathBuf,
    old: Proxy,
}

impl MaintenanceUpgrade {
    fn new(name: &str) -> Self {
        let backends = ["one", "two"].map(|text| Backend::new(Reply::Write(ok(text))));
        let discovery = Discovery::new();
        discovery.publish(&all_up(&[&backends[0], &backends[1]]));
        let (setup, folder) = setup_with_platform(name);
        let old = Proxy::start_ready(&discovery, &setup);
        assert_eq!(old.admin_call("PUT /backends/s-0/maint").status(), 200);
        MaintenanceUpgrade { backends, discovery, setup, folder, old }
    }

    /// Starts a successor and asserts that it sends no requests to the backend in maintenance.
    fn assert_maintenance_at_successor(mut self) {
        let new = Proxy::start(&self.discovery, &self.setup);
        wait_for("the new process", || new.admin_call("GET /healthcheck").status() == 200);
        self.old.terminate();
        assert!(self.old.wait().success());
        let before = self.backends[0].requests().len();
        for id in 0..20 {
            let response = new.client().request(&page(&format!("r-{id}"))).expect("a response");
            assert_eq!(response.text(), "two");
        }
        assert_eq!(self.backends[0].requests().len(), before);
        std::fs::remove_dir_all(&self.folder).expect("the file or folder exists");
    }
}

#[test]
fn maintenance_survives_upgrade_without_writable_file() {
    let upgrade = MaintenanceUpgrade::new("unwritable");
    // A folder with the name of the temporary file makes writing it fail, as a full disk does.
    std::fs::create_dir(upgrade.folder.join("leadrelay-n0.new")).expect("no file has that name");
    upgrade.assert_maintenance_at_successor();
}

/// Guards against losing the maintenance when the handover file can't be opened for a while.
#[test]
fn maintenance_survives_unreadable_file() {
    let upgrade = MaintenanceUpgrade::new("unreadable");
    let file = upgrade.folder.join("leadrelay-n0.json");
    let moved_file = upgrade.folder.join("aside");
    std::fs::rename(&file, &moved_file).expect("the file or folder exists");
    std::os::unix::fs::symlink(&file, &file).expect("a link to itself, which can't be opened");
    let unreadable = || file.symlink_metadata().expect("the file or folder exists").is_symlink();
    wait_for("an attempt to write the file", || {
        !unreadable() || upgrade.old.log_contains("handover file not written")
    });
    if unreadable() {
        std::fs::rename(&moved_file, &file).expect("the file or folder exists");
    }
    upgrade.assert_maintenance_at_successor();
}

/// Guards against losing the maintenance when the handover file is truncated: the running process writes it again.
#[test]
fn maintenance_survives_lost_file() {
    let upgrade = MaintenanceUpgrade::new("lost");
    let file = upgrade.folder.join("leadrelay-n0.json");
    std::fs::write(&file, "{\"version\":").expect("a truncated file");
    wait_for("a new file", || std::fs::read_to_string(&file).is_ok_and(|text| text.contains("hosts")));
    upgrade.assert_maintenance_at_successor();
}

/// Guards against a successor that keeps to its half of the sockets after the process that had the other half was
/// killed.
#[test]
fn killed_predecessor_ends_the_overlap() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let (setup, folder) = setup_with_platform("killed");
    let old = Proxy::start_ready(&discovery, &setup);
    let new = Proxy::start(&discovery, &setup);
    wait_for("the new process", || new.admin_call("GET /healthcheck").status() == 200);
    wait_for("the new process to detect the old one", || new.log_contains("overlapping=true"));
    drop(old); // Dropping it kills the process with SIGKILL.
    wait_for("the new process to detect the end of the old one", || new.log_contains("overlapping=false"));
    std::fs::remove_dir_all(folder).expect("the file or folder exists");
}

#[test]
fn maintenance_set_at_old_process_reaches_successor() {
    let one = Backend::new(Reply::Write(ok("one")));
    let two = Backend::new(Reply::Write(ok("two")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&one, &two]));
    let (setup, folder) = setup_with_platform("ban");
    let old = Proxy::start_ready(&discovery, &setup);
    let new = Proxy::start(&discovery, &setup);
    wait_for("the new process", || new.admin_call("GET /healthcheck").status() == 200);
    assert_eq!(old.admin_call("PUT /backends/s-1/maint").status(), 200);
    wait_for("the maintenance at the new process", || new.stat("/members_unavailable") == 1);
    assert_eq!(old.admin_call("PUT /backends/s-1/ready").status(), 200);
    wait_for("the end of the maintenance", || new.stat("/members_unavailable") == 0);
    std::fs::remove_dir_all(folder).expect("the file or folder exists");
}

/// A truncated handover file, which names no successor, must not keep the process from serving while it shuts down.
#[test]
fn connection_after_sigterm_without_successor_is_served() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let (setup, folder) = setup_with_platform("alone");
    std::fs::write(folder.join("leadrelay-n0.json"), "{\"version\":").expect("a file");
    let mut proxy = Proxy::start_ready(&discovery, &setup);
    proxy.terminate();
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
    assert!(proxy.wait().success());
    std::fs::remove_dir_all(folder).expect("the file or folder exists");
}

#[test]
fn missing_handover_folder_does_not_prevent_service() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let (setup, folder) = setup_with_platform("none");
    std::fs::remove_dir_all(folder).expect("the file or folder exists");
    let proxy = Proxy::start_ready(&discovery, &setup);
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
}
