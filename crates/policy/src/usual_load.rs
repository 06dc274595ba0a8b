//! What the fleet usually serves: the measure for what its hosts are known to do.

use super::*;

/// The fraction of the largest listed weight that is still remembered a second later.
const WEIGHT_MEMORY_PER_S: f64 = 0.99;
/// The demand counts as usual while this fraction of the listed weight is warm.
const USUAL_WARM_FRACTION: f64 = 0.9;

/// The demand and the weight of the fleet from before hosts were replaced. The demand is kept relative to the rates that
/// proxies state when they join, so that it follows proxies that join or leave meanwhile.
#[derive(Default)]
pub struct UsualLoad {
    /// Txns per second that arrive at the joined proxies.
    demand: f64,
    /// The same per listed weight of the zones that have proxies.
    rate: f64,
    /// The usual demand per stated rate; none: the fleet was never seen in its usual state.
    demand_per_stated_rate: Option<f64>,
    /// The largest listed weight of each zone of late.
    weights: BTreeMap<ZoneId, f64>,
    updated_at: f64,
}

impl UsualLoad {
    /// Txns per second that arrive at the joined proxies.
    pub fn demand(&self) -> f64 {
        self.demand
    }

    /// Txns per second and weight.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn update_weights(&mut self, now: f64, listed: BTreeMap<ZoneId, f64>) {
        let elapsed_s = (now - self.updated_at).max(0.0) / 1_000.0;
        self.updated_at = now;
        let remembered = WEIGHT_MEMORY_PER_S.powf(elapsed_s);
        self.weights.values_mut().for_each(|weight| *weight *= remembered);
        for (zone, weight) in listed {
            let largest = self.weights.entry(zone).or_insert(0.0);
            *largest = largest.max(weight);
        }
    }

    fn update_demand(&mut self, present: &BTreeMap<ZoneId, f64>, stated_rate: f64, is_usual: bool) {
        let present_per_stated_rate = present.values().sum::<f64>() / stated_rate.max(1e-9);
        if is_usual && stated_rate > 0.0 {
            self.demand_per_stated_rate = Some(present_per_stated_rate);
        }
        self.demand = self.demand_per_stated_rate.unwrap_or(present_per_stated_rate) * stated_rate;
        let has_demand = |zone: &ZoneId| present.get(zone).is_some_and(|demand| *demand > 0.0);
        let weights = self.weights.iter().filter(|(zone, _)| has_demand(zone));
        self.rate = self.demand / weights.map(|(_, weight)| weight).sum::<f64>().max(1e-9);
    }
}

impl Controller {
    /// Updates what the fleet usually serves: the demand while nearly all hosts are warm and they are not overloaded.
    pub(crate) fn update_usual_load(&mut self, now: f64, view: &FleetView) {
        let (mut listed, mut warm) = (BTreeMap::new(), 0.0);
        for host in self.hosts.values().filter(|host| host.standing != Availability::Removed) {
            *listed.entry(host.zone).or_insert(0.0) += host.weight;
            if host.is_warm(now, &self.warmup) {
                warm += host.weight;
            }
        }
        let is_usual = !self.overloaded && warm >= USUAL_WARM_FRACTION * listed.values().sum::<f64>();
        let demand = |class_demands: &Vec<ClassDemand>| class_demands.iter().map(|class| class.total).sum();
        let present: BTreeMap<ZoneId, f64> =
            view.class_demands.iter().map(|(zone, class_demands)| (*zone, demand(class_demands))).collect();
        let stated_rate = self.proxies.values().map(|proxy| proxy.demand.stated_rate).sum();
        self.usual_load.update_weights(now, listed);
        self.usual_load.update_demand(&present, stated_rate, is_usual);
    }
}
