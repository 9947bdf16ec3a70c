use super::*;

const MAX_DESCRIPTORS: usize = 1024;
const MB: usize = 1_000_000;
/// Memory limits in megabytes with limits on descriptors, all as the platform may state them.
const LIMITS: [(usize, usize); 6] = [(32, 1024), (40, 1024), (48, 1024), (64, 512), (32, 256), (192, 1024)];

/// The bytes that a process may use by its plan, with all its connections, requests and bodies.
fn planned_bytes(plan: &MemoryPlan, connections: usize, requests: usize) -> usize {
    let reserved = plan.wide_bytes + plan.body_bytes;
    PROCESS_BYTES + connections * CLIENT_CONNECTION_BYTES + requests * REQUEST_BYTES + reserved
}

/// Guards against a plan that promises more than the limit.
#[test]
fn all_that_a_process_may_use_fits_into_the_limit() {
    for (max_memory, max_descriptors) in LIMITS {
        let plan = MemoryPlan::new(max_memory * MB, max_descriptors, false);
        // As many requests as there may be, or as many connections: both limits share the memory beyond the clients.
        let clients = max_descriptors.div_ceil(CLIENT_DIVISOR);
        let most_requests = planned_bytes(&plan, plan.max_requests, plan.max_requests);
        let most_connections = planned_bytes(&plan, plan.max_served_connections, clients);
        assert!(most_requests.max(most_connections) <= max_memory * MB, "{max_memory} MB: {plan:?}");
    }
}

/// Guards against a proxy that refuses clients which the platform allows to send requests.
#[test]
fn clients_that_may_send_requests_fit_into_every_limit() {
    for (max_memory, max_descriptors) in LIMITS {
        for can_overlap in [false, true] {
            let plan = MemoryPlan::new(max_memory * MB, max_descriptors, can_overlap);
            assert!(plan.max_served_connections > max_descriptors / CLIENT_DIVISOR);
            assert!(plan.max_requests > max_descriptors / CLIENT_DIVISOR);
        }
    }
}

/// Guards against two processes of an upgrade that use more than the limit together.
#[test]
fn overlapping_processes_share_what_the_clients_leave() {
    for (max_memory, max_descriptors) in LIMITS {
        let plan = MemoryPlan::new(max_memory * MB, max_descriptors, true);
        let clients = max_descriptors.div_ceil(CLIENT_DIVISOR);
        let of_clients = clients * (CLIENT_CONNECTION_BYTES + REQUEST_BYTES);
        let each = planned_bytes(&plan, plan.max_served_connections, clients) - of_clients;
        assert!(of_clients + 2 * each <= max_memory * MB, "{max_memory} MB: {plan:?}");
    }
}

/// Guards against a plan that leaves nothing for bodies where the limit allows it.
#[test]
fn memory_beyond_the_clients_is_for_bodies_and_wide_buffers() {
    let plan = MemoryPlan::new(192 * MB, MAX_DESCRIPTORS, true);
    assert!(plan.body_bytes > 16 * MB && plan.wide_bytes > 8 * MB, "{plan:?}");
}
