"""Who may run what, and when: keys, limits, queues and overload."""
