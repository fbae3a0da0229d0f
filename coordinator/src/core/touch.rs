//! Whether this node reaches a majority of the voters, and which other coordinators are there.

use shaletrail_protocol::{Millis, NodeId};

use super::Core;
use crate::interface::{Action, Note};

/// A node that has not heard from a majority of the voters for so long is out of touch: its edges poll another.
const OUT_OF_TOUCH: Millis = 600;

impl Core {
    pub(super) fn update_touch(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let voters: Vec<NodeId> = self.shards.configuration_replica().voters().members().collect();
        let in_touch = !voters.is_empty() && self.membership.answers_majority(now, &voters, OUT_OF_TOUCH);
        if in_touch != self.in_touch {
            self.in_touch = in_touch;
            actions.push(Action::Note(Note::InTouch(in_touch)));
        }
        self.directory.set_in_touch(now, in_touch);
        self.membership.watch(&voters);
        self.directory.set_voters(&voters);
    }

    pub(super) fn update_members(&mut self, now: Millis) {
        let changed = self.membership.take_changed();
        if changed.is_empty() {
            return;
        }
        let members = self.membership.members();
        let peers: Vec<NodeId> = members.iter().map(|member| member.node).collect();
        self.directory.set_peers(now, &peers);
        for member in members.iter().filter(|member| changed.contains(&member.node)) {
            self.directory.peer_started(now, member.node, member.incarnation);
        }
    }
}
