//! Request decisions of the agent: slots, classes, deadlines, retries and at-most-once.
