//! The lock that guards the handover file: a process that holds it does not block another one.
mod sockets;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sockets::*;

/// Takes the lock on the handover file, as held by another process that was stopped in the middle of a change.
fn lock_handover(folder: &std::path::Path) -> std::fs::File {
    let lock = std::fs::File::create(folder.join("leadrelay-n0.lock")).expect("a file");
    lock.lock().expect("the proxy holds the lock only briefly");
    lock
}

/// Makes an admin call. Returns the status and the time until the response.
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
    let lock = lock_handover(&folder);
    for call in ["PUT /backends/s-0/maint", "PUT /backends/s-0/ready", "PUT /healthcheck/fail"] {
        let (status, duration) = timed_call(&proxy, call);
        eprintln!("{call}: {status} after {duration:?}");
        assert_eq!(status, 404, "{call}");
        assert!(duration < Duration::from_secs(1), "{call}: {duration:?}");
    }
    // The requests go on for longer than the interval at which the proxy writes its state.
    let end = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < end {
        let started_at = Instant::now();
        assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
        assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
    }
    // An admin call waits for a lock that is released soon.
    let response = std::thread::scope(|scope| {
        let call = scope.spawn(|| timed_call(&proxy, "PUT /healthcheck/ok"));
        std::thread::sleep(Duration::from_millis(100));
        drop(lock);
        call.join().expect("no thread has panicked")
    });
    assert_eq!(response.0, 200, "{response:?}");
    assert_eq!(timed_call(&proxy, "PUT /backends/s-0/maint").0, 200);
    let saved_state = std::fs::read_to_string(folder.join("leadrelay-n0.json")).expect("a file");
    assert!(
        saved_state.contains(r#""drained":false"#) && !saved_state.contains(r#""bans":[]"#),
        "{saved_state}"
    );
    let lock = lock_handover(&folder);
    let started_at = Instant::now();
    proxy.terminate();
    assert!(proxy.wait().success());
    eprintln!("SIGTERM: exit after {:?}", started_at.elapsed());
    assert!(started_at.elapsed() < Duration::from_millis(1700), "{:?}", started_at.elapsed());
    drop(lock);
    std::fs::remove_dir_all(folder).expect("the file or folder exists");
}

#[test]
fn process_starts_while_handover_is_locked() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let (setup, folder) = setup_with_platform("start");
    let lock = lock_handover(&folder);
    let started_at = Instant::now();
    let lock = Arc::new(Mutex::new(Some(lock)));
    let lock_to_release = lock.clone();
    // The lock is released after 10 s, so that a process that waits for it starts late instead of hanging.
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(10));
        lock_to_release.lock().expect("no thread has panicked").take();
    });
    let proxy = Proxy::start_ready(&discovery, &setup);
    assert!(started_at.elapsed() < Duration::from_secs(5), "{:?}", started_at.elapsed());
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
    // The state that could not be written at the start is written once the lock is released.
    let file = folder.join("leadrelay-n0.json");
    assert!(!file.exists());
    lock.lock().expect("no thread has panicked").take();
    wait_for("the state file", || {
        std::fs::read_to_string(&file).is_ok_and(|text| text.contains(r#""stage":"Serving""#))
    });
    std::fs::remove_dir_all(folder).expect("the file or folder exists");
}
