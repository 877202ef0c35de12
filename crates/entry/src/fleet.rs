//! The view of the fleet that requests are routed by.

use std::sync::Arc;

use model::View;
use tokio::sync::watch;

/// Follows the view of the control program on this instance. `None` until the
/// first view has arrived.
pub type FleetWatch = watch::Receiver<Option<Arc<View>>>;
