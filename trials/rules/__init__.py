"""The protocol's rules, each as a function from an indexed history to its violations."""
