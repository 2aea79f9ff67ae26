package member

import (
	"cmp"
	"iter"
	"slices"
)

// Members is a list of members that nobody can change: who shares one reads copies.
type Members struct{ list []*Member }

func (m Members) Len() int        { return len(m.list) }
func (m Members) At(i int) Member { return *m.list[i] }

func (m Members) All() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, x := range m.list {
			if !yield(*x) {
				return
			}
		}
	}
}

// Without are all but the one of a name.
func (m Members) Without(name string) Members {
	return Members{slices.DeleteFunc(slices.Clone(m.list), func(x *Member) bool { return x.Name == name })}
}

// View is who was there at one time, by name, this member included. All who ask share it until somebody comes, goes or
// changes: what follows from it holds as long as the next that is handed out is the same.
type View struct {
	Members
	sites    []string
	bySite   map[string]Members
	hubs     Members
	starting int
}

// NewView makes a view of members of different names.
func NewView(list ...Member) *View {
	var members []*Member
	for i := range list {
		members = append(members, &list[i])
	}
	slices.SortFunc(members, byName)
	return newView(members)
}

// newView keeps the list, which is in order.
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

// ByName is the member of a name, if it is there.
func (v *View) ByName(name string) (Member, bool) {
	if i, there := findMember(v.list, name); there {
		return *v.list[i], true
	}
	return Member{}, false
}

// Sites are the members of each site, by its name. "" is one, too.
func (v *View) Sites() iter.Seq2[string, Members] {
	return func(yield func(string, Members) bool) {
		for _, site := range v.sites {
			if !yield(site, v.bySite[site]) {
				return
			}
		}
	}
}

// InSite are the members of a site.
func (v *View) InSite(site string) Members { return v.bySite[site] }

// Hubs are the members that are hubs; Agents counts the others.
func (v *View) Hubs() iter.Seq[Member] { return v.hubs.All() }
func (v *View) AgentCount() int        { return v.Len() - v.hubs.Len() }

// StartingCount counts the agents that have no list yet.
func (v *View) StartingCount() int { return v.starting }

func byName(a, b *Member) int { return cmp.Compare(a.Name, b.Name) }

func findMember(members []*Member, name string) (int, bool) {
	return slices.BinarySearchFunc(members, name, func(m *Member, name string) int { return cmp.Compare(m.Name, name) })
}
