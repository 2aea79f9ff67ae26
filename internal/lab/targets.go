package lab

// The processes and backends that a fault applies to.

import (
	"fmt"
	"math"
	"slices"

	"martenbeam/internal/lab/model"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/scenario"
)

// pickFrom returns the numbers, from 0 to n-1, of the processes in a set. If the set is a share, the random stream of the fault
// determines the choice.
func (l *Lab) pickFrom(fault int, set scenario.Set, n int, zone func(int) int) (list []int) {
	for i := range n {
		if set.Contains(i, zone(i)) {
			list = append(list, i)
		}
	}
	if set.Share < 1 {
		count := int(math.Round(set.Share * float64(len(list))))
		if set.Share > 0 {
			count = max(1, count)
		}
		r := l.rng.Stream(fmt.Sprintf("fault/%d/%s", fault, set.Kind))
		r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:min(count, len(list))]
		slices.Sort(list)
	}
	return list
}

func (l *Lab) pickAgents(fault int, text string) (list []*agent) {
	set, _ := scenario.ParseSet(text) // was checked with the scenario
	for _, n := range l.pickFrom(fault, set, len(l.agents), func(n int) int { return l.zone(endpointOf(netfault.Agent, n)) }) {
		list = append(list, l.agents[n])
	}
	return list
}

// pickHubs returns the hubs in a set.
func (l *Lab) pickHubs(fault int, text string) (list []*hub) {
	set, _ := scenario.ParseSet(text) // was checked with the scenario
	for _, n := range l.pickFrom(fault, set, len(l.hubs), func(n int) int { return l.zone(endpointOf(netfault.Hub, n)) }) {
		list = append(list, l.hubs[n])
	}
	return list
}

// pickProcesses returns the agents or hubs in a set.
func (l *Lab) pickProcesses(fault int, text string) (list []*process) {
	if set, _ := scenario.ParseSet(text); set.Kind == "hubs" {
		for _, h := range l.pickHubs(fault, text) {
			list = append(list, &h.process)
		}
		return list
	}
	for _, a := range l.pickAgents(fault, text) {
		list = append(list, &a.process)
	}
	return list
}

// pickHosts returns the backends in a set, considering only backends that are up.
func (l *Lab) pickHosts(fault int, text string) (list []*host) {
	set, _ := scenario.ParseSet(text)
	var available []*host
	for _, h := range l.hosts {
		if !h.ended && h.machine.State == model.Up {
			available = append(available, h)
		}
	}
	for _, n := range l.pickFrom(fault, set, len(available), func(n int) int { return available[n].machine.Zone }) {
		list = append(list, available[n])
	}
	return list
}
