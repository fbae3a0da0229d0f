//! Calls of model servers, operators and edges. Each one waits until the state machine has responded.

use shaletrail_protocol::external::Heartbeat;
use shaletrail_protocol::internal::{
    EdgeIdentity, OperatorCall, OperatorResponse, PollRequest, PollResponse,
};
use shaletrail_protocol::ServerId;

use super::CoordinatorDriver;
use crate::interface::{CallId, Event};

impl CoordinatorDriver {
    /// Handles a server's heartbeat. Returns whether it is acknowledged.
    pub async fn heartbeat(&self, id: ServerId, heartbeat: Heartbeat) -> bool {
        self.server_call(|call| Event::Heartbeat { call, id, heartbeat }).await
    }

    /// Handles a server's deregistration. Returns whether it is acknowledged.
    pub async fn deregister(&self, id: ServerId) -> bool {
        self.server_call(|call| Event::Deregister { call, id }).await
    }

    async fn server_call(&self, event: impl FnOnce(CallId) -> Event) -> bool {
        let (call, response) = self.state.borrow_mut().calls.add_server_call();
        self.handle(event(call));
        response.await.unwrap_or(false)
    }

    /// Handles a call of the operator. The response is also `Unavailable` if the coordinator shuts down
    /// meanwhile.
    pub async fn operator(&self, operator: OperatorCall) -> OperatorResponse {
        let (call, response) = self.state.borrow_mut().calls.add_operator_call();
        self.handle(Event::OperatorCall { call, request: operator });
        response.await.unwrap_or(OperatorResponse::Unavailable)
    }

    /// Handles an edge's long poll. Returns `None` if the coordinator shuts down meanwhile. Dropping the future
    /// cancels the poll.
    pub async fn poll(&self, edge: EdgeIdentity, request: PollRequest) -> Option<Box<PollResponse>> {
        let (call, response) = self.state.borrow_mut().calls.add_poll();
        let _cancel = CancelPollOnDrop { driver: self, call };
        self.handle(Event::Poll { call, edge, request });
        response.await.ok()
    }
}

/// Cancels a poll when dropped, unless the poll has already been answered.
struct CancelPollOnDrop<'a> {
    driver: &'a CoordinatorDriver,
    call: CallId,
}

impl Drop for CancelPollOnDrop<'_> {
    fn drop(&mut self) {
        let was_pending = self.driver.state.borrow_mut().calls.cancel(self.call);
        if was_pending {
            self.driver.handle(Event::PollCancelled(self.call));
        }
    }
}
