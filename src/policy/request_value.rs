//! A request's value and cost relative to the usual request, by its class and its tenant's rate limit.

use super::constants::SMOOTHING;
use crate::interface::*;
use crate::state::Balancer;
use std::time::Duration;

impl Balancer {
    /// The request's value relative to the mean. To account for the worst-served class in the goal, an equal
    /// amount is added for all classes.
    pub(super) fn relative_value(&mut self, value: f64, tenant: usize) -> f64 {
        let rate = |tenant: &Tenant| tenant.rate_limit_per_s / f64::from(self.node_count());
        let (rate, now) = (self.settings.tenants.get(tenant).map_or(0.0, rate), self.now);
        let over_share = self.tenant_buckets.get_mut(tenant).is_some_and(|bucket| !bucket.take(now, rate));
        let factor = if over_share { self.settings.over_share_value } else { 1.0 };
        let (goal, value) = (&self.settings.goal, value * factor);
        self.mean_value += (value - self.mean_value) * SMOOTHING / 8.0;
        let common = self.mean_value * goal.worst_class / goal.overall.max(SMOOTHING);
        ((value + common) / (self.mean_value + common).max(1e-9)).clamp(0.0, 1e3)
    }

    /// The request's expected work relative to the mean; 1 where it is not known.
    pub(super) fn relative_cost(&mut self, cost: Option<Duration>) -> f64 {
        let Some(cost) = cost.map(|c| c.as_secs_f64()).filter(|c| *c > 0.0) else { return 1.0 };
        self.mean_cost += (cost - self.mean_cost) * if self.mean_cost == 0.0 { 1.0 } else { SMOOTHING / 8.0 };
        cost / self.mean_cost
    }
}
