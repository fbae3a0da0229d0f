use shaletrail_hollow::*;
#[test]
fn show() {
    let mut f = Fleet::new(Options { full_edges: 6, ..Options::of_size(30, 1000, 5) });
    f.run_until(6_000, None);
    let mut last = std::collections::BTreeMap::new();
    let mut n = std::collections::BTreeMap::<String, usize>::new();
    for t in 0..400u64 {
        f.run_until(6_000 + t * 10, None);
        let core = f.cores[0].core().unwrap();
        for r in core.directory().records() {
            let mut r = r.clone();
            r.heartbeat.sequence = 0;
            if let Some(old) = last.insert(r.id.clone(), r.clone()) {
                let old: shaletrail_protocol::inside::ServerRecord = old;
                if old != r {
                    let c = n.entry(r.id.clone()).or_default();
                    *c += 1;
                    if n.len() < 5 { println!("{} {} models {} note {:?} -> {:?} {:?}->{:?}", 6000 + t * 10, r.id, old.heartbeat.models == r.heartbeat.models, old.note, r.note, old.heartbeat.models, r.heartbeat.models); }
                }
            }
        }
    }
    println!("{n:?} loads {}", f.world.loads);
}
