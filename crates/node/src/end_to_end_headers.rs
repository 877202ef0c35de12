//! Headers that are passed on from one connection to another.

use http::{HeaderMap, header};

/// Returns the caller's headers without the hop-by-hop headers.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 2);
    copy_end_to_end_headers(headers, &mut forwarded);
    // The body is buffered, so the HTTP client sets its length.
    forwarded.remove(header::CONTENT_LENGTH);
    forwarded
}

/// Copies the end-to-end headers. Leaves out the hop-by-hop headers and those
/// that the `Connection` header names.
pub(crate) fn copy_end_to_end_headers(from: &HeaderMap, to: &mut HeaderMap) {
    let connection_specific: Vec<_> = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for (name, value) in from {
        let is_connection_specific = connection_specific
            .iter()
            .any(|listed| listed == name.as_str());
        if !platform::is_hop_by_hop(name) && !is_connection_specific {
            to.append(name.clone(), value.clone());
        }
    }
}
