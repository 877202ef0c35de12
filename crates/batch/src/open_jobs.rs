//! Local copy of the rows of open jobs.

use jobs::OpenJob;

use crate::event::OpenPage;

/// Open jobs that the worker has read, sorted by key.
#[derive(Debug, Default)]
pub(crate) struct OpenJobs {
    jobs: Vec<OpenJob>,
}

impl OpenJobs {
    /// Returns the jobs, sorted by key.
    pub(crate) fn jobs(&self) -> &[OpenJob] {
        &self.jobs
    }

    /// Replaces the jobs whose keys lie in the range of a page by those of the page.
    pub(crate) fn merge(&mut self, page: OpenPage) {
        let is_in_page = |key: &str| {
            key.starts_with(&page.prefix)
                && page.after.as_deref().is_none_or(|after| key > after)
                && page.next.as_deref().is_none_or(|next| key <= next)
        };
        let previous = std::mem::take(&mut self.jobs);
        let mut merged = page.jobs;
        for job in previous {
            match merged.iter_mut().find(|other| other.key == job.key) {
                // A claim may have read a later version than the page contains.
                Some(other) if other.version < job.version => *other = job,
                Some(_) => {}
                None if is_in_page(&job.key) => {}
                None => merged.push(job),
            }
        }
        merged.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        self.jobs = merged;
    }

    /// Returns the version of the row at `key`, if the job is known.
    pub(crate) fn version(&self, key: &str) -> Option<u64> {
        let index = self.find(key).ok()?;
        Some(self.jobs[index].version)
    }

    /// Inserts or replaces a job, unless a later version of its row is known.
    pub(crate) fn upsert(&mut self, job: OpenJob) {
        match self.find(&job.key) {
            Ok(index) if self.jobs[index].version > job.version => {}
            Ok(index) => self.jobs[index] = job,
            Err(index) => self.jobs.insert(index, job),
        }
    }

    /// Removes a job that is no longer open.
    pub(crate) fn remove(&mut self, key: &str) {
        if let Ok(index) = self.find(key) {
            self.jobs.remove(index);
        }
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.jobs.binary_search_by(|job| job.key.as_str().cmp(key))
    }
}
