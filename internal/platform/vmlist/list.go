package vmlist

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// List is the VM list as of one poll.
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
	// Domain is the name of the failure domain.
	Domain string
	// Leaving reports whether the VM is being reclaimed or stopped.
	Leaving bool
}

// Kind is the kind of server that a VM runs.
type Kind string

// The kinds of VMs that a [List] contains.
const (
	KindEntry   Kind = "Entry"
	KindBackend Kind = "Backend"
)

// State is the platform's state of a VM.
type State string

// The states of a VM.
const (
	StateRunning State = "Running"
	StateLeaving State = "Leaving"
)

// Decode decodes a list from a JSON document.
//
// It returns an error for the whole document if a VM has no name, an unknown state, or
// no time in state Leaving. Otherwise a list in an unexpected form would be taken for a
// list in which no VM is leaving.
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
		return List{}, fmt.Errorf("VM list has no Vms array")
	}
	var list List
	for i, vm := range message.Vms {
		if vm.Name == "" {
			return List{}, fmt.Errorf("VM at index %d of the list has no Name", i)
		}
		if vm.State != StateRunning && vm.State != StateLeaving {
			return List{}, fmt.Errorf("VM %s has unknown State %q", vm.Name, vm.State)
		}
		leaving := vm.State == StateLeaving
		if leaving && vm.LeavingSince.IsZero() {
			return List{}, fmt.Errorf("VM %s has State Leaving but no LeavingSince", vm.Name)
		}
		switch vm.Kind {
		case KindEntry:
			listing := membership.Listing{Name: vm.Name, Profile: membership.Profile{Address: vm.Address, Domain: vm.Domain, Region: vm.Region}}
			if leaving {
				listing.LeavingSince = vm.LeavingSince.UnixNano()
			}
			list.Entries = append(list.Entries, listing)
		case KindBackend:
			list.Backends = append(list.Backends, Backend{
				Name:        vm.Name,
				Incarnation: vm.Started.UnixNano(),
				Address:     vm.Address,
				Domain:      vm.Domain,
				Leaving:     leaving,
			})
		}
	}
	return list, nil
}
