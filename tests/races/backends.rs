//! A backend's connection: its end, its bytes out of turn and its broken answers, against what the node writes.
