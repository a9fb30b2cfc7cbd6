package driver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/maintenance"
)

// maxMessagesBody limits the raft messages of one request.
const maxMessagesBody = consensus.MaxMessageBytes + 1<<10

// maxReportBytes limits a report and a join request.
const maxReportBytes = 64 << 10

// maxCommandBytes limits an operator's command: a JSON document of 64 KB, and its envelope.
const maxCommandBytes = 128 << 10

// notParticipating is the answer of a server whose membership has ended, or not begun.
const notParticipating = "this box takes no part in the fleet now"

// Command is an operator's command as it is sent. It founds a fleet, goes to a module, or proposes an entry.
type Command struct {
	Found bool
	Part  string          `json:",omitempty"` // the module that reads Data; "" = none
	Data  json.RawMessage `json:",omitempty"`
	Entry maintenance.Entry
}

// CommandResult is the outcome of a command.
type CommandResult struct {
	Error string // "" = success
}

// Handler serves the other servers, and the operators of this one. A frame is a message behind its length.
//
//	POST /fleet/messages  a frame with the sender, then one for each raft message
//	POST /fleet/part      a frame with the sender, then a module's name and its message in turn
//	POST /fleet/report    a server's report on itself
//	POST /fleet/knock     a join request
//	POST /fleet/passed    a join request that a server which is not the leader forwards
//	GET  /fleet/state     Status as JSON; with ?part= the status of that module; with &key= one item of its state
//	POST /fleet/command   a Command as JSON; the answer comes once it is committed, or after 10 s
func (d *Driver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fleet/messages", func(w http.ResponseWriter, r *http.Request) {
		frames, err := readFrames(r.Body, maxMessagesBody)
		var from consensus.Member
		if err == nil && len(frames) == 0 {
			err = errors.New("nobody's")
		}
		if err == nil {
			err = cbor.Unmarshal(frames[0], &from)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !d.enqueue(func() { d.receive(from, frames[1:]) }) {
			http.Error(w, "not now", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /fleet/part", func(w http.ResponseWriter, r *http.Request) {
		frames, err := readFrames(r.Body, maxBatch+2*maxModuleMessage)
		var from consensus.Member
		var messages []moduleMessage
		if err == nil {
			from, messages, err = decodeModuleMessages(frames)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !d.enqueue(func() {
			if member := d.node.State().Member(from.ID); member != nil {
				for _, m := range messages {
					d.deliver(m, *member)
				}
			}
		}) {
			http.Error(w, "not now", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /fleet/report", decodeAndRun(d, d.receiveReport))
	mux.HandleFunc("POST /fleet/knock", decodeAndRun(d, d.handleJoinRequest))
	mux.HandleFunc("POST /fleet/passed", decodeAndRun(d, d.admit))
	mux.HandleFunc("GET /fleet/state", func(w http.ResponseWriter, r *http.Request) {
		result := make(chan any, 1)
		module, key := r.URL.Query().Get("part"), r.URL.Query().Get("key")
		query := func() { result <- d.moduleStatus(module) }
		if key != "" {
			query = func() { result <- d.item(module, key) }
		}
		if d.enqueue(query) {
			select {
			case status := <-result:
				if status == nil {
					http.Error(w, fmt.Sprintf("this box has no part %q, or nothing of key %q in it", module, key), http.StatusNotFound)
					return
				}
				json.NewEncoder(w).Encode(status)
				return
			case <-d.done:
			case <-r.Context().Done():
			}
		}
		http.Error(w, notParticipating, http.StatusServiceUnavailable)
	})
	mux.HandleFunc("POST /fleet/command", d.handleCommand)
	return mux
}

// decodeAndRun reads a small body, passes it to f on the loop, and answers with the result.
func decodeAndRun[T any](d *Driver, f func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		body, err := io.ReadAll(io.LimitReader(r.Body, maxReportBytes+1))
		if err == nil && len(body) > maxReportBytes {
			err = errors.New("too large")
		}
		if err == nil {
			err = cbor.Unmarshal(body, &value)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result := make(chan error, 1)
		err = errors.New("not now")
		if d.enqueue(func() { result <- f(value) }) {
			select {
			case err = <-result:
			case <-d.done:
			}
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}
}

func (d *Driver) handleCommand(w http.ResponseWriter, r *http.Request) {
	var command Command
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxCommandBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result := make(chan error, 1)
	err := errors.New(notParticipating)
	if d.enqueue(func() {
		if command.Found {
			result <- d.bootstrap()
			return
		}
		if command.Part != "" {
			d.handleModuleCommand(command, result)
			return
		}
		d.proposeCommand(command.Entry, result)
	}) {
		timeout := time.NewTimer(commandTimeout)
		defer timeout.Stop()
		select {
		case err = <-result:
		case <-d.done:
		case <-timeout.C: // the entry may still be committed; repeating the command is harmless
			err = errors.New("not committed within 10 s: a majority may be unreachable; the command may still take effect")
		case <-r.Context().Done():
			return
		}
	}
	answer := CommandResult{}
	if err != nil {
		answer.Error = err.Error()
	}
	json.NewEncoder(w).Encode(answer)
}
