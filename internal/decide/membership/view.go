package membership

import (
	"iter"
	"maps"
	"slices"
)

// View is the membership as recorded by one entry. It is immutable, and the zero value is empty.
//
// A change copies the map of pointers (about 10 KB with 420 entries); the slices of
// names are shared with the old view unless the status or condition of an entry changed.
type View struct {
	members map[string]*Member
	// live are the sorted names of the entries with StatusAlive.
	live []string
	// reachable are the sorted names of live and leaving entries, without those that are suspect or gone.
	reachable []string
}

// Listing is one entry in the platform's VM list.
type Listing struct {
	Name string
	Profile
	// LeavingSince is when the platform announced that the VM leaves, in nanoseconds
	// since the Unix epoch, and 0 for a VM that is not leaving.
	LeavingSince int64
}

// Member returns the record of the entry with that name, or false if there is none.
func (view View) Member(name string) (Member, bool) {
	member, ok := view.members[name]
	if !ok {
		return Member{}, false
	}
	return *member, true
}

// All yields all recorded entries by name, in no particular order.
func (view View) All() iter.Seq2[string, Member] {
	return func(yield func(string, Member) bool) {
		for name, member := range view.members {
			if !yield(name, *member) {
				return
			}
		}
	}
}

// Live returns the sorted names of the entries that are alive and not leaving. The caller must not change
// the slice.
func (view View) Live() []string { return view.live }

// Merge returns the least upper bound of two views: every entry in either, with its records merged by
// [Member.Merge].
func (view View) Merge(other View) View {
	var members []Member
	for _, member := range other.All() {
		members = append(members, member)
	}
	return view.WithMembers(members...)
}

// WithMembers returns the view merged with records; their order does not matter.
func (view View) WithMembers(members ...Member) View {
	next := View{live: view.live, reachable: view.reachable}
	statusChanged := false
	for _, member := range members {
		current, ok := view.members[member.Name]
		if next.members != nil {
			current, ok = next.members[member.Name]
		}
		if ok {
			member = current.Merge(member)
		}
		if ok && member == *current {
			continue
		}
		if next.members == nil {
			next.members = cloneMembers(view.members)
		}
		next.members[member.Name] = &member
		statusChanged = statusChanged || !ok || current.Status() != member.Status() || current.Condition != member.Condition
	}
	if next.members == nil {
		return view
	}
	if statusChanged {
		return newView(next.members)
	}
	return next
}

// WithListings returns the view merged with the VM list.
//
// The list lags behind, so a listed VM adds an entry only if the view has none of that
// name, and a VM that is missing from the list does not remove its entry. A leave notice
// concerns the incarnations that started before it; one that started later runs on the
// VM's replacement.
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
	next := cloneMembers(view.members)
	for _, name := range names {
		delete(next, name)
	}
	return newView(next)
}

func cloneMembers(members map[string]*Member) map[string]*Member {
	if members == nil {
		return map[string]*Member{}
	}
	return maps.Clone(members)
}

// newView returns the view of the members with its lists of names computed.
func newView(members map[string]*Member) View {
	view := View{members: members}
	for name, member := range members {
		if member.Condition == ConditionAlive {
			view.reachable = append(view.reachable, name)
		}
		if member.Status() == StatusAlive {
			view.live = append(view.live, name)
		}
	}
	slices.Sort(view.reachable)
	slices.Sort(view.live)
	return view
}
