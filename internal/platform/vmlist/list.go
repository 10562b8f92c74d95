package vmlist

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// List is the VM list at one poll.
type List struct {
	Entries  []membership.Listing
	Backends []Backend
}

// Backend is a VM that runs a backend server.
type Backend struct {
	Name string
	// Incarnation is the start time of the VM in nanoseconds since the Unix epoch.
	Incarnation int64
	// Address is the IP address and port for requests.
	Address string
	// Domain names the failure domain.
	Domain string
	// Leaving reports that the VM is being reclaimed or stopped.
	Leaving bool
}

// Kind says what runs on a VM.
type Kind string

// The kinds of VMs that matter here.
const (
	KindEntry   Kind = "Entry"
	KindBackend Kind = "Backend"
)

// State is the life of a VM as the platform sees it.
type State string

// The states of a VM.
const (
	StateRunning State = "Running"
	StateLeaving State = "Leaving"
)

// Decode returns the list in a JSON document.
//
// It refuses the whole document for a VM without a name or an unknown state: a
// list in an unexpected form must not pass for one in which nothing is leaving.
func Decode(document []byte) (List, error) {
	var message struct {
		Vms []struct {
			Name         string
			Kind         Kind
			Address      string
			Domain       string
			Region       string
			State        State
			Started      time.Time
			LeavingSince time.Time
		}
	}
	if err := json.Unmarshal(document, &message); err != nil {
		return List{}, err
	}
	if message.Vms == nil {
		return List{}, fmt.Errorf("document without Vms")
	}
	var list List
	for i, row := range message.Vms {
		if row.Name == "" {
			return List{}, fmt.Errorf("VM %d has no name", i)
		}
		if row.State != StateRunning && row.State != StateLeaving {
			return List{}, fmt.Errorf("VM %s is in unknown state %q", row.Name, row.State)
		}
		leaving := row.State == StateLeaving
		if leaving && row.LeavingSince.IsZero() {
			return List{}, fmt.Errorf("VM %s is leaving without a time", row.Name)
		}
		switch row.Kind {
		case KindEntry:
			listing := membership.Listing{Name: row.Name, Profile: membership.Profile{Address: row.Address, Domain: row.Domain, Region: row.Region}}
			if leaving {
				listing.LeavingSince = row.LeavingSince.UnixNano()
			}
			list.Entries = append(list.Entries, listing)
		case KindBackend:
			list.Backends = append(list.Backends, Backend{
				Name:        row.Name,
				Incarnation: row.Started.UnixNano(),
				Address:     row.Address,
				Domain:      row.Domain,
				Leaving:     leaving,
			})
		}
	}
	return list, nil
}
