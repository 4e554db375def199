//! A client that leaves, against the attempts made for it.
