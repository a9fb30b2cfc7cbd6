package controlnode_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/controlnode"
	"larchscale/internal/fleet/session"
)

// losing loses messages between nodes on their way: who sent them is told that they came.
type losing struct {
	mu    sync.Mutex
	after uint64          // lose the first digest that tells of a server that it has a later revision in force; 0 = none
	lost  map[string]bool // servers of which one was lost
}

// begin has digests lost from now on.
func (l *losing) begin(after uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.after, l.lost = after, map[string]bool{}
}

// servers returns of how many servers a digest was lost.
func (l *losing) servers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lost)
}

func (l *losing) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fleet/part" {
			body, err := io.ReadAll(r.Body)
			if err != nil || l.take(body) {
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		next.ServeHTTP(w, r)
	})
}

// take reports whether a request is to be lost.
func (l *losing) take(body []byte) (lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.after == 0 {
		return false
	}
	for _, frame := range frames(body) {
		var message struct {
			Digest *struct {
				Digest session.Digest `cbor:"3,keyasint"`
			} `cbor:"1,keyasint,omitempty"`
		}
		if cbor.Unmarshal(frame, &message) != nil || message.Digest == nil {
			continue // the sender, or the name of a part
		}
		for _, status := range message.Digest.Digest.Servers {
			if status.Applied > l.after && !l.lost[status.Server] {
				l.lost[status.Server] = true
				lose = true
			}
		}
	}
	return lose
}

// frames returns what a request has, each behind its length.
func frames(body []byte) (list [][]byte) {
	for len(body) > 0 {
		size, head := binary.Uvarint(body)
		if head <= 0 || size > uint64(len(body)-head) {
			return list
		}
		list = append(list, body[head:head+int(size)])
		body = body[head+int(size):]
	}
	return list
}

// Digests that tell the leader which revision servers have in force are lost, once for each server. The servers have nothing
// new to tell afterwards: the leader finds the gap in the numbers, and has all told anew.
func TestALostDigestIsToldAnew(t *testing.T) {
	f := newTier(t, 3, 5, false)
	f.until("all servers have leases", f.settled)
	f.configure("flags/lanes", "two", 1)
	var first controlnode.DocumentStatus
	if found, err := f.item("flags/lanes", &first); !found || err != nil {
		t.Fatal(found, err)
	}
	f.losing.begin(first.Revision)
	f.configure("flags/lanes", "three", 1)
	if lost := f.losing.servers(); lost == 0 {
		t.Error("no digest was lost")
	} else {
		t.Logf("digests of %d of 5 servers were lost", lost)
	}
}
