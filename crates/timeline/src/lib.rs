//! Typed events under a hybrid logical clock and the time line merged from them.
