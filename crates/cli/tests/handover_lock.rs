//! The lock on the handover's folder: another process that holds it blocks nothing.
mod sockets;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sockets::*;

/// Holds the handover's lock, as another process does that was stopped in the middle of a change.
fn locked(folder: &std::path::Path) -> std::fs::File {
    let lock = std::fs::File::create(folder.join("leadrelay-n0.lock")).expect("a file");
    lock.lock().expect("nobody else holds it for long");
    lock
}

/// The status of an admin call and the time until its response.
fn timed_call(proxy: &Proxy, call: &str) -> (u16, Duration) {
    let started_at = Instant::now();
    (proxy.admin_call(call).status(), started_at.elapsed())
}

#[test]
fn locked_handover_does_not_block_the_proxy() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let (setup, folder) = setup_with_platform("locked");
    let mut proxy = Proxy::start_ready(&discovery, &Setup { deadline_ms: 1000, ..setup });
    let lock = locked(&folder);
    for call in ["PUT /backends/s-0/maint", "PUT /backends/s-0/ready", "PUT /healthcheck/fail"] {
        let (status, after) = timed_call(&proxy, call);
        eprintln!("{call}: {status} after {after:?}");
        assert_eq!(status, 404, "{call}");
        assert!(after < Duration::from_secs(1), "{call}: {after:?}");
    }
    // Longer than from one writing of the state to the next.
    let end = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < end {
        let started_at = Instant::now();
        assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
        assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
    }
    // A call waits for a lock that is released soon.
    let response = std::thread::scope(|scope| {
        let call = scope.spawn(|| timed_call(&proxy, "PUT /healthcheck/ok"));
        std::thread::sleep(Duration::from_millis(100));
        drop(lock);
        call.join().expect("no panic")
    });
    assert_eq!(response.0, 200, "{response:?}");
    assert_eq!(timed_call(&proxy, "PUT /backends/s-0/maint").0, 200);
    let left = std::fs::read_to_string(folder.join("leadrelay-n0.json")).expect("a file");
    assert!(left.contains(r#""drained":false"#) && !left.contains(r#""bans":[]"#), "{left}");
    let lock = locked(&folder);
    let started_at = Instant::now();
    proxy.terminate();
    assert!(proxy.wait().success());
    eprintln!("SIGTERM: the end after {:?}", started_at.elapsed());
    assert!(started_at.elapsed() < Duration::from_millis(1700), "{:?}", started_at.elapsed());
    drop(lock);
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[test]
fn process_starts_while_handover_is_locked() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let (setup, folder) = setup_with_platform("start");
    let lock = locked(&folder);
    let started_at = Instant::now();
    let lock = Arc::new(Mutex::new(Some(lock)));
    let released = lock.clone();
    // Released in the end, so that a process that waits for it is found to be late.
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(10));
        released.lock().expect("no panic").take();
    });
    let proxy = Proxy::start_ready(&discovery, &setup);
    assert!(started_at.elapsed() < Duration::from_secs(5), "{:?}", started_at.elapsed());
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
    // What could not be written at the start is written once it can be.
    let file = folder.join("leadrelay-n0.json");
    assert!(!file.exists());
    lock.lock().expect("no panic").take();
    wait_for("the state file", || {
        std::fs::read_to_string(&file).is_ok_and(|text| text.contains(r#""stage":"Serving""#))
    });
    std::fs::remove_dir_all(folder).expect("it is there");
}
