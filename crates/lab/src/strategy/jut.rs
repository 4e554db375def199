//! Join-Up-To(m) as the paper's section 2 defines it: a request joins a server with the lowest estimate strictly below
//! m, ties at random, else a random server; a send adds one; an idle sign makes the estimate zero. Every sign is
//! believed, as in the paper, where signs are true on arrival and there is one dispatcher.

use super::plain::Pick;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// The estimates, by value, so that a pick takes a time that depends on m alone.
pub struct JoinUpTo {
    m: usize,
    /// Below the cap: the servers with each estimate, in no order.
    with: Vec<Vec<usize>>,
    /// Each server's estimate, up to the cap, and where it stands among those that have it.
    estimates: Vec<(usize, usize)>,
}

impl JoinUpTo {
    /// With this cap, at least 1.
    pub fn new(m: u32) -> Self {
        JoinUpTo { m: m as usize, with: vec![Vec::new(); m as usize], estimates: Vec::new() }
    }

    fn set(&mut self, server: usize, estimate: usize) {
        let (old, at) = self.estimates[server];
        if old < self.m {
            self.with[old].swap_remove(at);
            if let Some(moved) = self.with[old].get(at) {
                self.estimates[*moved].1 = at;
            }
        }
        let mut place = 0;
        if estimate < self.m {
            place = self.with[estimate].len();
            self.with[estimate].push(server);
        }
        self.estimates[server] = (estimate.min(self.m), place);
    }
}

impl Pick for JoinUpTo {
    fn listed(&mut self, servers: usize) {
        self.with.iter_mut().for_each(Vec::clear);
        self.with[0] = (0..servers).collect();
        self.estimates = (0..servers).map(|server| (0, server)).collect();
    }

    fn pick(&mut self, servers: usize, random: &mut Pcg64Mcg) -> usize {
        match self.with.iter().find(|with| !with.is_empty()) {
            Some(lowest) => lowest[random.random_range(0..lowest.len())],
            None => random.random_range(0..servers),
        }
    }

    fn sent(&mut self, server: usize) {
        let (estimate, _) = self.estimates[server];
        if estimate < self.m {
            self.set(server, estimate + 1);
        }
    }

    fn idle(&mut self, server: usize) {
        self.set(server, 0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    /// Against the definition, written out: estimates in a plain list.
    #[test]
    fn picks_by_the_definition() {
        let mut random = Pcg64Mcg::seed_from_u64(7);
        let (servers, m) = (7, 3);
        let mut jut = JoinUpTo::new(m);
        jut.listed(servers);
        let mut estimates = vec![0; servers];
        let (mut at_random, mut by_estimate) = (0, 0);
        for _ in 0..5000 {
            if random.random_bool(0.2) {
                let idle = random.random_range(0..servers);
                jut.idle(idle);
                estimates[idle] = 0;
            }
            let picked = jut.pick(servers, &mut random);
            let lowest = *estimates.iter().min().unwrap();
            if lowest < m {
                assert_eq!(estimates[picked], lowest);
                by_estimate += 1;
            } else {
                at_random += 1;
            }
            jut.sent(picked);
            estimates[picked] += 1;
        }
        assert!(at_random > 500 && by_estimate > 500, "{at_random} {by_estimate}");
    }
}
