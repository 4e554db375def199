//! Drains, silences and moves of discovery, against each other and against crowds.
