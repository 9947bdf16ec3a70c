//! Labels of metrics, and the registration of metrics with one label whose values are known from the start.

use std::hash::Hash;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{self, Registry};

/// Upper bounds of the buckets for times, in seconds.
const TIME_BUCKETS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

/// A label value that is one of a few known from the start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StaticLabel(pub &'static str);

impl EncodeLabelValue for StaticLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder) -> Result<(), std::fmt::Error> {
        EncodeLabelValue::encode(&self.0, encoder)
    }
}

/// Labels of requests that have ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByCause {
    pub class: String,
    pub cause: StaticLabel,
}

/// The label of request times.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByClass {
    pub class: String,
}

/// Labels of violations.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByInvariant {
    pub invariant: StaticLabel,
    pub layer: StaticLabel,
}

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
    /// The label of attempts that have ended.
    ByOutcome { outcome }
    /// The label of listed endpoints.
    ByStatus { standing }
    /// The label of decisions.
    ByChoice { choice }
    /// The label of connections.
    BySide { side }
    /// The label of what happens for one of several reasons.
    ByReason { reason }
}

/// Registers a family with one metric for each value of its label, all of which are shown from the start.
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

/// Registers counters by reason.
pub fn register_by_reason<const N: usize>(
    registry: &mut Registry, name: &str, help: &str, reasons: [&'static str; N],
) -> [Counter; N] {
    register_by_label::<ByReason, Counter, N>(registry, name, help, reasons)
}

/// A histogram of times in seconds.
pub fn time_histogram() -> Histogram {
    Histogram::new(TIME_BUCKETS)
}
