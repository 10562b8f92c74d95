package vmlist

import (
	"encoding/json"
	"fmt"
	"math"
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

// vm is a VM of the document.
type vm struct {
	Name         string
	Kind         Kind
	Address      string
	Domain       string
	Region       string
	State        State
	Started      time.Time
	LeavingSince time.Time
}

// check returns an error for an unknown state, or a time that is missing or cannot be given in nanoseconds.
func (vm vm) check() error {
	switch {
	case vm.State != StateRunning && vm.State != StateLeaving:
		return fmt.Errorf("VM %s has unknown State %q", vm.Name, vm.State)
	case vm.State == StateLeaving && !hasNanoseconds(vm.LeavingSince):
		return fmt.Errorf("VM %s has State Leaving and LeavingSince %v", vm.Name, vm.LeavingSince)
	case vm.Kind == KindBackend && !hasNanoseconds(vm.Started):
		return fmt.Errorf("VM %s of a backend server has Started %v", vm.Name, vm.Started)
	}
	return nil
}

// Decode decodes a list from a JSON document.
//
// It returns an error for the whole document if a VM has no name, the name of another or an unknown state, if one that is leaving has no
// valid LeavingSince, or if a backend server has no valid Started. Otherwise a list in an unexpected form would be taken for a list in
// which no VM is leaving, or in which other incarnations are.
func Decode(document []byte) (List, error) {
	var message struct{ Vms []vm }
	if err := json.Unmarshal(document, &message); err != nil {
		return List{}, err
	}
	if message.Vms == nil {
		return List{}, fmt.Errorf("VM list has no Vms array")
	}
	var list List
	names := make(map[string]bool, len(message.Vms))
	for i, vm := range message.Vms {
		if vm.Name == "" {
			return List{}, fmt.Errorf("VM at index %d of the list has no Name", i)
		}
		if names[vm.Name] {
			return List{}, fmt.Errorf("VM %s is in the list twice", vm.Name)
		}
		names[vm.Name] = true
		if err := vm.check(); err != nil {
			return List{}, err
		}
		leaving := vm.State == StateLeaving
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

// hasNanoseconds reports whether a time from 1970 on can be given in nanoseconds since then, which is undefined for others.
func hasNanoseconds(at time.Time) bool {
	return at.Unix() >= 0 && at.Unix() < math.MaxInt64/int64(time.Second)
}
