//! Calls of the operator and of servers, and what a test may expect of them.

use shaletrail_coordinator::interface::{CallId, Event};
use shaletrail_protocol::internal::{OperatorCall, OperatorResponse};
use shaletrail_protocol::{Millis, NodeId};

use super::SimulatedCluster;
use crate::common::{configuration, replace_call};

/// How long the operator waits for one node before it retries at the next.
const OPERATOR_TIMEOUT: Millis = 1_000;
/// How long the operator retries a call.
const OPERATOR_RETRY_PERIOD: Millis = 8_000;

impl SimulatedCluster {
    /// Sends a call of a server to a node. Returns whether it is acknowledged in time.
    pub fn server_call(&mut self, at: NodeId, event: impl FnOnce(CallId) -> Event) -> bool {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.handle(at, event(call));
        self.run_until(OPERATOR_TIMEOUT, |cluster| cluster.server_responses.contains_key(&call));
        self.server_responses.remove(&call).unwrap_or(false)
    }

    /// Sends a call of the operator to a node without waiting for the response.
    pub fn send_operator_call(&mut self, at: NodeId, request: &OperatorCall) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.handle(at, Event::OperatorCall { call, request: request.clone() });
        call
    }

    /// Returns the response to a call of the operator, if it has been answered.
    pub fn operator_response(&self, call: CallId) -> Option<&OperatorResponse> {
        self.responses.get(&call)
    }

    /// Sends a call of the operator to a node. Returns the response if it comes in time.
    fn operator_call(&mut self, at: NodeId, request: &OperatorCall) -> Option<OperatorResponse> {
        let call = self.send_operator_call(at, request);
        self.run_until(OPERATOR_TIMEOUT, |cluster| cluster.responses.contains_key(&call));
        self.responses.remove(&call)
    }

    /// Sends a call of the operator to one node after another until one succeeds or time is up. Returns the response
    /// body.
    pub fn retry_operator_call(&mut self, request: &OperatorCall) -> Option<Vec<u8>> {
        let end = self.now + OPERATOR_RETRY_PERIOD;
        while self.now < end {
            for at in self.running() {
                if let Some(OperatorResponse::Done { body }) = self.operator_call(at, request) {
                    return Some(body);
                }
            }
        }
        None
    }

    /// Replaces the configuration with the next version, and asserts that this is acknowledged.
    pub fn commit_change(&mut self) {
        let body = configuration(self.acknowledged_version + 1, "example");
        let change = replace_call(self.acknowledged_version, &body);
        let is_acknowledged = self.retry_operator_call(&change).is_some();
        assert!(is_acknowledged, "no change is acknowledged: {}", self.describe());
        self.acknowledged_version += 1;
    }

    /// Asserts that the last acknowledged version can be read, each shard has a leader, and a further change is
    /// acknowledged.
    pub fn assert_available(&mut self) {
        let body = self.retry_operator_call(&OperatorCall::Read);
        let Some(body) = body else { panic!("the configuration cannot be read: {}", self.describe()) };
        let text = String::from_utf8(body).expect("the body is UTF-8");
        let version = format!("\"version\":{}", self.acknowledged_version);
        assert!(text.contains(&version), "{version} was lost: {text}");
        let has_leaders =
            self.run_until(5_000, |cluster| cluster.shards().all(|shard| cluster.leader_of(shard).is_some()));
        assert!(has_leaders, "a shard has no leader: {}", self.describe());
        self.commit_change();
    }
}
