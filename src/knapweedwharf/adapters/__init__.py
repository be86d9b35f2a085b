"""Outside systems behind registries: store, VM list, workers."""
