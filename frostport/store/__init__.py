"""The embedded store: a segmented log with an index, compaction and crash recovery. It holds opaque
records and depends on nothing of the call agent but its clock and deadlines.

Imported only when the configuration names a store.
"""
