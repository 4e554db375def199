//! The tier: how many nodes share the work, and which of them this one is. By the settings, or by what the
//! nodes know of one another.

use crate::state::Balancer;

impl Balancer {
    /// By how many nodes what all may use is divided. Where they don't agree on who lives, as many as could:
    /// then all parts together are never more than the whole, whoever is right.
    pub(super) fn nodes(&self) -> u32 {
        let configured = self.settings.nodes.max(1);
        match self.tier {
            None => configured,
            Some(tier) if tier.agreed => tier.live.max(1),
            Some(tier) => tier.could_be_alive.max(configured),
        }
    }

    /// This node's place on the ring, and among how many. A place by rank is good only where all reckon
    /// alike: else each keeps its configured one.
    pub(super) fn place(&self) -> (usize, usize) {
        let configured = (self.settings.node as usize, self.settings.nodes.max(1) as usize);
        let agreed = self.tier.filter(|tier| tier.agreed && tier.rank < tier.live);
        agreed.map_or(configured, |tier| (tier.rank as usize, tier.live as usize))
    }
}

#[cfg(test)]
mod tests {
    use crate::interface::*;
    use crate::state::Balancer;
    use std::time::Duration;

    /// Parts follow the live nodes only where these agree; else they are of as many as could live, and no
    /// fewer than are configured: so that all parts together are never more than the whole, whoever is right.
    #[test]
    fn parts_follow_the_live_tier_only_where_it_is_agreed_on() {
        let with = |tier: Option<FleetView>| {
            let mut node = Balancer::new(Settings { nodes: 10, node: 7, ..Settings::default() }, 1);
            let mut actions = Vec::new();
            tier.into_iter()
                .for_each(|t| node.handle(Duration::from_secs(1), Event::FleetView(t), &mut actions));
            assert_eq!(actions, []);
            (node.nodes(), node.place())
        };
        let tier =
            |live, rank, agreed, could_be_alive| Some(FleetView { live, rank, agreed, could_be_alive });
        assert_eq!(with(None), (10, (7, 10)));
        assert_eq!(with(tier(5, 2, true, 5)), (5, (2, 5)));
        assert_eq!(with(tier(5, 2, false, 5)), (10, (7, 10)));
        assert_eq!(with(tier(12, 2, false, 20)), (20, (7, 10)));
        // What makes no sense does no harm.
        assert_eq!(with(tier(0, 0, true, 0)), (1, (7, 10)));
        assert_eq!(with(tier(5, 5, true, 5)), (5, (7, 10)));
    }
}
