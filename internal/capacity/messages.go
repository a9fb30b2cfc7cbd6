package capacity

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/ledger"
)

// MessageKind is one kind of message between the parts of the program as it stands.
type MessageKind struct {
	Name      string
	From, To  string
	Often     Count   // a second, in the whole fleet
	Payload   float64 // bytes, without HTTP, TLS and the sender's name; 0 = not counted
	Mechanism string
}

// voters is how many voters the counts are for: driver.Defaults().
const voters = 3

// MessageKinds are the kinds of message, but those that follow from requests (claims, kept replies), which depend on the
// traffic.
func MessageKinds() []MessageKind {
	others := func(s Size) float64 { return s.Servers - 1 }
	toVoters := func(s Size) float64 { return (s.Servers - 1) * voters }
	heartbeats := func(s Size) float64 { return (s.Servers-voters)*learnerHeartbeatsPerSecond + (voters-1)*10 }
	renewals := func(s Size) float64 { return (s.Servers - 1) / lease.MeshTerms.RenewInterval.Seconds() }
	return []MessageKind{
		{"report", "each server", "each of 3 voters", Count{"3(n−1) / 1 s", toVoters}, reportPayload(), "`fleet/driver`, newest value wins"},
		{"heartbeat", "leader", "each voter, each learner", Count{"(n−3) / 1 s + 2 / 0.1 s", heartbeats}, heartbeatPayload(raftpb.MessageType_MsgHeartbeat), "raft"},
		{"answer to a heartbeat", "voter, learner", "leader", Count{"the same", heartbeats}, heartbeatPayload(raftpb.MessageType_MsgHeartbeatResp), "raft"},
		{"lease renewal", "each server", "leader", Count{"(n−1) / 0.3 s", renewals}, cborBytes(lease.Renewal{Box: "server-0001", Life: 1_000_000, Seq: 1_000_000}), "`fleet/lease`"},
		{"lease grant", "leader", "each server", Count{"(n−1) / 0.3 s", renewals}, cborBytes(lease.Grant{Box: "server-0001", Life: 1_000_000, Seq: 1_000_000, For: lease.MeshTerms.Length}), "`fleet/lease`, read index"},
		{"entry of the log", "leader", "each member", Count{"(n−1) for each entry", nil}, 0, "raft"},
		{"answer to an entry", "member", "leader", Count{"(n−1) for each entry", nil}, 0, "raft"},
		{"snapshot", "leader", "a member that joins or fell behind", Count{"each join", nil}, math.Trunc(membersBytes(Target())), "raft"},
		{"join request", "a server that is no member", "the servers of its file in turn", Count{"1 / 1 s for each that waits", nil}, 0, "`fleet/driver`, passed on to the leader once"},
		{"digests of ledger periods", "each server", "each other", Count{"n(n−1) / 10 s", func(s Size) float64 { return others(s) * s.Servers / 10 }}, math.Trunc(peerAnswerBytes(Target())), "`peers`, pull"},
	}
}

func cborBytes(message any) float64 {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // plain structs
	}
	return float64(len(data))
}

// reportPayload is a report without the parts of modules.
func reportPayload() float64 {
	return cborBytes(maintenance.Report{Incarnation: 1000, Heard: 1_790_000_000_000, Capacity: 123.456, Load: 108.123, Warm: true, Open: 10, KeyedUntil: 1_790_000_000_000})
}

func heartbeatPayload(kind raftpb.MessageType) float64 {
	message := &raftpb.Message{Type: &kind, To: proto.Uint64(math.MaxUint64), From: proto.Uint64(math.MaxUint64), Term: proto.Uint64(100), Commit: proto.Uint64(1_000_000)}
	return float64(proto.Size(message))
}

// ledgerDigestBytes is what one more period of one server adds to an answer of a ledger peer.
func ledgerDigestBytes() float64 {
	digest := []ledger.Digest{{Box: "server-0001", Start: 1_790_000_000_000, Seq: 1_000_000, Closed: 1_790_000_000_000, Gone: 1_700_000_000_000}}
	return float64(len(ledger.EncodeDigests(append(digest, digest...))) - len(ledger.EncodeDigests(digest)))
}

// MessagesTable writes the kinds of message at two sizes.
func MessagesTable(kinds []MessageKind, small, large Size) string {
	var lines [][]string
	for _, k := range kinds {
		often, twice := "-", "-"
		if k.Often.Of != nil {
			often, twice = formatNumber(k.Often.Of(small)), formatNumber(k.Often.Of(large))
		}
		payload := "not counted"
		if k.Payload != 0 {
			payload = formatNumber(k.Payload)
		}
		lines = append(lines, []string{k.Name, k.From, k.To, k.Often.Expression, often, twice, payload, k.Mechanism})
	}
	return table([]string{"message", "from", "to", "how often", "a second, all, at " + formatNumber(small.Servers), "at " + formatNumber(large.Servers),
		"bytes of payload at " + formatNumber(small.Servers), "mechanism"}, lines)
}
