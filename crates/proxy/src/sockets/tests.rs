use super::*;

const MAX_DESCRIPTORS: usize = 1024;

fn sockets() -> Rc<Sockets> {
    Sockets::new(SocketLimits::new(MAX_DESCRIPTORS, MAX_DESCRIPTORS), None)
}

/// Adds sockets for backends until there are as many or no more are free.
fn add_backends(sockets: &Rc<Sockets>, count: usize) -> Vec<SocketPermit> {
    let free = |_: &usize| !sockets.is_exhausted();
    (0..count).take_while(free).map(|_| sockets.add(Side::Backends)).collect()
}

/// Guards against clients that are allowed to send requests and find no socket for a backend.
#[test]
fn each_client_that_may_send_a_request_finds_a_socket_for_a_backend() {
    let sockets = sockets();
    let clients: Vec<SocketPermit> = (0..MAX_DESCRIPTORS / 3).map(|_| sockets.add_client()).collect();
    assert_eq!(add_backends(&sockets, clients.len()).len(), clients.len());
}

/// Guards against clients and backends that exceed the limit together, whichever side comes first.
#[test]
fn both_sides_stay_within_the_limit_together() {
    for first_clients in [0, 200, 500, MAX_DESCRIPTORS] {
        let sockets = sockets();
        let mut clients = Vec::new();
        let mut add_clients = |count: usize| {
            while clients.len() < count && sockets.clients() < sockets.max_clients() {
                clients.push(sockets.add_client());
            }
        };
        add_clients(first_clients);
        let backends = add_backends(&sockets, MAX_DESCRIPTORS);
        add_clients(MAX_DESCRIPTORS);
        assert!(sockets.clients() + backends.len() <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS);
        assert!(backends.len() >= sockets.reserved(), "clients take nothing of the reserved part");
    }
}

/// Guards against an attempt that goes on waiting for a socket that a client has released.
#[test]
fn socket_of_a_client_that_leaves_goes_to_an_attempt_that_waits() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("failed to build the runtime");
    runtime.block_on(async {
        let sockets = sockets();
        let mut clients: Vec<SocketPermit> =
            (0..sockets.max_clients()).map(|_| sockets.add_client()).collect();
        let _backends = add_backends(&sockets, MAX_DESCRIPTORS);
        let waiting = sockets.acquire_backend();
        let leave = async {
            assert!(sockets.has_waiters());
            clients.pop();
        };
        tokio::join!(waiting, leave);
        assert!(!sockets.has_waiters());
    });
}
