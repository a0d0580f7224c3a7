//! Cost of a balancer's routing decision alone, without I/O.

use std::{hint::black_box, net::SocketAddr, time::Instant};

use rand::{SeedableRng, rngs::StdRng};

use super::tables::{Fixture, TableSize};

/// Number of distinct datagrams that are routed in each measuring pass.
const DATAGRAMS: usize = 8_192;

/// Number of measuring passes over all datagrams; the median pass is the result.
const PASSES: usize = 15;

const ESTABLISHED_BYTES: usize = 64;

/// Mean time of one routing decision, for datagrams that open a flow and for those of established
/// flows.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cost {
    pub(super) established_ns: f64,
    pub(super) opening_ns: f64,
}

/// Measures the time of a routing decision with a routing table of the given size.
pub(super) fn measure_decision_cost(size: TableSize, seed: u64) -> Cost {
    let fixture = Fixture::new(size);
    let mut rng = StdRng::seed_from_u64(seed);
    let established: Vec<_> = (0..DATAGRAMS)
        .map(|_idx| fixture.build_established_datagram(&mut rng, ESTABLISHED_BYTES))
        .collect();
    let openings: Vec<_> = (0..DATAGRAMS)
        .map(|_idx| fixture.build_opening_datagram(&mut rng))
        .collect();
    Cost {
        established_ns: median_decision_ns(&fixture, &established),
        opening_ns: median_decision_ns(&fixture, &openings),
    }
}

fn median_decision_ns(fixture: &Fixture, datagrams: &[(SocketAddr, Vec<u8>)]) -> f64 {
    let mut passes: Vec<_> = (0..PASSES)
        .map(|_idx| measure_pass_ns(fixture, datagrams))
        .collect();
    passes.sort_by(f64::total_cmp);
    passes[PASSES / 2]
}

fn measure_pass_ns(fixture: &Fixture, datagrams: &[(SocketAddr, Vec<u8>)]) -> f64 {
    let caller = SocketAddr::from(([192, 0, 2, 1], 5_000));
    let start = Instant::now();
    for (local, datagram) in datagrams {
        black_box(fixture.table.route(*local, caller, black_box(datagram)));
    }
    let count = u32::try_from(datagrams.len()).expect("few datagrams");
    start.elapsed().as_secs_f64() * 1e9 / f64::from(count)
}
