//! Endpoints in tiers of like speed, so that the fastest open one is found without a scan.

use super::{EndpointIndex, EndpointTable};

/// How many tiers there are.
const TIERS: usize = 48;
/// Costs within this ratio are in one tier: finer differences are noise, and ties are broken at random.
const TIER_RATIO: f64 = 1.2;
/// Slots below this are residue of rounding.
const SLOT_RESIDUE: f64 = 1e-6;

/// The position of a tier, fastest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TierIndex(usize);

impl TierIndex {
    /// The tier that many places slower.
    pub fn slower_by(self, tiers: usize) -> Self {
        TierIndex((self.0 + tiers).min(TIERS - 1))
    }
}

/// Where an endpoint is filed.
#[derive(Default)]
pub(crate) struct TierMembership {
    slot_tier: TierIndex,
    slots: f64,
    open_at: Option<OpenPosition>,
}

impl TierMembership {
    /// Whether the endpoint is filed as open.
    pub fn is_open(&self) -> bool {
        self.open_at.is_some()
    }

    /// The own slots that are filed in a tier for this endpoint.
    pub fn slots_in(&self, tier: TierIndex) -> Option<f64> {
        (self.slot_tier == tier).then_some(self.slots)
    }
}

#[derive(Clone, Copy)]
struct OpenPosition {
    tier: TierIndex,
    position: usize,
}

/// Endpoints of like speed.
#[derive(Default)]
pub(crate) struct SpeedTier {
    /// Speed relative to the fleet's mean.
    pub speed: f64,
    /// Endpoints that may be sent a request.
    pub open: Vec<EndpointIndex>,
    /// This proxy's own slots on all usable endpoints of the tier.
    pub slots: f64,
}

/// All endpoints by speed.
pub(crate) struct SpeedTiers {
    tiers: Vec<SpeedTier>,
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

    /// The tier of a relative cost.
    pub fn tier_of(&self, cost: f64) -> TierIndex {
        let position = cost.max(1e-9).ln() * self.tiers_per_ln + self.tiers.len() as f64 / 2.0 + 0.5;
        TierIndex(position.clamp(0.0, self.tiers.len() as f64 - 1.0) as usize)
    }

    /// What this proxy's own slots serve at once, in requests of mean latency.
    pub fn own_throughput(&self) -> f64 {
        self.tiers.iter().map(|tier| tier.slots * tier.speed).sum::<f64>()
    }

    /// Files an endpoint: its own slots under `slot_tier`, itself under `open_tier` if it is open.
    pub fn file(
        &mut self, endpoints: &mut EndpointTable, endpoint: EndpointIndex, slot_tier: TierIndex, slots: f64,
        open_tier: Option<TierIndex>,
    ) {
        self.file_slots(&mut endpoints[endpoint].membership, slot_tier, slots);
        let open_at = endpoints[endpoint].membership.open_at;
        if open_at.map(|at| at.tier) == open_tier {
            return;
        }
        if let Some(at) = open_at {
            self.remove_open(endpoints, endpoint, at);
        }
        if let Some(tier) = open_tier {
            self.add_open(endpoints, endpoint, tier);
        }
    }

    fn file_slots(&mut self, membership: &mut TierMembership, slot_tier: TierIndex, slots: f64) {
        let former = &mut self.tiers[membership.slot_tier.0].slots;
        *former -= membership.slots;
        if *former < SLOT_RESIDUE {
            *former = 0.0;
        }
        self.tiers[slot_tier.0].slots += slots;
        membership.slot_tier = slot_tier;
        membership.slots = slots;
    }

    fn remove_open(&mut self, endpoints: &mut EndpointTable, endpoint: EndpointIndex, at: OpenPosition) {
        endpoints[endpoint].membership.open_at = None;
        let open = &mut self.tiers[at.tier.0].open;
        open.swap_remove(at.position);
        if let Some(&moved) = open.get(at.position) {
            endpoints[moved].membership.open_at = Some(at);
        }
    }

    fn add_open(&mut self, endpoints: &mut EndpointTable, endpoint: EndpointIndex, tier: TierIndex) {
        let open = &mut self.tiers[tier.0].open;
        endpoints[endpoint].membership.open_at = Some(OpenPosition { tier, position: open.len() });
        open.push(endpoint);
    }
}
