use shaletrail_hollow::*;
use std::time::Instant;
fn main() {
    let a: Vec<usize> = std::env::args().skip(1).map(|x| x.parse().unwrap()).collect();
    let mut f = Fleet::new(Options::of_size(a[0], a[1], a[2]));
    for s in 1..=a[3] as u64 {
        let b = Instant::now();
        f.run_until(s * 1000, None);
        let asked: u64 = f.edges.iter().map(|e| e.requests.asked).sum();
        let served: u64 = f.edges.iter().map(|e| e.requests.served).sum();
        let failed: u64 = f.edges.iter().map(|e| e.requests.failed).sum();
        println!("{s} took {:?} known {} config {} asked {asked} served {served} failed {failed} loads {} version {}", b.elapsed(), f.servers_known(0), f.cores[0].core().unwrap().configuration_version(), f.world.loads, f.edges[0].version());
        f.world.loads = 0;
    }
    let mut l = ledger::Ledger::default();
    f.cores.iter().for_each(|c| l.merge(&c.ledger));
    println!("{l:#?}");
    let mut l = ledger::Ledger::default();
    f.edges.iter().for_each(|c| l.merge(&c.ledger));
    println!("{l:#?}");
}
