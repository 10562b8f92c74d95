package vm

import (
	"maps"
	"slices"
	"strings"
)

// View is the membership as one entry knows it.
type View struct {
	members map[string]Member
	live    []Member
}

// Listing is one entry in the platform's VM list.
type Listing struct {
	Name string
	Profile
	// LeavingSince is when the leave notice was given, in nanoseconds since the
	// Unix epoch, and 0 for a VM that is not leaving.
	LeavingSince int64
}

// Member returns the entry of that name.
func (view View) Member(name string) (Member, bool) {
	member, ok := view.members[name]
	return member, ok
}

// Members returns all known entries by name, which the caller must not change.
func (view View) Members() map[string]Member { return view.members }

// Live returns the live entries by name, which the caller must not change.
func (view View) Live() []Member { return view.live }

// Merge returns the least view that includes both views.
func (view View) Merge(other View) View {
	return view.WithMembers(slices.Collect(maps.Values(other.members))...)
}

// WithMembers returns the view joined with records, in whichever order they come.
func (view View) WithMembers(members ...Member) View {
	var changed map[string]Member
	for _, member := range members {
		known, ok := view.members[member.Name]
		if later, found := changed[member.Name]; found {
			known, ok = later, true
		}
		next := member
		if ok {
			next = known.Merge(member)
		}
		if ok && next == known {
			continue
		}
		if changed == nil {
			changed = map[string]Member{}
		}
		changed[member.Name] = next
	}
	if changed == nil {
		return view
	}
	next := maps.Clone(view.members)
	if next == nil {
		next = map[string]Member{}
	}
	maps.Copy(next, changed)
	return sealed(next)
}

// WithListings returns the view joined with the VM list.
//
// The list lags, so a listed VM adds an entry only when none is known under its
// name, and a missing one proves nothing. A leave notice concerns the
// incarnations that started before it; a later one is the VM's replacement.
func (view View) WithListings(listings []Listing) View {
	var members []Member
	for _, listing := range listings {
		member, ok := view.members[listing.Name]
		if !ok {
			member = Member{Origin: Origin{Name: listing.Name}, Profile: listing.Profile, Condition: ConditionAlive}
		}
		if listing.LeavingSince > member.Incarnation.Start {
			member = member.WithLeaving()
		}
		members = append(members, member)
	}
	return view.WithMembers(members...)
}

// Without returns the view without the named entries.
func (view View) Without(names ...string) View {
	if len(names) == 0 {
		return view
	}
	next := maps.Clone(view.members)
	for _, name := range names {
		delete(next, name)
	}
	return sealed(next)
}

// sealed works out the live entries once, since shards are assigned far more often than members change.
func sealed(members map[string]Member) View {
	live := make([]Member, 0, len(members))
	for _, member := range members {
		if member.Status() == StatusAlive {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return View{members: members, live: live}
}
