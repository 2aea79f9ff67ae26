package member

// This file tests views and the callbacks of memberlist that change them.

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/hashicorp/memberlist"
)

// newIdleList returns a list that is not run.
func newIdleList(t *testing.T) *List {
	t.Helper()
	l, err := New(Config{Name: "m", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Log: slog.New(slog.DiscardHandler),
		Changed: func() {}, Meta: Meta{Site: "a"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Abort() })
	return l
}

// newNode returns a node as memberlist reports it.
func newNode(name string) *memberlist.Node {
	return &memberlist.Node{Name: name, Addr: []byte{127, 0, 0, 1}, Port: 1}
}

// View returns the same view, without an allocation, until a member joins, leaves or changes. Older views stay unchanged.
func TestViewIsSharedUntilMembershipChanges(t *testing.T) {
	l := newIdleList(t)
	d := (*delegate)(l)
	names := func(v *View) (s string) {
		for m := range v.All() {
			s += m.Name
		}
		return s
	}
	steps := []struct {
		do   func()
		want string
	}{
		{func() {}, "m"},
		{func() {
			d.NotifyJoin(newNode("z"))
			d.NotifyJoin(newNode("b"))
			self := newNode("m")
			self.Meta = d.NodeMeta(512)
			d.NotifyJoin(self)
		}, "bmz"},
		{func() { n := newNode("b"); n.State = memberlist.StateDead; d.NotifyLeave(n) }, "mz"},
		{func() { n := newNode("z"); n.State = memberlist.StateLeft; d.NotifyLeave(n) }, "m"},
		{func() { d.NotifyLeave(newNode("m")) }, "m"},
		{func() { d.NotifyJoin(newNode("b")) }, "bm"},
		{func() { d.NotifyUpdate(newNode("b")); l.SetPhase(Serving) }, "bm"},
	}
	for i, s := range steps {
		older := l.View()
		namesBefore := names(older)
		s.do()
		v := l.View()
		if names(v) != s.want || names(older) != namesBefore {
			t.Errorf("step %d: members %s, want %s; the older view has members %s, want %s", i, names(v), s.want, names(older), namesBefore)
		}
		if n := testing.AllocsPerRun(10, func() {
			if l.View() != v || l.FailedToCheck(2) != nil && i != 2 && i != 3 && i != 4 {
				t.Errorf("step %d: got another view although nothing changed, or failed members although none failed", i)
			}
		}); n > 1 { // the slice that FailedToCheck returns
			t.Errorf("step %d: got %v allocations for a view, want at most 1", i, n)
		}
	}
	if v := l.View(); v.StartingCount() != 1 || v.InSite("").Len() != 1 || v.InSite("a").Len() != 1 {
		t.Errorf("got %d starting members, %d without a site and %d in site a, want 1 of each", v.StartingCount(), v.InSite("").Len(), v.InSite("a").Len())
	}
	if m, found := l.View().ByName("m"); !found || m.Phase != Serving {
		t.Errorf("got member %+v, want phase Serving", m)
	}
}

// View is built once after many joins in a row, on the next call of View.
func TestManyJoinsBuildOneView(t *testing.T) {
	l := newIdleList(t)
	const n = 1800
	before := l.View()
	allocsPerJoin := testing.AllocsPerRun(1, func() {
		for i := range n {
			(*delegate)(l).NotifyJoin(newNode(fmt.Sprint("n", i)))
		}
	}) / n
	if l.view != nil || allocsPerJoin > 20 {
		t.Errorf("got view %p and %v allocations for each member that joins, want no view and at most 20", l.view, allocsPerJoin)
	}
	if v := l.View(); v.Len() != n+1 || before.Len() != 1 {
		t.Errorf("got %d members, and %d in the older view, want %d and 1", v.Len(), before.Len(), n+1)
	}
}
