//! How many nodes share the work, and the rank of this one among them: by the fleet view or, without one, by
//! the settings.

use crate::state::Balancer;

impl Balancer {
    /// The number of nodes among which shared budgets are divided. Nodes that don't agree on which nodes are
    /// alive count all that could be: then their parts never add up to more than the whole, whichever of
    /// their views is right.
    pub(super) fn node_count(&self) -> u32 {
        let configured = self.settings.nodes.max(1);
        match self.fleet_view {
            None => configured,
            Some(view) if view.agreed => view.live.max(1),
            Some(view) => view.could_be_alive.max(configured),
        }
    }

    /// This node's rank on the ring, and the number of nodes. Without agreement each keeps its configured
    /// rank.
    pub(super) fn ring_place(&self) -> (usize, usize) {
        let configured = (self.settings.node as usize, self.settings.nodes.max(1) as usize);
        let agreed = self.fleet_view.filter(|view| view.agreed && view.rank < view.live);
        agreed.map_or(configured, |view| (view.rank as usize, view.live as usize))
    }
}

#[cfg(test)]
mod tests {
    use crate::interface::*;
    use crate::state::Balancer;
    use std::time::Duration;

    /// Nodes that disagree must not divide by too few, or their parts would add up to more than the whole. So
    /// each counts all that could be alive, and no fewer than are configured.
    #[test]
    fn node_count_and_place_follow_the_live_nodes_only_under_agreement() {
        let with = |view: Option<FleetView>| {
            let mut balancer = Balancer::new(Settings { nodes: 10, node: 7, ..Settings::default() }, 1);
            let mut actions = Vec::new();
            view.into_iter().for_each(|view| {
                balancer.handle(Duration::from_secs(1), Event::FleetView(view), &mut actions)
            });
            assert_eq!(actions, []);
            (balancer.node_count(), balancer.ring_place())
        };
        let view =
            |live, rank, agreed, could_be_alive| Some(FleetView { live, rank, agreed, could_be_alive });
        assert_eq!(with(None), (10, (7, 10)));
        assert_eq!(with(view(5, 2, true, 5)), (5, (2, 5)));
        assert_eq!(with(view(5, 2, false, 5)), (10, (7, 10)));
        assert_eq!(with(view(12, 2, false, 20)), (20, (7, 10)));
        // An impossible view is harmless.
        assert_eq!(with(view(0, 0, true, 0)), (1, (7, 10)));
        assert_eq!(with(view(5, 5, true, 5)), (5, (7, 10)));
    }
}
