//! Source of the fleet view: the control program on the same instance.

use std::sync::Arc;

use model::{InstanceEntry, Liveness, View};
use peer::{Freshness, PeerClient, ViewWatch};
use tokio::sync::watch;

/// Provides the fleet view that requests are routed by.
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
    /// Follows the views of the control program at the peer address `address`,
    /// and registers the instance entry `own` there.
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

    /// Takes the views from a watch channel, without a control program.
    #[must_use]
    pub fn from_receiver(view: watch::Receiver<Arc<View>>) -> Self {
        Self {
            view,
            control: None,
        }
    }

    /// Returns a receiver that is notified of each new view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Returns the check that tells whether the view may still be used after the
    /// process was paused; `None` without a control program.
    pub(crate) fn freshness(&self) -> Option<Freshness> {
        self.control
            .as_ref()
            .map(|control| control.watch.freshness())
    }

    /// Returns the peer address of the control program, if there is one.
    pub(crate) fn control_address(&self) -> Option<&str> {
        self.control
            .as_ref()
            .map(|control| control.address.as_str())
    }

    /// Announces to the control program that this entry is leaving and accepts
    /// no new work.
    pub(crate) fn announce_leaving(&self) {
        if let Some(control) = &self.control {
            control.watch.set_liveness(Liveness::Leaving);
        }
    }
}
