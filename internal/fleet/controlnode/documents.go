package controlnode

import (
	"larchscale/internal/fleet/agree"
	"larchscale/internal/fleet/driver"
)

// documents is the module with the agreed configuration.
type documents struct {
	*agree.Agreed[identity, identityEntry, *identity]
	baseModule
	node *Node
	host *driver.Host
}

func newDocuments(n *Node) *documents {
	return &documents{Agreed: agree.NewAgreed[identity, identityEntry](configurationPart), node: n}
}

// Begin implements driver.Module.
func (d *documents) Begin(h *driver.Host) { d.host = h }

func (d *documents) each(func(key string, revision uint64, value []byte)) {}

func (d *documents) newest() uint64 { return 0 }
