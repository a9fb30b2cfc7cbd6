package driver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/agree"
	"larchscale/internal/fleet/takeout"
)

// maxBody bounds what another box or an operator sends at once.
const maxBody = agree.MaxFrame + 1<<10

// maxNote bounds a report and a knock.
const maxNote = 64 << 10

// maxCommand bounds an operator's command: a document of 64 KB, as JSON has it, and some more.
const maxCommand = 128 << 10

// noPart is what a box says whose part in the fleet has ended, or not begun.
const noPart = "this box takes no part in the fleet now"

// Word is an operator's command as it is sent: found, a module's, or an entry.
type Word struct {
	Found bool
	Part  string          `json:",omitempty"` // of the module that reads Data; "" = none
	Data  json.RawMessage `json:",omitempty"`
	Entry takeout.Entry
}

// Answer is what became of it.
type Answer struct {
	Error string // "" = it is done
}

// Handler serves the other boxes, and the operators of this one.
//
//	POST /fleet/messages  the sender, then raft's messages, each behind its length
//	POST /fleet/part      the sender, then part and message in turn, of what modules say to each other
//	POST /fleet/report    how a box stands
//	POST /fleet/knock     a box that wants to be let in
//	POST /fleet/passed    the same, at a box that may lead, by one that does not
//	GET  /fleet/state     Status as JSON; with ?part= how that module's part stands; with &key= one item of it
//	POST /fleet/command   a Word as JSON; the answer comes once it is agreed, or after 10 s
func (d *Driver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fleet/messages", func(w http.ResponseWriter, r *http.Request) {
		list, err := frames(r.Body, maxBody)
		var from agree.Member
		if err == nil && len(list) == 0 {
			err = errors.New("nobody's")
		}
		if err == nil {
			err = cbor.Unmarshal(list[0], &from)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !d.enter(func() { d.receive(from, list[1:]) }) {
			http.Error(w, "not now", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /fleet/part", func(w http.ResponseWriter, r *http.Request) {
		list, err := frames(r.Body, maxBatch+2*maxWord)
		var from agree.Member
		var said []word
		if err == nil {
			from, said, err = words(list)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !d.enter(func() {
			if m := d.node.State().Member(from.ID); m != nil {
				for _, x := range said {
					d.hand(x, *m)
				}
			}
		}) {
			http.Error(w, "not now", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /fleet/report", noted(d, d.take))
	mux.HandleFunc("POST /fleet/knock", noted(d, d.knocked))
	mux.HandleFunc("POST /fleet/passed", noted(d, d.letIn))
	mux.HandleFunc("GET /fleet/state", func(w http.ResponseWriter, r *http.Request) {
		got := make(chan any, 1)
		part, key := r.URL.Query().Get("part"), r.URL.Query().Get("key")
		ask := func() { got <- d.stands(part) }
		if key != "" {
			ask = func() { got <- d.item(part, key) }
		}
		if d.enter(ask) {
			select {
			case s := <-got:
				if s == nil {
					http.Error(w, fmt.Sprintf("this box has no part %q, or nothing of key %q in it", part, key), http.StatusNotFound)
					return
				}
				json.NewEncoder(w).Encode(s)
				return
			case <-d.done:
			case <-r.Context().Done():
			}
		}
		http.Error(w, noPart, http.StatusServiceUnavailable)
	})
	mux.HandleFunc("POST /fleet/command", d.commanded)
	return mux
}

// noted reads a small body, has f take it on the loop, and tells how that ended.
func noted[T any](d *Driver, f func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var x T
		b, err := io.ReadAll(io.LimitReader(r.Body, maxNote+1))
		if err == nil && len(b) > maxNote {
			err = errors.New("too large")
		}
		if err == nil {
			err = cbor.Unmarshal(b, &x)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		got := make(chan error, 1)
		err = errors.New("not now")
		if d.enter(func() { got <- f(x) }) {
			select {
			case err = <-got:
			case <-d.done:
			}
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}
}

func (d *Driver) commanded(w http.ResponseWriter, r *http.Request) {
	var word Word
	in := json.NewDecoder(io.LimitReader(r.Body, maxCommand))
	in.DisallowUnknownFields()
	if err := in.Decode(&word); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	got := make(chan error, 1)
	err := errors.New(noPart)
	if d.enter(func() {
		if word.Found {
			got <- d.found()
			return
		}
		if word.Part != "" {
			d.ordered(word, got)
			return
		}
		d.command(word.Entry, got)
	}) {
		late := time.NewTimer(outcome)
		defer late.Stop()
		select {
		case err = <-got:
		case <-d.done:
		case <-late.C: // it may take hold yet: given again it has no second effect
			err = errors.New("not agreed within 10 s: a majority may be out of reach; it may still take hold")
		case <-r.Context().Done():
			return
		}
	}
	a := Answer{}
	if err != nil {
		a.Error = err.Error()
	}
	json.NewEncoder(w).Encode(a)
}
