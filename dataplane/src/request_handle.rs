//! An open request between the router and its exchange.

use std::rc::Rc;

use shaletrail_routing::interface::{Event, NewRequest, RequestId};

use crate::mailbox::Command;
use crate::state::State;

/// An open request. Dropping it reports the request to the router as finished, whether its client has the response or
/// has disconnected.
pub struct RequestHandle {
    state: Rc<State>,
    id: RequestId,
}

impl RequestHandle {
    /// Hands a request over to the router.
    pub fn open(state: &Rc<State>, request: NewRequest) -> RequestHandle {
        let id = request.id;
        // The router may respond with a command at once.
        state.mailboxes.open(id);
        let handle = RequestHandle { state: state.clone(), id };
        state.handle(Event::Request(request));
        handle
    }

    /// The request's id.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// The shared state.
    pub fn state(&self) -> &Rc<State> {
        &self.state
    }

    /// Waits for the router's next command.
    pub async fn command(&self) -> Command {
        self.state.mailboxes.next_command(self.id).await
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.state.mailboxes.close(self.id);
        self.state.handle(Event::RequestFinished(self.id));
    }
}
