//! The JSON schema of the handover file, and the conversion between its records and the learned state of the balancer.
//!
//! Processes of other versions read and write the same schema: keys, their order and the tuples must not change.

use std::collections::BTreeMap;

use leadrelay_core::{EndpointId, LearnedState, MachineClassState, MaintenanceReturn, Millis, WeightedMean};
use serde::{Deserialize, Serialize};

use crate::listed_endpoint::ListedEndpoint;

/// Version of the schema. A file of another version is ignored.
pub const VERSION: u32 = 1;

/// Name under which the file lists the state of endpoints without a machine class.
const NO_MACHINE_CLASS: &str = "";

/// The stage of the life of a process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Stage {
    /// The process is not ready to serve yet.
    Starting,
    /// The process accepts requests.
    Serving,
    /// The process finishes the requests that it has accepted.
    Stopping,
}

/// The entry of one of the processes that share the handover file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProcessRecord {
    pub pid: u32,
    pub stage: Stage,
}

/// The contents of the handover file, which two processes share. Endpoint ids are those of the balancer; times are Unix
/// times in milliseconds where nothing else is said.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SharedState {
    /// Version of the schema.
    pub version: u32,
    /// The processes of this proxy, in the order in which they started.
    pub processes: Vec<ProcessRecord>,
    /// Whether operators have drained the proxy.
    pub drained: bool,
    /// Ids of the endpoints in maintenance.
    #[serde(rename = "bans")]
    pub in_maintenance: Vec<u64>,
    /// Ids of the endpoints that have ever been on the endpoint list.
    #[serde(rename = "listed")]
    pub ever_listed: Vec<u64>,
    /// The endpoint list.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
    /// The learned state of the balancer.
    #[serde(rename = "speeds")]
    pub learned: LearnedRecord,
}

/// The learned state of the balancer, with request classes and machine classes by name.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LearnedRecord {
    /// Learned state of single endpoints.
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointRecord>,
    /// Mean latency of each request class, in milliseconds.
    pub classes: BTreeMap<String, MeanRecord>,
    /// Learned state of each machine class.
    #[serde(rename = "kinds")]
    pub machine_classes: BTreeMap<String, MachineClassRecord>,
    /// Endpoints back from maintenance, with Unix times in milliseconds, for versions that don't know
    /// `maintenance_return_ages`.
    #[serde(rename = "back")]
    pub maintenance_returns: Vec<MaintenanceReturnRecord>,
    /// Endpoints back from maintenance, with ages in milliseconds at the time of the write. Unlike Unix times, ages are
    /// not affected when the wall clock is set.
    #[serde(rename = "back_ages", default)]
    pub maintenance_return_ages: Vec<MaintenanceReturnRecord>,
}

/// A mean with the weight of its samples, written as a tuple.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct MeanRecord {
    pub value: f64,
    pub weight: f64,
}

/// The learned state of an endpoint, written as a tuple.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, MeanRecord)", into = "(u64, MeanRecord)")]
pub struct EndpointRecord {
    pub id: u64,
    /// Mean latency of the endpoint relative to the means of the request classes.
    pub relative_latency: MeanRecord,
}

/// The learned state of a machine class, written as a tuple.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(MeanRecord, f64, f64)", into = "(MeanRecord, f64, f64)")]
pub struct MachineClassRecord {
    /// Mean latency of the machine class relative to the means of the request classes.
    pub relative_latency: MeanRecord,
    /// The lowest recent mean latency, in milliseconds.
    pub baseline: f64,
    /// The fraction of the slots of its endpoints that the balancer uses.
    pub concurrency_factor: f64,
}

/// An endpoint that is back from maintenance, written as a tuple. Both times are Unix times or ages, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, f64, f64)", into = "(u64, f64, f64)")]
pub struct MaintenanceReturnRecord {
    pub id: u64,
    /// When the maintenance of the endpoint started.
    pub started: f64,
    /// When the maintenance of the endpoint ended.
    pub ended: f64,
}

/// Configuration and clock of this process, as conversions of the learned state need them.
pub struct ConversionContext<'a> {
    /// Names of the configured request classes, with their indices in the balancer.
    pub classes: Vec<(&'a str, usize)>,
    /// Names of the machine classes in the balancer's order, without that of endpoints that have none.
    pub machine_classes: &'a [String],
    /// The current time of the balancer's clock, in milliseconds.
    pub now: Millis,
    /// Unix time minus the time of the balancer's clock, in milliseconds.
    pub wall_clock_offset: Millis,
}

impl ConversionContext<'_> {
    /// Names of the machine classes in the balancer's order, preceded by that of endpoints without one.
    fn machine_class_names(&self) -> impl Iterator<Item = &str> {
        std::iter::once(NO_MACHINE_CLASS).chain(self.machine_classes.iter().map(String::as_str))
    }
}

impl LearnedRecord {
    /// Converts the learned state of the balancer into its record.
    pub fn from_learned(learned: LearnedState, context: &ConversionContext) -> Self {
        let classes = context.classes.iter().filter_map(|(name, index)| {
            let mean = learned.classes.get(*index)?;
            Some(((*name).to_owned(), MeanRecord::from(*mean)))
        });
        let machine_classes = context.machine_class_names().zip(&learned.machine_classes);
        // The baseline is infinite until it has been measured, and JSON has no infinity.
        let measured = machine_classes.filter(|(_, class)| class.baseline.is_finite());
        let returns = &learned.maintenance_returns;
        LearnedRecord {
            endpoints: learned.endpoints.iter().map(EndpointRecord::from).collect(),
            classes: classes.collect(),
            machine_classes: measured.map(|(name, class)| (name.to_owned(), class.into())).collect(),
            maintenance_returns: returns
                .iter()
                .map(|entry| MaintenanceReturnRecord {
                    id: entry.endpoint.0,
                    started: entry.out_at + context.wall_clock_offset,
                    ended: entry.back_at + context.wall_clock_offset,
                })
                .collect(),
            maintenance_return_ages: returns
                .iter()
                .map(|entry| MaintenanceReturnRecord {
                    id: entry.endpoint.0,
                    started: context.now - entry.out_at,
                    ended: context.now - entry.back_at,
                })
                .collect(),
        }
    }

    /// Converts the record into the learned state with which the balancer of a successor starts.
    pub fn to_learned(&self, context: &ConversionContext) -> LearnedState {
        let class = |name: &str| self.classes.get(name).copied().unwrap_or_default();
        let machine_class = |name: &str| self.machine_classes.get(name).copied().unwrap_or_default();
        LearnedState {
            endpoints: self
                .endpoints
                .iter()
                .map(|record| (EndpointId(record.id), record.relative_latency.into()))
                .collect(),
            classes: context.classes.iter().map(|(name, _)| class(name).into()).collect(),
            machine_classes: context.machine_class_names().map(|name| machine_class(name).into()).collect(),
            maintenance_returns: self.to_maintenance_returns(context),
        }
    }

    /// Converts the returns from maintenance to the balancer's clock, from their ages, or from their Unix times if an
    /// older version wrote the file without ages. With ages, the time since the file was written is not known reliably
    /// and counts as zero, so the endpoints are considered slightly less warmed up than they are.
    fn to_maintenance_returns(&self, context: &ConversionContext) -> Vec<MaintenanceReturn> {
        if self.maintenance_return_ages.is_empty() {
            let from_unix = |unix: f64| unix - context.wall_clock_offset;
            return self
                .maintenance_returns
                .iter()
                .map(|record| record.maintenance_return(from_unix))
                .collect();
        }
        let from_age = |age: f64| context.now - age;
        self.maintenance_return_ages.iter().map(|record| record.maintenance_return(from_age)).collect()
    }
}

impl MaintenanceReturnRecord {
    /// Converts the record; `to_time` converts its times to the balancer's clock.
    fn maintenance_return(&self, to_time: impl Fn(f64) -> Millis) -> MaintenanceReturn {
        MaintenanceReturn {
            endpoint: EndpointId(self.id),
            out_at: to_time(self.started),
            back_at: to_time(self.ended),
        }
    }
}

impl From<(f64, f64)> for MeanRecord {
    fn from((value, weight): (f64, f64)) -> Self {
        MeanRecord { value, weight }
    }
}

impl From<MeanRecord> for (f64, f64) {
    fn from(record: MeanRecord) -> Self {
        (record.value, record.weight)
    }
}

impl From<WeightedMean> for MeanRecord {
    fn from(mean: WeightedMean) -> Self {
        MeanRecord { value: mean.value, weight: mean.weight }
    }
}

impl From<MeanRecord> for WeightedMean {
    fn from(record: MeanRecord) -> Self {
        WeightedMean { value: record.value, weight: record.weight }
    }
}

impl From<(u64, MeanRecord)> for EndpointRecord {
    fn from((id, relative_latency): (u64, MeanRecord)) -> Self {
        EndpointRecord { id, relative_latency }
    }
}

impl From<EndpointRecord> for (u64, MeanRecord) {
    fn from(record: EndpointRecord) -> Self {
        (record.id, record.relative_latency)
    }
}

impl From<&(EndpointId, WeightedMean)> for EndpointRecord {
    fn from((id, relative_latency): &(EndpointId, WeightedMean)) -> Self {
        EndpointRecord { id: id.0, relative_latency: (*relative_latency).into() }
    }
}

impl From<(MeanRecord, f64, f64)> for MachineClassRecord {
    fn from((relative_latency, baseline, concurrency_factor): (MeanRecord, f64, f64)) -> Self {
        MachineClassRecord { relative_latency, baseline, concurrency_factor }
    }
}

impl From<MachineClassRecord> for (MeanRecord, f64, f64) {
    fn from(record: MachineClassRecord) -> Self {
        (record.relative_latency, record.baseline, record.concurrency_factor)
    }
}

impl From<&MachineClassState> for MachineClassRecord {
    fn from(state: &MachineClassState) -> Self {
        MachineClassRecord {
            relative_latency: state.relative_latency.into(),
            baseline: state.baseline,
            concurrency_factor: state.concurrency_factor,
        }
    }
}

impl From<MachineClassRecord> for MachineClassState {
    fn from(record: MachineClassRecord) -> Self {
        MachineClassState {
            relative_latency: record.relative_latency.into(),
            baseline: record.baseline,
            concurrency_factor: record.concurrency_factor,
        }
    }
}

impl From<(u64, f64, f64)> for MaintenanceReturnRecord {
    fn from((id, started, ended): (u64, f64, f64)) -> Self {
        MaintenanceReturnRecord { id, started, ended }
    }
}

impl From<MaintenanceReturnRecord> for (u64, f64, f64) {
    fn from(record: MaintenanceReturnRecord) -> Self {
        (record.id, record.started, record.ended)
    }
}
