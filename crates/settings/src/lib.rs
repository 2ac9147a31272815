//! Settings of one daemon, read from an INI file.
