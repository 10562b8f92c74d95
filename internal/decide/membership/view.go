package membership

import (
	"iter"
	"maps"
	"slices"
)

// View is the membership as one entry knows it.
//
// A change copies the map of pointers (about 10 KB at 420 entries); the names of
// the live entries are shared with the old view unless one came or went.
type View struct {
	members map[string]*Member
	live    []string
	// running adds the entries that are leaving but not doubted.
	running []string
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
	if !ok {
		return Member{}, false
	}
	return *member, true
}

// All yields all known entries by name, in no particular order.
func (view View) All() iter.Seq2[string, Member] {
	return func(yield func(string, Member) bool) {
		for name, member := range view.members {
			if !yield(name, *member) {
				return
			}
		}
	}
}

// Live returns the sorted names of the live entries, which the caller must not change.
func (view View) Live() []string { return view.live }

// Merge returns the least view that includes both views.
func (view View) Merge(other View) View {
	var members []Member
	for _, member := range other.All() {
		members = append(members, member)
	}
	return view.WithMembers(members...)
}

// WithMembers returns the view joined with records, in whichever order they come.
func (view View) WithMembers(members ...Member) View {
	next := View{live: view.live, running: view.running}
	turned := false
	for _, member := range members {
		known, ok := view.members[member.Name]
		if next.members != nil {
			known, ok = next.members[member.Name]
		}
		if ok {
			member = known.Merge(member)
		}
		if ok && member == *known {
			continue
		}
		if next.members == nil {
			next.members = cloned(view.members)
		}
		next.members[member.Name] = &member
		turned = turned || !ok || known.Status() != member.Status() || known.Condition != member.Condition
	}
	if next.members == nil {
		return view
	}
	if turned {
		return sealed(next.members)
	}
	return next
}

// WithListings returns the view joined with the VM list.
//
// The list lags, so a listed VM adds an entry only when none is known under its
// name, and a missing one proves nothing. A leave notice concerns the
// incarnations that started before it; a later one is the VM's replacement.
func (view View) WithListings(listings []Listing) View {
	var members []Member
	for _, listing := range listings {
		member, ok := view.Member(listing.Name)
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
	next := cloned(view.members)
	for _, name := range names {
		delete(next, name)
	}
	return sealed(next)
}

func cloned(members map[string]*Member) map[string]*Member {
	if members == nil {
		return map[string]*Member{}
	}
	return maps.Clone(members)
}

func sealed(members map[string]*Member) View {
	view := View{members: members}
	for name, member := range members {
		if member.Condition == ConditionAlive {
			view.running = append(view.running, name)
		}
		if member.Status() == StatusAlive {
			view.live = append(view.live, name)
		}
	}
	slices.Sort(view.running)
	slices.Sort(view.live)
	return view
}
