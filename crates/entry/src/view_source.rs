//! Where an entry learns of the fleet: from the control program beside it.

use std::sync::Arc;

use model::{InstanceEntry, Liveness, View};
use peer::{Freshness, PeerClient, ViewWatch};
use tokio::sync::watch;

/// Source of the view that requests are routed by.
#[derive(Debug)]
pub struct ViewSource {
    view: watch::Receiver<Arc<View>>,
    control: Option<Control>,
}

/// The control program on this instance.
#[derive(Debug)]
struct Control {
    address: String,
    watch: ViewWatch,
}

impl ViewSource {
    /// Follows the control program at `address` and registers `own` there.
    #[must_use]
    pub fn follow_control(address: &str, own: InstanceEntry, client: PeerClient) -> Self {
        let watch = ViewWatch::start(address, own, client);
        Self {
            view: watch.subscribe(),
            control: Some(Control {
                address: address.to_owned(),
                watch,
            }),
        }
    }

    /// Takes views from `view`; there is no control program.
    #[must_use]
    pub fn from_receiver(view: watch::Receiver<Arc<View>>) -> Self {
        Self {
            view,
            control: None,
        }
    }

    /// A receiver that sees each new view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Tells whether the view may be acted on after a pause.
    pub(crate) fn freshness(&self) -> Option<Freshness> {
        self.control
            .as_ref()
            .map(|control| control.watch.freshness())
    }

    /// Peer address of the control program.
    pub(crate) fn control_address(&self) -> Option<&str> {
        self.control
            .as_ref()
            .map(|control| control.address.as_str())
    }

    /// Tells the fleet that this entry takes no new work.
    pub(crate) fn announce_leaving(&self) {
        if let Some(control) = &self.control {
            control.watch.set_liveness(Liveness::Leaving);
        }
    }
}
