//! Handles and settings that all tasks of the program share.

use std::sync::{Arc, Mutex, PoisonError};

use job_store::{JobStore, StoreError};
use jobs::{ChunkName, ChunkSpan, Claimant, Manifest};
use model::{InstanceId, Region};
use peer::PeerClient;
use upstream::UpstreamClient;

/// Maximum number of cached manifests.
const MANIFEST_CACHE_CAPACITY: usize = 16;

/// Handles and settings shared by the tasks of a batch program.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    pub(crate) store: JobStore,
    pub(crate) upstreams: UpstreamClient,
    pub(crate) peers: PeerClient,
    /// Peer address of the control program on this instance.
    pub(crate) control: Arc<str>,
    pub(crate) instance: InstanceId,
    pub(crate) region: Region,
    pub(crate) lease_ms: u64,
    pub(crate) memory_limit_bytes: usize,
    pub(crate) manifest_cache: ManifestCache,
}

/// Cache of the manifests of input files, in the order in which they were read. The
/// oldest entry is evicted first.
#[derive(Debug, Clone, Default)]
pub(crate) struct ManifestCache {
    entries: Arc<Mutex<Vec<CachedManifest>>>,
}

#[derive(Debug)]
struct CachedManifest {
    file: Arc<str>,
    manifest: Arc<Manifest>,
}

impl Context {
    /// Returns this instance as the claimant of a claim that is made at `now_ms`.
    pub(crate) fn claimant(&self, now_ms: u64) -> Claimant {
        Claimant {
            instance: self.instance.clone(),
            lease_until_ms: now_ms + self.lease_ms,
        }
    }

    /// Returns the byte range of a chunk, the index of its first item in that range,
    /// and its number of items.
    pub(crate) async fn chunk_span(
        &self,
        file: &Arc<str>,
        chunk: ChunkName,
    ) -> Result<(ChunkSpan, u32, u32), StoreError> {
        let manifest = self.manifest(file).await?;
        let index = usize::try_from(chunk.index).unwrap_or(usize::MAX);
        let span = manifest.chunks.get(index).copied().ok_or_else(|| {
            StoreError::Malformed(format!("chunk {chunk} is not in the manifest of {file}"))
        })?;
        let (first, end) = chunk.part.unwrap_or((0, span.items));
        Ok((span, first, end.saturating_sub(first)))
    }

    async fn manifest(&self, file: &Arc<str>) -> Result<Arc<Manifest>, StoreError> {
        if let Some(manifest) = self.manifest_cache.find(file) {
            return Ok(manifest);
        }
        let manifest = Arc::new(self.store.manifest(file).await?);
        self.manifest_cache
            .insert(Arc::clone(file), Arc::clone(&manifest));
        Ok(manifest)
    }
}

impl ManifestCache {
    fn find(&self, file: &Arc<str>) -> Option<Arc<Manifest>> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let found = entries.iter().find(|entry| entry.file == *file);
        found.map(|entry| Arc::clone(&entry.manifest))
    }

    fn insert(&self, file: Arc<str>, manifest: Arc<Manifest>) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() >= MANIFEST_CACHE_CAPACITY {
            entries.remove(0);
        }
        entries.push(CachedManifest { file, manifest });
    }
}
