//! A node's memory must not grow with the number of requests, keys and servers that it has handled.

mod common;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use common::{entry, read, settings, Node};
use shaletrail_policy::*;

struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: forwards every call to the system allocator and only counts bytes.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Simulates a minute with new keys all the time, all kinds of outcomes, and a server replaced every second.
fn run_minute(node: &mut Node, next: &mut u64) {
    for second in 0..60 {
        let first = *next / 100;
        let fleet = (first..first + 8).map(|n| RosterEntry { started: Some(n as f64), ..entry(n) }).collect();
        node.event(Event::Roster(RosterUpdate::Full(fleet)));
        for n in 0..100 {
            *next += 1;
            let key = if n % 2 == 0 { *next } else { n };
            let write = n % 20 == 0;
            node.request(NewRequest { write, ..read(*next, key) });
            let status = match (n + second) % 8 {
                0 => Status::TimedOut,
                1 => Status::Error,
                2 => Status::Unreachable,
                _ => Status::Success,
            };
            node.advance(0.01);
            if node.sends.contains_key(&RequestId(*next)) {
                node.outcome(*next, status, Some(CacheNote::Miss));
            }
            node.event(Event::Withdrawn(RequestId(*next)));
            // Attempts that were retried before the client left end as well.
            if let Some(attempts) = node.sends.remove(&RequestId(*next)) {
                for attempt in 0..attempts.len() as u32 {
                    node.event(Event::Outcome(Outcome {
                        request: RequestId(*next),
                        attempt: AttemptId(attempt),
                        status: Status::Cancelled,
                        elapsed: 0.01,
                        finished: true,
                        note: None,
                    }));
                }
            }
        }
    }
}

#[test]
fn memory_does_not_grow_over_simulated_minutes() {
    let mut node = Node::with_roster(settings(), 1, vec![]);
    let mut next = 0;
    run_minute(&mut node, &mut next);
    let after_one = ALLOCATED.load(Ordering::Relaxed);
    for _ in 0..20 {
        run_minute(&mut node, &mut next);
    }
    let after_all = ALLOCATED.load(Ordering::Relaxed);
    assert!(
        after_all < after_one + after_one / 4,
        "{after_one} bytes after a minute, {after_all} after twenty more"
    );
}
