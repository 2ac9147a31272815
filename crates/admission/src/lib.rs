//! Admission, queues, limits and retries.
