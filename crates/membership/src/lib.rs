//! Membership, failure suspicion, and the versioned digest exchanged by nodes.
