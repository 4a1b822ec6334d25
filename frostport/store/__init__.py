"""The embedded store: a segmented log, an index over it, compaction and recovery. It knows nothing of calls.

Imported only where a configuration names a store.
"""
