//! Groups endpoints into tiers of similar speed, so that the fastest open endpoint is found without scanning them all.

use super::{EndpointIndex, EndpointTable};

/// Number of tiers.
const TIERS: usize = 48;
/// The ratio of the highest to the lowest cost within a tier. Smaller differences are noise; within a tier the choice
/// is random.
const TIER_RATIO: f64 = 1.2;
/// A sum of slots below this is a rounding error and counts as 0.
const ROUNDING_ERROR: f64 = 1e-6;

/// The position of a tier, counted from the fastest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TierIndex(usize);

impl TierIndex {
    /// The tier that is slower by this number of tiers; the slowest tier at most.
    pub fn slower_by(self, tiers: usize) -> Self {
        TierIndex((self.0 + tiers).min(TIERS - 1))
    }
}

/// The place of an endpoint in the speed tiers.
#[derive(Default)]
pub(crate) struct TierMembership {
    /// The tier whose `slots` include the endpoint's.
    slot_tier: TierIndex,
    /// This proxy's own slots on the endpoint, as counted in `slot_tier`.
    slots: f64,
    /// The place of the endpoint among the open endpoints; `None` if it is not open.
    open_position: Option<OpenPosition>,
}

impl TierMembership {
    /// Whether the endpoint is listed as open.
    pub fn is_open(&self) -> bool {
        self.open_position.is_some()
    }

    /// This proxy's own slots on the endpoint, if they are counted in this tier.
    pub fn slots_in(&self, tier: TierIndex) -> Option<f64> {
        (self.slot_tier == tier).then_some(self.slots)
    }
}

/// A position in the list of open endpoints of a tier.
#[derive(Clone, Copy)]
struct OpenPosition {
    tier: TierIndex,
    position: usize,
}

/// Endpoints of similar speed.
#[derive(Default)]
pub(crate) struct SpeedTier {
    /// Speed relative to the mean of all endpoints.
    pub speed: f64,
    /// Endpoints to which a request may be sent.
    pub open: Vec<EndpointIndex>,
    /// This proxy's own slots on all usable endpoints of the tier.
    pub slots: f64,
}

/// All endpoints, grouped by speed.
pub(crate) struct SpeedTiers {
    tiers: Vec<SpeedTier>,
    /// Number of tiers by which a cost shifts when its natural logarithm grows by 1.
    tiers_per_ln: f64,
}

impl SpeedTiers {
    pub fn new() -> Self {
        let middle = TIERS as f64 / 2.0;
        let speed = |tier: usize| TIER_RATIO.powf(middle - tier as f64);
        let tiers = (0..TIERS).map(|tier| SpeedTier { speed: speed(tier), ..SpeedTier::default() }).collect();
        SpeedTiers { tiers, tiers_per_ln: 1.0 / TIER_RATIO.ln() }
    }

    /// The tiers with their positions, fastest first.
    pub fn iter(&self) -> impl Iterator<Item = (TierIndex, &SpeedTier)> {
        self.tiers.iter().enumerate().map(|(position, tier)| (TierIndex(position), tier))
    }

    /// The tier that a relative cost falls into.
    pub fn tier_of(&self, cost: f64) -> TierIndex {
        let position = cost.max(1e-9).ln() * self.tiers_per_ln + self.tiers.len() as f64 / 2.0 + 0.5;
        TierIndex(position.clamp(0.0, self.tiers.len() as f64 - 1.0) as usize)
    }

    /// The throughput of this proxy's own slots: requests served per mean latency.
    pub fn own_throughput(&self) -> f64 {
        self.tiers.iter().map(|tier| tier.slots * tier.speed).sum::<f64>()
    }

    /// Updates the place of an endpoint: this proxy's slots on it count in `slot_tier`, and it is listed as open in
    /// `open_tier`, if any.
    pub fn place(
        &mut self, endpoints: &mut EndpointTable, endpoint: EndpointIndex, slot_tier: TierIndex, slots: f64,
        open_tier: Option<TierIndex>,
    ) {
        self.move_slots(&mut endpoints[endpoint].membership, slot_tier, slots);
        let open_position = endpoints[endpoint].membership.open_position;
        if open_position.map(|position| position.tier) == open_tier {
            return;
        }
        if let Some(position) = open_position {
            self.remove_open(endpoints, endpoint, position);
        }
        if let Some(tier) = open_tier {
            self.add_open(endpoints, endpoint, tier);
        }
    }

    fn move_slots(&mut self, membership: &mut TierMembership, slot_tier: TierIndex, slots: f64) {
        let previous_slots = &mut self.tiers[membership.slot_tier.0].slots;
        *previous_slots -= membership.slots;
        if *previous_slots < ROUNDING_ERROR {
            *previous_slots = 0.0;
        }
        self.tiers[slot_tier.0].slots += slots;
        membership.slot_tier = slot_tier;
        membership.slots = slots;
    }

    fn remove_open(&mut self, endpoints: &mut EndpointTable, endpoint: EndpointIndex, from: OpenPosition) {
        endpoints[endpoint].membership.open_position = None;
        let open = &mut self.tiers[from.tier.0].open;
        open.swap_remove(from.position);
        if let Some(&moved) = open.get(from.position) {
            endpoints[moved].membership.open_position = Some(from);
        }
    }

    fn add_open(&mut self, endpoints: &mut EndpointTable, endpoint: EndpointIndex, tier: TierIndex) {
        let open = &mut self.tiers[tier.0].open;
        endpoints[endpoint].membership.open_position = Some(OpenPosition { tier, position: open.len() });
        open.push(endpoint);
    }
}
