//! How the parts below the host tell it what they hear: they know this handle, not the host.

use std::cell::OnceCell;
use std::rc::Rc;

use crate::config::List;

/// What a part has heard.
pub enum Heard {
    /// A list that discovery told.
    List(List),
    /// A call to discovery failed, or the watch broke.
    ListFailed,
    /// What another node of the tier, by its number, says.
    Peer { from: u32, bytes: Vec<u8> },
}

type Ear = Box<dyn Fn(Heard)>;

/// Clones tell the same host.
#[derive(Clone, Default)]
pub struct Handle(Rc<OnceCell<Ear>>);

impl Handle {
    /// Once, before anything is heard.
    pub fn lead_to(&self, ear: impl Fn(Heard) + 'static) {
        let set = self.0.set(Box::new(ear));
        debug_assert!(set.is_ok(), "a handle leads to one host");
    }

    pub fn tell(&self, heard: Heard) {
        if let Some(ear) = self.0.get() {
            ear(heard);
        }
    }
}
