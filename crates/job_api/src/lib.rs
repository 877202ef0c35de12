//! Callers' API of files and batch jobs, included by the entry program.
