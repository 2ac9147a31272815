//! Server-sent event streams: parsing, resuming, and completion checks.
