//! Label sets of metrics, and the registration of metrics with one label whose values are known at compile time.

use std::hash::Hash;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{self, Registry};

/// Upper bounds of the buckets of time histograms, in seconds.
const TIME_BUCKETS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

/// A label value that is known at compile time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StaticLabel(pub &'static str);

impl EncodeLabelValue for StaticLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder) -> Result<(), std::fmt::Error> {
        EncodeLabelValue::encode(&self.0, encoder)
    }
}

/// Labels of the counters of requests that have ended: the request class and the cause of the end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByCause {
    pub class: String,
    pub cause: StaticLabel,
}

/// The label of the histograms of request durations: the request class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByClass {
    pub class: String,
}

/// Labels of the counters of violated invariants: the invariant and the layer that detected the violation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByInvariant {
    pub invariant: StaticLabel,
    pub layer: StaticLabel,
}

/// Defines label sets of one label each, whose values are known at compile time.
macro_rules! static_labels {
    ($(#[$doc:meta] $name:ident { $label:ident })*) => {
        $(
            #[$doc]
            #[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
            pub struct $name {
                $label: StaticLabel,
            }

            impl From<&'static str> for $name {
                fn from(value: &'static str) -> Self {
                    $name { $label: StaticLabel(value) }
                }
            }
        )*
    };
}

static_labels! {
    /// The label of the counters of attempts that have ended: the outcome.
    ByOutcome { outcome }
    /// The label of the gauges of listed endpoints: the endpoint status.
    ByStatus { standing }
    /// The label of the counters of dispatch decisions: the decision.
    ByDecision { choice }
    /// The label of the gauges of open connections: clients or backends.
    BySide { side }
    /// The label of counters by reason.
    ByReason { reason }
}

/// Registers a family with one metric for each value of its label. All of them are exported from the start.
pub fn register_by_label<Label, Metric, const N: usize>(
    registry: &mut Registry, name: &str, help: &str, values: [&'static str; N],
) -> [Metric; N]
where
    Label: Clone + Eq + Hash + From<&'static str>,
    Metric: Clone + Default,
    Family<Label, Metric>: registry::Metric,
{
    let family = Family::<Label, Metric>::default();
    registry.register(name, help, family.clone());
    values.map(|value| family.get_or_create_owned(&Label::from(value)))
}

/// Registers a family with one counter for each reason. All of them are exported from the start.
pub fn register_by_reason<const N: usize>(
    registry: &mut Registry, name: &str, help: &str, reasons: [&'static str; N],
) -> [Counter; N] {
    register_by_label::<ByReason, Counter, N>(registry, name, help, reasons)
}

/// Creates an empty histogram of times in seconds.
pub fn time_histogram() -> Histogram {
    Histogram::new(TIME_BUCKETS)
}
