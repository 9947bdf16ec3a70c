//! The form of the handover file, and the conversion between what it holds and what the balancer has learned.
//!
//! Processes of other versions read and write this form: keys, their order and the tuples must not change.

use std::collections::BTreeMap;

use leadrelay_core::{EndpointId, LearnedState, MachineClassState, MaintenanceReturn, Millis, WeightedMean};
use serde::{Deserialize, Serialize};

use crate::listed_endpoint::ListedEndpoint;

/// Version of the file's form. A file of another version is ignored.
pub const VERSION: u32 = 1;

/// Name of the machine class of endpoints that have none.
const NO_MACHINE_CLASS: &str = "";

/// How far a process is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Stage {
    /// It can't serve yet.
    Starting,
    /// It accepts requests.
    Serving,
    /// It finishes the requests that it has accepted.
    Stopping,
}

/// One of the processes that share the file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProcessRecord {
    pub pid: u32,
    pub stage: Stage,
}

/// What two processes share by the file. Ids are those of the balancer; times are Unix times in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SharedState {
    pub version: u32,
    /// In the order of their starts.
    pub processes: Vec<ProcessRecord>,
    /// Whether operators have drained the proxy.
    pub drained: bool,
    /// Endpoints in maintenance.
    #[serde(rename = "bans")]
    pub in_maintenance: Vec<u64>,
    /// Endpoints that have ever been listed.
    #[serde(rename = "listed")]
    pub ever_listed: Vec<u64>,
    /// The endpoint list.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
    #[serde(rename = "speeds")]
    pub learned: LearnedRecord,
}

/// What the balancer has learned, with request classes and machine classes by their names.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LearnedRecord {
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointRecord>,
    pub classes: BTreeMap<String, MeanRecord>,
    #[serde(rename = "kinds")]
    pub machine_classes: BTreeMap<String, MachineClassRecord>,
    /// Returns from maintenance in Unix time, for processes of versions that don't know `maintenance_return_ages`.
    #[serde(rename = "back")]
    pub maintenance_returns: Vec<MaintenanceReturnRecord>,
    /// The same in milliseconds before this was written, which no step of the wall clock changes.
    #[serde(rename = "back_ages", default)]
    pub maintenance_return_ages: Vec<MaintenanceReturnRecord>,
}

/// A mean and its weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct MeanRecord {
    pub value: f64,
    pub weight: f64,
}

/// What is known of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, MeanRecord)", into = "(u64, MeanRecord)")]
pub struct EndpointRecord {
    pub id: u64,
    pub relative_latency: MeanRecord,
}

/// What is known of a machine class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(MeanRecord, f64, f64)", into = "(MeanRecord, f64, f64)")]
pub struct MachineClassRecord {
    pub relative_latency: MeanRecord,
    pub baseline: f64,
    pub concurrency_factor: f64,
}

/// An endpoint that is back from maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, f64, f64)", into = "(u64, f64, f64)")]
pub struct MaintenanceReturnRecord {
    pub id: u64,
    /// When its maintenance started.
    pub out: f64,
    /// When it came back.
    pub back: f64,
}

/// What conversions need to know of this process.
pub struct ConversionContext<'a> {
    /// Names of the request classes on offer, with their indices in the balancer.
    pub classes: Vec<(&'a str, usize)>,
    pub machine_classes: &'a [String],
    /// The balancer's time.
    pub now: Millis,
    /// How far the wall clock is ahead of the balancer's time.
    pub wall_clock_offset: Millis,
}

impl ConversionContext<'_> {
    /// Names of the machine classes in the balancer's order.
    fn machine_class_names(&self) -> impl Iterator<Item = &str> {
        std::iter::once(NO_MACHINE_CLASS).chain(self.machine_classes.iter().map(String::as_str))
    }
}

impl LearnedRecord {
    /// The record of what the balancer has learned.
    pub fn from_learned(learned: LearnedState, context: &ConversionContext) -> Self {
        let classes = context.classes.iter().filter_map(|(name, index)| {
            let mean = learned.classes.get(*index)?;
            Some(((*name).to_owned(), MeanRecord::from(*mean)))
        });
        let machine_classes = context.machine_class_names().zip(&learned.machine_classes);
        // A baseline that has not been measured is infinite, which JSON can't express.
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
                    out: entry.out_at + context.wall_clock_offset,
                    back: entry.back_at + context.wall_clock_offset,
                })
                .collect(),
            maintenance_return_ages: returns
                .iter()
                .map(|entry| MaintenanceReturnRecord {
                    id: entry.endpoint.0,
                    out: context.now - entry.out_at,
                    back: context.now - entry.back_at,
                })
                .collect(),
        }
    }

    /// What a balancer starts with that takes over from the process that wrote this.
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

    /// Endpoints back from maintenance. The time since the file was written is not known for sure and counts as none:
    /// they are taken to be slightly less warmed up than they are.
    fn to_maintenance_returns(&self, context: &ConversionContext) -> Vec<MaintenanceReturn> {
        if self.maintenance_return_ages.is_empty() {
            let from_unix = |unix: f64| unix - context.wall_clock_offset;
            return self.maintenance_returns.iter().map(|record| record.convert(from_unix)).collect();
        }
        let from_age = |age: f64| context.now - age;
        self.maintenance_return_ages.iter().map(|record| record.convert(from_age)).collect()
    }
}

impl MaintenanceReturnRecord {
    fn convert(&self, to_time: impl Fn(f64) -> Millis) -> MaintenanceReturn {
        MaintenanceReturn {
            endpoint: EndpointId(self.id),
            out_at: to_time(self.out),
            back_at: to_time(self.back),
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
    fn from((id, out, back): (u64, f64, f64)) -> Self {
        MaintenanceReturnRecord { id, out, back }
    }
}

impl From<MaintenanceReturnRecord> for (u64, f64, f64) {
    fn from(record: MaintenanceReturnRecord) -> Self {
        (record.id, record.out, record.back)
    }
}
