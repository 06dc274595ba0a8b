//! Checks whether the rates of all zone sets fit into the capacity of the zones together. A zone set is a set of zones
//! whose hosts may serve a claim. The check is a maximum flow from zone sets to zones, found by augmenting along shortest
//! paths (Edmonds and Karp, 1972), one zone set after another. An amount that is routed stays routed, but may move to
//! other zones.

use amberarch_core::Zones;

/// Relative tolerance, as a fraction of the capacity, within which a set of zones counts as full.
pub(crate) const RELATIVE_TOLERANCE: f64 = 1e-7;

/// Flow from zone sets to zones. Both are few, so a full matrix is the simplest representation.
pub(crate) struct CapacityFlow<'a> {
    reach: &'a [Zones],
    capacity: Vec<f64>,
    free: Vec<f64>,
    /// By zone set, then zone.
    flow: Vec<f64>,
    /// Amounts up to this count as rounding errors.
    pub tolerance: f64,
}

/// Why an amount does not fit: these zone sets together reach only zones that are all full.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Cut {
    pub missing: f64,
    pub zone_sets: Vec<usize>,
    /// Capacity of those zones.
    pub capacity: f64,
}

fn zone_indices(zones: Zones, count: usize) -> impl Iterator<Item = usize> {
    let mut rest = if count >= 128 { zones.0 } else { zones.0 & ((1u128 << count) - 1) };
    std::iter::from_fn(move || {
        let at = rest.trailing_zeros() as usize;
        (rest != 0).then(|| {
            rest &= rest - 1;
            at
        })
    })
}

impl<'a> CapacityFlow<'a> {
    pub fn new(reach: &'a [Zones], capacity: &[f64]) -> CapacityFlow<'a> {
        let tolerance = 1e-12 * capacity.iter().sum::<f64>().max(1.0);
        let flow = vec![0.0; reach.len() * capacity.len()];
        CapacityFlow { reach, capacity: capacity.to_vec(), free: capacity.to_vec(), flow, tolerance }
    }

    /// Routes `amount` more for the zone set. If not all of it fits, the error has the rest and the saturated cut.
    pub fn route(&mut self, zone_set: usize, mut amount: f64) -> Result<(), Cut> {
        let zones = self.capacity.len();
        loop {
            if amount <= self.tolerance {
                return Ok(());
            }
            // Search tree: by zone the zone set that it was reached from, and by zone set the zone.
            let mut from_zone_set = vec![usize::MAX; zones];
            let mut from_zone = vec![usize::MAX; self.reach.len()];
            let mut seen = vec![false; self.reach.len()];
            let (mut queue, mut at, mut end) = (vec![zone_set], 0, None);
            seen[zone_set] = true;
            'search: while at < queue.len() {
                let here = queue[at];
                at += 1;
                for zone in zone_indices(self.reach[here], zones) {
                    if from_zone_set[zone] != usize::MAX {
                        continue;
                    }
                    from_zone_set[zone] = here;
                    if self.free[zone] > 0.0 {
                        end = Some(zone);
                        break 'search;
                    }
                    for (other, seen) in seen.iter_mut().enumerate().filter(|(_, seen)| !**seen) {
                        if self.flow[other * zones + zone] > 0.0 {
                            *seen = true;
                            from_zone[other] = zone;
                            queue.push(other);
                        }
                    }
                }
            }
            let Some(end) = end else {
                let capacity = (0..zones).filter(|zone| from_zone_set[*zone] != usize::MAX);
                let capacity = capacity.map(|zone| self.capacity[zone]).sum();
                return Err(Cut { missing: amount, zone_sets: queue, capacity });
            };
            let mut step = amount.min(self.free[end]);
            let mut zone = end;
            while from_zone_set[zone] != zone_set {
                let here = from_zone_set[zone];
                zone = from_zone[here];
                step = step.min(self.flow[here * zones + zone]);
            }
            self.free[end] -= step;
            amount -= step;
            let mut zone = end;
            loop {
                let here = from_zone_set[zone];
                self.flow[here * zones + zone] += step;
                if here == zone_set {
                    break;
                }
                zone = from_zone[here];
                self.flow[here * zones + zone] -= step;
            }
        }
    }

    /// Routes all amounts, by zone set; the first that does not fit is the error.
    pub fn route_all(&mut self, amounts: &[f64]) -> Result<(), Cut> {
        (0..amounts.len()).try_for_each(|zone_set| self.route(zone_set, amounts[zone_set]))
    }
}

/// By zone set, the fraction of `rise` that fits in addition to `from`, which fits itself. All fractions are raised
/// equally; a zone set stops when all of its zones are full. The second value tells whether it stopped.
pub(crate) fn raise_evenly(
    reach: &[Zones],
    capacity: &[f64],
    from: &[f64],
    rise: &[f64],
) -> Vec<(f64, bool)> {
    let mut reached = vec![f64::NAN; rise.len()];
    loop {
        let mut fraction: f64 = 1.0;
        let mut last_cut: Option<Cut> = None;
        for _ in 0..=4 * rise.len() {
            let fraction_of =
                |zone_set: usize| if reached[zone_set].is_nan() { fraction } else { reached[zone_set] };
            let amounts: Vec<f64> = (0..rise.len())
                .map(|zone_set| from[zone_set] + fraction_of(zone_set) * rise[zone_set])
                .collect();
            let Err(cut) = CapacityFlow::new(reach, capacity).route_all(&amounts) else { break };
            let is_rising = |zone_set: &&usize| reached[**zone_set].is_nan();
            let fixed =
                |zone_set: &usize| if is_rising(&zone_set) { from[*zone_set] } else { amounts[*zone_set] };
            let fixed: f64 = cut.zone_sets.iter().map(fixed).sum();
            let rest: f64 = cut.zone_sets.iter().filter(is_rising).map(|zone_set| rise[*zone_set]).sum();
            if rest <= 0.0 {
                break;
            }
            fraction = fraction.min((1.0 - RELATIVE_TOLERANCE) * (cut.capacity - fixed).max(0.0) / rest);
            last_cut = Some(cut);
        }
        let Some(cut) = last_cut else { break };
        let stopped: Vec<usize> =
            cut.zone_sets.into_iter().filter(|zone_set| reached[*zone_set].is_nan()).collect();
        stopped.into_iter().for_each(|zone_set| reached[zone_set] = fraction);
    }
    reached.into_iter().map(|reached| if reached.is_nan() { (1.0, false) } else { (reached, true) }).collect()
}
