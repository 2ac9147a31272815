//! The ledger of calls that run at most once.
