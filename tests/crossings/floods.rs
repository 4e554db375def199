//! Crowds that want nothing good, against clients that do.
