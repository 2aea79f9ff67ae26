package fleet

import (
	"slices"

	"martenbeam/internal/fleet/member"
)

// Members are those that are there, this one included, by name.
func (f *Fleet) Members() []member.Member { return slices.Collect(f.members.View().All()) }

// Count is how many members are there, at the cost of none of them.
func (f *Fleet) Count() int { return f.members.Count() }

// Abort closes the fleet's sockets without a goodbye, as a kill would. Run still has to be ended.
func (f *Fleet) Abort() error { return f.members.Abort() }
