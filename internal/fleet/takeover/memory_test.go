package takeover

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"larchscale/internal/scenario"
)

// Guards against replicas that hold more in memory than Limits.Bytes counts: with small bodies and results the records
// themselves are most of it.
func TestAccountedBytesCoverTheMemory(t *testing.T) {
	const keys = 3000
	for name, finishes := range map[string]bool{"held": false, "with an outcome": true} {
		t.Run(name, func(t *testing.T) {
			servers, deliver, setView := newServers(t, Limits{}, "a", "b", "c")
			setView(1, 0, "a", "b", "c")
			deliver(0)
			before := scenario.HeapInUse()
			for i := range keys {
				request := piece(fmt.Sprintf("token %020d", i))
				request.Handle = fmt.Sprintf("%016x", i)
				servers["c"].Claim(0, 1, request)
				deliver(0)
				if finishes {
					servers["c"].Finish(0, request.Key, 1, true, []byte(fmt.Sprintf("result %020d", i)), "")
					deliver(0)
				}
			}
			for _, name := range []string{"a", "b", "c"} {
				servers[name].Tick(time.Second)
			}
			deliver(time.Second)
			held, accounted := int64(scenario.HeapInUse())-int64(before), int64(0)
			for _, server := range servers {
				accounted += server.claimBytes + server.recordBytes
			}
			if held > accounted {
				t.Errorf("%d bytes are in memory for each key, %d are accounted", held/keys, accounted/keys)
			}
			runtime.KeepAlive(servers)
		})
	}
}
