//! Requests whose id comes again while two processes of a proxy overlap.
mod sockets;

use std::time::Duration;

use sockets::*;

/// The time within which a process claims the ids of its open requests once it knows of another process.
const CLAIM_TIME: Duration = Duration::from_millis(300);

/// Guards against a request that runs twice because its client left, and sent it again to the other process of an upgrade
/// while the first attempt was still running.
#[test]
fn id_that_is_open_at_the_other_process_is_not_sent_again() {
    let latch = Latch::default();
    let backend = Backend::new(Reply::Delayed(latch.clone(), ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let (setup, _folder) = setup_with_platform("upgrade-ids");
    let mut old = Proxy::start_ready(&discovery, &setup);
    let request = submit("r-1", "5", "x");
    let mut client = old.client();
    client.send(&request);
    wait_for("the first attempt", || backend.requests().len() == 1);
    let new = Proxy::start(&discovery, &setup);
    wait_for("the new process", || new.admin_call("GET /healthcheck").status() == 200);
    wait_for("the old process to see the new one", || old.log_contains("overlapping=true"));
    std::thread::sleep(CLAIM_TIME);
    drop(client);
    old.pause(); // so that the new process accepts the next connection
    let response = new.client().request(&request).expect("a response");
    old.resume();
    assert_eq!((response.status(), backend.requests().len()), (409, 1), "the request runs once");
    old.terminate();
    wait_for("the new process to see the end of the overlap", || new.log_contains("overlapping=false"));
    assert_eq!(status(new.client().request(&request)), 409, "it is still open at the process that ends");
    latch.open();
    assert!(old.wait().success());
    wait_for("the end of the claim", || status(new.client().request(&submit("r-2", "5", "x"))) == 200);
}
