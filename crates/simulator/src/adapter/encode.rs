//! Encodes the settings and events of a proxy as the lines that an adapter reads.

use std::fmt::Write as _;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use leadrelay_core::{
    AffinityKey, ClassId, Endpoint, EndpointState, Event, ListScope, Millis, Outcome, RequestId, TenantId,
};
use serde_json::json;

use crate::index::ProxyIndex;
use crate::scenario::{ClassSpec, RequestIdempotency};
use crate::settings::{DEDUPLICATION_WINDOW, MAX_ATTEMPTS};
use crate::workload::Workload;

/// Number of lowest bits dropped from a seed, because the numbers of the adapter protocol can't hold all 64 bits.
const SEED_BITS_DROPPED: u32 = 11;

/// Builds the first line for a proxy, which starts the proxy with its settings.
pub(super) fn setup_line(workload: &Workload, proxy: ProxyIndex, seed: u64) -> String {
    let scenario = &workload.scenario;
    let tenants = scenario.tenants.iter().zip(workload.tenant_quotas.iter());
    let accounts: Vec<_> =
        tenants.map(|(tenant, quota)| json!({"name": tenant.name, "allowancePerS": quota})).collect();
    let machine_classes: Vec<&str> =
        scenario.machine_classes.iter().map(|class| class.name.as_str()).collect();
    let rule = &scenario.slow_start;
    let parameters = json!({
        "myNumber": proxy.0,
        "nInstances": workload.proxies.len(),
        "zone": scenario.zones[workload.proxies[proxy].zone.0],
        "zones": scenario.zones,
        "flavors": machine_classes,
        "accounts": accounts,
        "overShareWorth": scenario.over_quota_weight,
        "worthBy": "request",
        "classes": scenario.classes.iter().map(request_class).collect::<Vec<_>>(),
        "discovery": "on_request",
        "weightSource": "rough",
        "extra": {"warmKeys": true},
        "prices": {"crossZone": scenario.prices.cross_zone},
        "ceilings": {"mayTell": scenario.network.gossip_loss < 1.0, "maxAttempts": MAX_ATTEMPTS},
        "rules": {
            "startCapacity": rule.initial_capacity,
            "cold": rule.duration(),
            "fallMultiple": rule.overload_multiple,
            "fall": rule.overload_window(),
        },
    });
    let seed = seed >> SEED_BITS_DROPPED;
    format!("UP\ti={proxy}\trandomSeed={seed}\tparams={parameters}\n")
}

fn request_class(class: &ClassSpec) -> serde_json::Value {
    let effect = match class.idempotency {
        RequestIdempotency::Idempotent => "idempotent",
        RequestIdempotency::NotIdempotent => "at_most_once",
        RequestIdempotency::WithKey => "deduplicated",
    };
    json!({
        "name": class.name,
        "effect": effect,
        "dedupScope": "cell",
        "window": DEDUPLICATION_WINDOW,
        "promise": class.latency_objective_ms,
        "deadline": class.deadline_ms,
        "worth": class.priority_weight,
        "lateShare": 0.0,
    })
}

/// Encodes the events of one proxy.
pub(super) struct Encoder {
    proxy: ProxyIndex,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    machine_classes: Vec<String>,
}

impl Encoder {
    pub(super) fn new(workload: &Workload, proxy: ProxyIndex) -> Self {
        let scenario = &workload.scenario;
        Encoder {
            proxy,
            classes: scenario.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: scenario.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            zones: scenario.zones.clone(),
            machine_classes: scenario.machine_classes.iter().map(|class| class.name.clone()).collect(),
        }
    }

    /// Encodes an event as one or more lines; returns `None` for an event that the adapter protocol does not support.
    pub(super) fn event(&self, event: Event) -> Option<String> {
        let proxy = self.proxy;
        match event {
            Event::List { scope, entries } => Some(self.list(scope, &entries)),
            Event::Request { id, class, tenant, key, timeout, .. } => {
                Some(self.request(id, class, tenant, key, timeout))
            }
            Event::Ended { request, attempt, latency, outcome, finished } => {
                let reason = outcome_name(outcome);
                let closed = u8::from(finished);
                let request = request.0;
                Some(format!(
                    "OUTCOME\ti={proxy}\trid=r-{request}\tlatency={latency}\tsendNo={attempt}\t\
                     closed={closed}\treason={reason}\n"
                ))
            }
            Event::ClientClosed(request) => Some(format!("HANGUP\ti={proxy}\trid=r-{}\n", request.0)),
            Event::Timer(token) => Some(format!("DEADLINE_HIT\ti={proxy}\tkeyBack={token}\n")),
            Event::Gossip { from, bytes } => {
                let message = BASE64.encode(bytes);
                Some(format!("NOTE_FROM\ti={proxy}\twho={from}\tmsg={message}\n"))
            }
            _ => None,
        }
    }

    fn list(&self, scope: ListScope, entries: &[Endpoint]) -> String {
        let scope = match scope {
            ListScope::Delta => "delta",
            ListScope::Full => "full",
            ListScope::Cached => "cached",
            ListScope::Failed => "failed",
        };
        let proxy = self.proxy;
        let count = entries.len();
        let mut lines = format!("TOPOLOGY\ti={proxy}\tscope={scope}\tstamp=1\tnodesList={count}\n");
        for entry in entries {
            lines += &self.entry(entry);
        }
        lines
    }

    fn entry(&self, entry: &Endpoint) -> String {
        let state = match entry.state {
            EndpointState::Up => "up",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "removed",
        };
        let id = entry.id.0;
        let zone = entry.zone.map_or("", |zone| self.zones[zone.0 as usize].as_str());
        let machine_class =
            entry.machine_class.map_or("", |class| self.machine_classes[class.0 as usize].as_str());
        let cell = entry.cell.map_or(0, |cell| cell.0);
        let weight = entry.weight;
        let mut line = format!(
            "ITEM\tbackend=s-{id}\tfailureDomain={zone}\tshape={machine_class}\tcell={cell}\t\
             state={state}\trating={weight}"
        );
        if let Some(started_at) = entry.started_at {
            append(&mut line, format_args!("\tsince={started_at}"));
        }
        line.push('\n');
        line
    }

    fn request(
        &self, id: RequestId, class: ClassId, tenant: Option<TenantId>, key: Option<AffinityKey>,
        timeout: Millis,
    ) -> String {
        let proxy = self.proxy;
        let id = id.0;
        let class = &self.classes[class.0];
        let mut line = format!("ARRIVAL\ti={proxy}\trid=r-{id}\ttierClass={class}\ttimeBudget={timeout}");
        if let Some(tenant) = tenant {
            append(&mut line, format_args!("\tuserGroup={}", self.tenants[tenant.0]));
        }
        if let Some(key) = key {
            append(&mut line, format_args!("\tnameKey={}", key.0));
        }
        line.push('\n');
        line
    }
}

fn append(line: &mut String, field: std::fmt::Arguments<'_>) {
    let _ = line.write_fmt(field); // writing to a string can't fail
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "completed",
        Outcome::Error => "errored",
        Outcome::Rejected => "saturated",
        Outcome::TimedOut => "overdue",
        Outcome::ConnectFailed => "refused_conn",
        Outcome::Reset => "severed",
        Outcome::Cancelled => "recalled",
        Outcome::Withdrawn => "superseded",
    }
}
