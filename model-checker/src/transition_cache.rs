//! A cache of node transitions that were already computed.

use std::collections::HashMap;
use std::sync::Arc;

use shaletrail_protocol::Millis;

use crate::fingerprint::Fingerprint;
use crate::input::Input;
use crate::node::{Node, NodeTransition};

/// Node transitions by the fingerprints of node and input, and one shared copy of each node state.
#[derive(Default)]
pub(crate) struct TransitionCache {
    transitions: HashMap<(Fingerprint, Fingerprint), Arc<NodeTransition>>,
    nodes: HashMap<Fingerprint, Arc<Node>>,
}

impl TransitionCache {
    /// Returns the result of applying an input to a node, computing it only once.
    pub fn step(&mut self, node: &Node, now: Millis, input: &Input) -> Arc<NodeTransition> {
        let key = (node.fingerprint, input.fingerprint(now));
        if let Some(known) = self.transitions.get(&key) {
            return known.clone();
        }
        let mut transition = node.step(now, input);
        let shared = self.nodes.entry(transition.node.fingerprint).or_insert_with(|| transition.node.clone());
        transition.node = shared.clone();
        let transition = Arc::new(transition);
        self.transitions.insert(key, transition.clone());
        transition
    }
}
