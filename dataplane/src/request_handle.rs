//! Registers a request with the router for as long as its exchange runs.

use std::rc::Rc;

use shaletrail_routing::interface::{Event, NewRequest, RequestId};

use crate::command_queues::Command;
use crate::state::State;

/// A request that is registered with the router. When it is dropped, the request is reported to the router as
/// finished, whether the client has received the response or has disconnected.
pub struct RequestHandle {
    state: Rc<State>,
    id: RequestId,
}

impl RequestHandle {
    /// Registers a request with the router.
    pub fn open(state: &Rc<State>, request: NewRequest) -> RequestHandle {
        let id = request.id;
        // The queue must exist first: the router may issue a command while it handles the event.
        state.command_queues.open(id);
        let handle = RequestHandle { state: state.clone(), id };
        state.handle(Event::Request(request));
        handle
    }

    /// The id under which the request is registered with the router.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// The edge's state, which holds the router that the request is registered with.
    pub fn state(&self) -> &Rc<State> {
        &self.state
    }

    /// Waits for the router's next command for this request.
    pub async fn next_command(&self) -> Command {
        self.state.command_queues.next_command(self.id).await
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.state.command_queues.close(self.id);
        self.state.handle(Event::RequestFinished(self.id));
    }
}
