//! Weighted max-min fair allocation.

/// What another holder asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Weight of the holder.
    pub weight: f64,
    /// Work that it was served and work that it still asks for, in ms.
    pub demand_ms: f64,
}

/// The part of `capacity_ms` that a holder of weight `own_weight` with unlimited demand may use. Others get
/// what they ask for, up to their fair share; what they don't ask for is divided among the rest by weight.
///
/// Source: progressive filling, Bertsekas and Gallager, Data Networks, section 6.5.2.
pub fn fair_allocation_ms(capacity_ms: f64, own_weight: f64, others: &mut [Demand]) -> f64 {
    let per_weight = |other: &Demand| other.demand_ms / other.weight;
    others.sort_by(|a, b| per_weight(a).total_cmp(&per_weight(b)));
    let mut left_ms = capacity_ms;
    let mut weights = own_weight + others.iter().map(|other| other.weight).sum::<f64>();
    for other in others.iter() {
        let fair_ms = left_ms / weights * other.weight;
        if other.demand_ms > fair_ms {
            break;
        }
        left_ms -= other.demand_ms;
        weights -= other.weight;
    }
    left_ms / weights * own_weight
}
