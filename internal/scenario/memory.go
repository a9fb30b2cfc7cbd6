package scenario

import "runtime"

// HeapInUse returns the bytes of all objects that can still be reached.
func HeapInUse() uint64 {
	runtime.GC()
	runtime.GC() // objects that a finalizer or cleanup of the first one released
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
