//! The load-balancing decisions of a reverse proxy: which backend gets which request, and when.
//!
//! The crate performs no I/O. The proxy passes events to [`Balancer::handle`] and carries out the [`Action`]s that it
//! returns.
//!
//! ```
//! use leadrelay_core::threshold;
//!
//! // If all servers are equally fast, no request should wait for a busy one.
//! assert_eq!(threshold(4.0, 0.5, 1.0), 0);
//! // Two servers that are three times as fast and almost idle justify a queue.
//! assert!(threshold(2.0, 0.1, 3.0) >= 2);
//! ```

mod actions;
mod balancer;
mod decision;
mod discovery;
mod endpoint;
mod endpoint_status;
mod endpoints;
mod estimators;
mod events;
mod gossip;
mod hash;
mod ids;
mod invariant;
mod learned_state;
mod limits;
mod machine_class;
pub mod names;
mod operator_overrides;
mod outcomes;
mod outlier_detector;
mod outlier_record;
mod reconfigure;
mod requests;
mod schedule;
pub mod settings;
mod slow_start;
mod threshold;
mod weighted_mean;

pub use actions::{Action, CancelReason, RejectionReason};
pub use balancer::{Balancer, Gauges};
pub use decision::{ThresholdDecision, ThresholdDecisionCounts};
pub use endpoint::{Endpoint, EndpointState, ListScope};
pub use endpoint_status::EndpointStatus;
pub use events::{CallEnd, DiscoveryEvent, Event, Reconfiguration, TimeoutAnnouncement, UploadStage};
pub use ids::{
    AffinityKey, CallId, CellId, ClassId, EndpointId, MachineClassId, Millis, RequestId, TenantId, ZoneId,
};
pub use invariant::{Invariant, Violations};
pub use learned_state::{LearnedState, MachineClassState, MaintenanceReturn};
pub use outcomes::Outcome;
pub use settings::{
    DeduplicationScope, DiscoveryMode, Idempotency, Limits, NotificationBounds, Prices, RequestClass,
    Settings, Tenant, WeightMeaning,
};
pub use threshold::threshold;
pub use weighted_mean::WeightedMean;
