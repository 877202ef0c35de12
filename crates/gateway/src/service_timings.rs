//! What this instance has measured of all upstreams of a service together.

use model::ServiceName;

use crate::{
    UpstreamTable, connectivity::ServiceConnectivity, moving_average::MovingAverage,
    prompt_placement::ServicePrompts, upstream_speed::ServicePace,
};

/// Minimum estimate of the time for which a request holds its slot, milliseconds. Measured times
/// are whole milliseconds and may be 0, and rates are estimated by dividing by these times.
const HOLD_MIN_MS: f64 = 1.0;

/// Measurements shared by all upstreams of a service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceRow {
    pub(crate) service: ServiceName,
    pub(crate) online_hold_ms: MovingAverage,
    pub(crate) batch_hold_ms: MovingAverage,
    pub(crate) pace: ServicePace,
    /// When this instance last sent an online request.
    pub(crate) last_online_ms: Option<u64>,
    /// When a request was last to be placed, whether it was sent or refused.
    last_wanted_ms: Option<u64>,
    /// When a request was last refused because no upstream could answer in time.
    last_refused_ms: Option<u64>,
    pub(crate) connectivity: ServiceConnectivity,
    pub(crate) prompts: ServicePrompts,
}

/// Expected times for which requests of a service hold their slots, which are above 0, the maximum
/// age of load information from other regions, and the mean age of that from the
/// own region.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub(crate) struct TimingEstimates {
    pub(crate) online_hold_ms: f64,
    pub(crate) batch_hold_ms: f64,
    pub(crate) remote_staleness_ms: f64,
    pub(crate) own_region_age_ms: f64,
}

impl UpstreamTable {
    /// Returns the timing estimates of a service. Online requests are assumed
    /// to hold their slots for `default_ms` until the first measurement.
    pub(crate) fn timing_estimates(
        &self,
        service: &ServiceName,
        default_ms: f64,
    ) -> TimingEstimates {
        let row = self.known_service(service);
        let online_hold_ms = row.map_or(default_ms, |row| row.online_hold_ms.value_or(default_ms));
        let batch_hold_ms = row.map_or(online_hold_ms, |row| {
            row.batch_hold_ms.value_or(online_hold_ms)
        });
        TimingEstimates {
            online_hold_ms: online_hold_ms.max(HOLD_MIN_MS),
            batch_hold_ms: batch_hold_ms.max(HOLD_MIN_MS),
            remote_staleness_ms: self.remote_staleness_ms(),
            own_region_age_ms: self.own_region_age_ms(),
        }
    }

    /// Returns when this instance last sent an online request to a service.
    pub(crate) fn last_online_ms(&self, service: &ServiceName) -> Option<u64> {
        self.known_service(service)?.last_online_ms
    }

    /// Records that a request for a service is to be placed.
    pub(crate) fn record_wanted(&mut self, service: &ServiceName, now_ms: u64) {
        self.service_row(service).last_wanted_ms = Some(now_ms);
    }

    /// Returns when a request for a service was last to be placed.
    pub(crate) fn last_wanted_ms(&self, service: &ServiceName) -> Option<u64> {
        self.known_service(service)?.last_wanted_ms
    }

    /// Records that a request for a service is refused because no upstream can answer in
    /// time.
    pub(crate) fn record_refused(&mut self, service: &ServiceName, now_ms: u64) {
        self.service_row(service).last_refused_ms = Some(now_ms);
    }

    /// Returns when a request for a service was last refused because no upstream could
    /// answer in time.
    pub(crate) fn last_refused_ms(&self, service: &ServiceName) -> Option<u64> {
        self.known_service(service)?.last_refused_ms
    }

    pub(crate) fn known_service(&self, service: &ServiceName) -> Option<&ServiceRow> {
        Some(&self.services[self.find_service(service).ok()?])
    }

    fn find_service(&self, service: &ServiceName) -> Result<usize, usize> {
        self.services
            .binary_search_by(|row| row.service.cmp(service))
    }

    /// Returns the measurements of a service, which are empty at first.
    pub(crate) fn service_row(&mut self, service: &ServiceName) -> &mut ServiceRow {
        let index = match self.find_service(service) {
            Ok(index) => index,
            Err(index) => {
                let row = ServiceRow {
                    service: service.clone(),
                    online_hold_ms: MovingAverage::default(),
                    batch_hold_ms: MovingAverage::default(),
                    pace: ServicePace::default(),
                    last_online_ms: None,
                    last_wanted_ms: None,
                    last_refused_ms: None,
                    connectivity: ServiceConnectivity::default(),
                    prompts: ServicePrompts::default(),
                };
                self.services.insert(index, row);
                index
            }
        };
        &mut self.services[index]
    }
}
