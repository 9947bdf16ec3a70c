//! Converts a valid file into a [`Config`].

use std::hash::{BuildHasher, RandomState};

use leadrelay_core::names::{Names, intern};
use leadrelay_core::settings::json::ConnectionTimeouts;
use leadrelay_core::{
    DeduplicationScope, DiscoveryMode, Idempotency, Limits, NotificationBounds, Prices, RequestClass,
    Settings, Tenant, WeightMeaning, ZoneId,
};
use serde_json::Value;

use super::defaults;
use super::schema::{Backend, Class, Effect, File, Peers, Scope};
use crate::config::{
    ClientProtocol, Config, EndpointSource, HttpRules, Logging, Origin, PeerAddresses, Route,
    max_open_requests,
};
use crate::listed_endpoint::{Health, ListedEndpoint};

/// Shortest slow-start and overload window that the balancer supports, in milliseconds.
const MIN_WINDOW_MS: f64 = 1.0;

impl From<File> for Config {
    fn from(mut file: File) -> Config {
        if file.classes.is_empty() {
            file.classes = default_classes();
        }
        let mut names = Names {
            classes: file.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: file.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            ..Names::default()
        };
        let zone = file.zone.as_ref().map(|zone| ZoneId(intern(&mut names.zones, zone) as u32));
        let settings = settings(&file, zone);
        let client_protocol = ClientProtocol::Plain(HttpRules {
            routes: file.classes.into_iter().map(Route::from).collect(),
            readiness_path: file.up_path,
            tenant_header: file.tenant_header,
        });
        let source = match file.discovery {
            Some(discovery) => EndpointSource::Discovery(discovery.address.0),
            None => EndpointSource::Fixed(file.backends.iter().map(ListedEndpoint::from).collect()),
        };
        Config {
            name: file.name,
            listen: file.listen.0,
            admin: file.admin.map(|admin| admin.listen.0),
            source,
            seed: file.seed.map_or_else(random_seed, u64::from),
            max_sockets: file.limits.descriptors,
            max_memory: file.limits.memory.0 as usize,
            peers: file.peers.map(PeerAddresses::from),
            cached_list: Value::Null,
            connections: ConnectionTimeouts {
                connect_timeout: file.timeouts.connect.ms(),
                backend_idle_timeout: file.timeouts.idle.ms(),
            },
            settings,
            names,
            client_protocol,
            logging: Logging {
                filter: file.logging.filter.0,
                format: file.logging.format,
                access: file.logging.access,
            },
            origin: Origin::File,
        }
    }
}

/// The classes of a file that defines none.
fn default_classes() -> Vec<Class> {
    let read_methods = defaults::READ_METHODS.map(str::to_owned).to_vec();
    vec![default_class("read", read_methods, Effect::Safe), default_class("write", Vec::new(), Effect::Once)]
}

fn default_class(name: &str, methods: Vec<String>, effect: Effect) -> Class {
    Class {
        name: name.into(),
        path: defaults::path(),
        methods,
        effect,
        deadline: defaults::DEADLINE,
        latency_objective: Some(defaults::LATENCY_OBJECTIVE),
        priority_weight: defaults::one(),
        late_fraction: defaults::late_fraction(),
        scope: Scope::All,
        window: None,
    }
}

/// A random seed, which differs between proxies even if they start at the same time.
fn random_seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

fn settings(file: &File, zone: Option<ZoneId>) -> Settings {
    Settings {
        proxy_index: file.peers.as_ref().map_or(0, |peers| peers.proxy_index),
        proxies: file.peers.as_ref().map_or(1, |peers| peers.addresses.len() as u32),
        zone,
        classes: file.classes.iter().map(RequestClass::from).collect(),
        tenants: file
            .tenants
            .iter()
            .map(|tenant| Tenant { quota_per_second: tenant.quota_per_second })
            .collect(),
        over_quota_fraction: file.over_quota_fraction,
        weight_per_work: false,
        discovery: DiscoveryMode::Pushed,
        notification_bounds: file.discovery.is_some().then(NotificationBounds::default),
        weight_meaning: WeightMeaning::Capacity,
        key_affinity: false,
        clients_mark_retries: false,
        gossip_enabled: file.peers.is_some(),
        prices: Prices::default(),
        limits: limits(file),
    }
}

fn limits(file: &File) -> Limits {
    Limits {
        // While discovery doesn't respond, the last known list stays in use without a time limit.
        drain_grace: f64::INFINITY,
        notified_without_watch: f64::INFINITY,
        initial_capacity: file.slow_start.initial_capacity,
        slow_start_window: file.slow_start.window.ms().max(MIN_WINDOW_MS),
        overload_multiple: file.slow_start.overload_multiple,
        overload_window: file.slow_start.overload_window.ms().max(MIN_WINDOW_MS),
        max_open_requests: max_open_requests(file.limits.descriptors),
        max_attempts: file.limits.attempts,
    }
}

impl From<&Class> for RequestClass {
    fn from(class: &Class) -> Self {
        RequestClass {
            latency_objective: class.latency_objective.unwrap_or(class.deadline).ms(),
            deadline: class.deadline.ms(),
            objective_stretch: 0.0,
            priority_weight: class.priority_weight,
            late_fraction: class.late_fraction,
            idempotency: idempotency(class),
        }
    }
}

fn idempotency(class: &Class) -> Idempotency {
    match class.effect {
        Effect::Safe => Idempotency::Always,
        Effect::Once => Idempotency::Never,
        Effect::Keyed => {
            let scope = match class.scope {
                Scope::All => DeduplicationScope::All,
                Scope::Zone => DeduplicationScope::Zone,
            };
            Idempotency::WithKey { scope, window: class.window.map_or(0.0, |window| window.ms()) }
        }
    }
}

impl From<Class> for Route {
    fn from(class: Class) -> Self {
        Route { class: class.name, path: class.path, methods: class.methods }
    }
}

impl From<Peers> for PeerAddresses {
    fn from(peers: Peers) -> Self {
        let addresses: Vec<_> = peers.addresses.into_iter().map(|address| address.0).collect();
        PeerAddresses { listen: addresses[peers.proxy_index as usize], peers: addresses, broadcast: None }
    }
}

impl Backend {
    /// The backend's name, or its address if it has no name.
    pub fn label(&self) -> String {
        self.name.clone().unwrap_or_else(|| self.address.0.to_string())
    }
}

impl From<&Backend> for ListedEndpoint {
    fn from(backend: &Backend) -> Self {
        ListedEndpoint {
            name: backend.label(),
            address: Some(backend.address.0),
            zone: backend.zone.clone(),
            machine_class: backend.machine_class.clone(),
            cell: None,
            health: Health::Up,
            weight: Some(backend.weight),
            started_unix_ms: 0.0,
        }
    }
}
