//! The network between clients, proxies and backends.

use leadrelay_core::Millis;

use crate::index::ZoneIndex;
use crate::random::RandomStream;
use crate::workload::{MeanLatencies, Workload};

/// The state of the network: latencies, loss of datagrams and a partition.
pub(super) struct Network {
    latencies: MeanLatencies,
    /// Coefficient of variation of a one-way latency.
    jitter: f64,
    gossip_loss: f64,
    /// The zone that is currently partitioned from the others.
    partitioned: Option<ZoneIndex>,
    random: RandomStream,
}

impl Network {
    pub(super) fn new(workload: &Workload) -> Self {
        Network {
            latencies: workload.latencies,
            jitter: workload.scenario.network.jitter,
            gossip_loss: workload.scenario.network.gossip_loss,
            partitioned: None,
            random: RandomStream::new(workload.seed, "ways"),
        }
    }

    /// Samples a one-way latency between a client and its proxy.
    pub(super) fn client_latency(&mut self) -> Millis {
        self.latency(self.latencies.client)
    }

    /// Samples the latency of a datagram between proxies.
    pub(super) fn gossip_latency(&mut self) -> Millis {
        self.latency(self.latencies.gossip)
    }

    /// Samples a one-way latency between a proxy and a backend.
    pub(super) fn zone_latency(&mut self, one: ZoneIndex, other: ZoneIndex) -> Millis {
        let mean = if one == other { self.latencies.same_zone } else { self.latencies.cross_zone };
        self.latency(mean)
    }

    fn latency(&mut self, mean: Millis) -> Millis {
        mean * self.random.lognormal(self.jitter)
    }

    /// Samples whether a datagram is lost on its way to one receiver.
    pub(super) fn loses_datagram(&mut self) -> bool {
        self.random.chance(self.gossip_loss)
    }

    /// Partitions a zone from the others.
    pub(super) fn partition(&mut self, zone: ZoneIndex) {
        self.partitioned = Some(zone);
    }

    /// Ends the partition.
    pub(super) fn end_partition(&mut self) {
        self.partitioned = None;
    }

    /// Whether a partition separates two zones.
    pub(super) fn is_partitioned(&self, one: ZoneIndex, other: ZoneIndex) -> bool {
        one != other && self.partitioned.is_some_and(|zone| zone == one || zone == other)
    }
}
