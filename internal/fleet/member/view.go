package member

// This file has immutable views of the list of members.

import (
	"cmp"
	"iter"
	"slices"
)

// Members is an immutable list of members, sorted by name. It may be shared between goroutines; its methods return copies.
type Members struct{ list []*Member }

// Len returns the number of members.
func (m Members) Len() int { return len(m.list) }

// At returns member i, with 0 <= i < Len.
func (m Members) At(i int) Member { return *m.list[i] }

// All returns an iterator over the members.
func (m Members) All() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, member := range m.list {
			if !yield(*member) {
				return
			}
		}
	}
}

// Without returns all members except the one with the given name.
func (m Members) Without(name string) Members {
	return Members{slices.DeleteFunc(slices.Clone(m.list), func(x *Member) bool { return x.Name == name })}
}

// View is the list of members at one time, this process included. All callers share one View until a member joins, leaves or
// changes. Values derived from a View stay valid while List.View returns the same pointer.
type View struct {
	Members
	sites    []string // sorted
	bySite   map[string]Members
	hubs     Members
	starting int // agents in phase Starting
}

// NewView returns a view of the given members, whose names must differ.
func NewView(list ...Member) *View {
	var members []*Member
	for i := range list {
		members = append(members, &list[i])
	}
	slices.SortFunc(members, byName)
	return newView(members)
}

// newView returns a view of members, which are sorted by name. It keeps the slice.
func newView(members []*Member) *View {
	v, bySite := &View{Members: Members{members}}, map[string][]*Member{}
	for _, m := range members {
		bySite[m.Site] = append(bySite[m.Site], m)
		switch {
		case m.Hub:
			v.hubs.list = append(v.hubs.list, m)
		case m.Phase == Starting:
			v.starting++
		}
	}
	v.bySite = make(map[string]Members, len(bySite))
	for site, list := range bySite {
		v.sites, v.bySite[site] = append(v.sites, site), Members{list}
	}
	slices.Sort(v.sites)
	return v
}

// ByName returns the member with the given name, and false if there is none.
func (v *View) ByName(name string) (Member, bool) {
	if i, found := findMember(v.list, name); found {
		return *v.list[i], true
	}
	return Member{}, false
}

// Sites returns an iterator over the sites, sorted by name, with the members of each. Members without a site are under "".
func (v *View) Sites() iter.Seq2[string, Members] {
	return func(yield func(string, Members) bool) {
		for _, site := range v.sites {
			if !yield(site, v.bySite[site]) {
				return
			}
		}
	}
}

// InSite returns the members of a site, possibly none.
func (v *View) InSite(site string) Members { return v.bySite[site] }

// Hubs returns an iterator over the members that are hubs.
func (v *View) Hubs() iter.Seq[Member] { return v.hubs.All() }

// AgentCount returns the number of members that are agents, not hubs.
func (v *View) AgentCount() int { return v.Len() - v.hubs.Len() }

// StartingCount returns the number of agents that have no endpoint list yet.
func (v *View) StartingCount() int { return v.starting }

// byName compares members for sorting.
func byName(a, b *Member) int { return cmp.Compare(a.Name, b.Name) }

// findMember returns the position of a member in a sorted list and true, or the position at which to insert the member and
// false.
func findMember(members []*Member, name string) (int, bool) {
	return slices.BinarySearchFunc(members, name, func(m *Member, name string) int { return cmp.Compare(m.Name, name) })
}
