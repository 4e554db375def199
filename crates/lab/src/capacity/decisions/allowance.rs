//! A tenant's allowance divided among nodes. Each node keeps a bucket that refills at its part of the allowance and holds at
//! least one request (`Allowance::take` in `src/state.rs`); the tenant's requests reach it as Poisson.

/// The share of requests that find less than one token, where the bucket of `depth` whole tokens refills at one token while
/// `load` requests come. What is missing from the bucket is the work of a queue M/D/1 with `depth` places, so this is that
/// queue's loss, from its states at departures: up and down across each state go alike.
pub fn refused(load: f64, depth: u32) -> f64 {
    if load <= 0.0 {
        return 0.0;
    }
    let places = depth.max(1) as usize;
    let arrivals = arrivals_over(load, places);
    let none = (-load).exp();
    let mut states = vec![1.0];
    for state in 0..places - 1 {
        let up = |(from, weight): (usize, &f64)| weight * arrivals[state + usize::from(from > 0) - from];
        let sum = states.iter().enumerate().map(up).sum::<f64>();
        states.push(sum / none);
    }
    let all = states.iter().sum::<f64>();
    1.0 - all / (1.0 + load * all)
}

/// The probability of more than 0, 1, ... requests in the time of one token.
fn arrivals_over(load: f64, most: usize) -> Vec<f64> {
    let (mut of, mut over) = ((-load).exp(), 1.0);
    let mut all = Vec::with_capacity(most);
    for count in 0..most {
        over -= of;
        of *= load / (count + 1) as f64;
        all.push(over);
    }
    all
}

/// The share of its entitled requests that a tenant is refused, which asks for `asked` of its allowance by way of `seen_by`
/// nodes alike, where the allowance is divided evenly by `divided_by`. It holds while a node's part is under one request a
/// second, when the bucket holds one token whatever the part is.
pub fn refused_by_even_parts(asked: f64, seen_by: f64, divided_by: f64) -> f64 {
    refused(asked * divided_by / seen_by, 1)
}

/// The depth from which on at most the share `most` is refused at this load, if one of up to 64 does.
pub fn depth_for(load: f64, most: f64) -> Option<u32> {
    (1..=64).find(|depth| refused(load, *depth) <= most)
}
