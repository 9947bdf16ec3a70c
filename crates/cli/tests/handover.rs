//! Upgrades: what a process hands over to its successor by their shared folder.
mod sockets;

use std::net::UdpSocket;

use sockets::*;

#[test]
fn upgrade_keeps_clients_maintenance_and_drain() {
    let one = Backend::new(Reply::Write(ok("one")));
    let two = Backend::new(Reply::Write(ok("two")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&one, &two]));
    let own = UdpSocket::bind("127.0.0.1:0").unwrap();
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    let gossip_enabled = Some((own.local_addr().unwrap(), other.local_addr().unwrap()));
    drop(own);
    let (setup, folder) = setup_with_platform("upgrade");
    let setup = Setup { gossip: gossip_enabled, ..setup };
    let mut old = Proxy::start_ready(&discovery, &setup);
    let mut client = old.client();
    assert_eq!(status(client.request(&page("r-0"))), 200);
    assert_eq!(old.admin_call("PUT /backends/s-0/maint").status(), 200);
    let before = one.requests().len();
    let mut new = Proxy::start(&discovery, &setup);
    wait_for("the new process", || new.admin_call("GET /healthcheck").status() == 200);
    assert_eq!(old.admin_call("GET /healthcheck").status(), 200, "both serve");
    // What is set at one is in effect at the other.
    assert_eq!(new.admin_call("PUT /healthcheck/fail").status(), 200);
    wait_for("the drain at both", || (0..10).all(|_| !old.is_up()));
    assert_eq!(new.admin_call("PUT /healthcheck/ok").status(), 200);
    wait_for("its end at both", || (0..10).all(|_| old.is_up()));
    old.terminate();
    assert_eq!(status(client.request(&page("r-1"))), 200, "who is connected is answered");
    assert!(old.wait().success());
    for id in 2..20 {
        let response = new.client().request(&page(&format!("r-{id}"))).expect("a response");
        assert_eq!(response.text(), "two");
    }
    assert_eq!(one.requests().len(), before, "the maintenance outlives the process that was told");
    assert_eq!(new.admin_call("PUT /backends/s-0/ready").status(), 200);
    let mut id = 20;
    wait_for("its use", || {
        id += 1;
        new.client().request(&page(&format!("r-{id}"))).expect("a response").text() == "one"
    });
    assert!(new.is_running());
    std::fs::remove_dir_all(folder).expect("it is there");
}

/// A proxy with one of two backends in maintenance, and the folder that it shares with its successor.
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

    /// A successor takes over; it sends nothing to the backend in maintenance.
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
        std::fs::remove_dir_all(&self.folder).expect("it is there");
    }
}

#[test]
fn maintenance_survives_upgrade_without_writable_file() {
    let upgrade = MaintenanceUpgrade::new("unwritable");
    // What is written before it replaces the file can't be, as on a full disk.
    std::fs::create_dir(upgrade.folder.join("leadrelay-n0.new")).expect("nothing has that name");
    upgrade.assert_maintenance_at_successor();
}

#[test]
fn maintenance_survives_unreadable_file() {
    let upgrade = MaintenanceUpgrade::new("unreadable");
    let file = upgrade.folder.join("leadrelay-n0.json");
    let aside = upgrade.folder.join("aside");
    std::fs::rename(&file, &aside).expect("it is there");
    std::os::unix::fs::symlink(&file, &file).expect("a link to itself, which can't be read");
    let unreadable = || file.symlink_metadata().expect("it is there").is_symlink();
    wait_for("a try to write", || !unreadable() || upgrade.old.log_contains("handover file not written"));
    if unreadable() {
        std::fs::rename(&aside, &file).expect("it is there");
    }
    upgrade.assert_maintenance_at_successor();
}

#[test]
fn maintenance_survives_lost_file() {
    let upgrade = MaintenanceUpgrade::new("lost");
    let file = upgrade.folder.join("leadrelay-n0.json");
    std::fs::write(&file, "{\"version\":").expect("half of a file");
    wait_for("a new file", || std::fs::read_to_string(&file).is_ok_and(|text| text.contains("hosts")));
    upgrade.assert_maintenance_at_successor();
}

#[test]
fn killed_predecessor_shares_nothing() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let (setup, folder) = setup_with_platform("killed");
    let old = Proxy::start_ready(&discovery, &setup);
    let new = Proxy::start(&discovery, &setup);
    wait_for("the new process", || new.admin_call("GET /healthcheck").status() == 200);
    wait_for("the old process at the new one", || new.log_contains("overlapping=true"));
    drop(old); // by SIGKILL
    wait_for("its end at the new one", || new.log_contains("overlapping=false"));
    std::fs::remove_dir_all(folder).expect("it is there");
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
    wait_for("the maintenance at the new one", || new.stat("/members_unavailable") == 1);
    assert_eq!(old.admin_call("PUT /backends/s-1/ready").status(), 200);
    wait_for("its end", || new.stat("/members_unavailable") == 0);
    std::fs::remove_dir_all(folder).expect("it is there");
}

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
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[test]
fn missing_handover_folder_does_not_prevent_service() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let (setup, folder) = setup_with_platform("none");
    std::fs::remove_dir_all(folder).expect("it is there");
    let proxy = Proxy::start_ready(&discovery, &setup);
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
}
