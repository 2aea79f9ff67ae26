package balancer

import (
	"encoding/binary"
	"math"
	"time"
)

// The gossip wire form: what agents send each other, in at most maxMessageSize bytes. Nothing is decided here.

const (
	maxMessageSize  = 256  // bytes
	headerSize      = 8    // bytes before the observations
	observationSize = 5    // bytes: key 3, value 1, age 1
	ratioSteps      = 31.0 // steps per multiple of the expected latency: 8 multiples fit below valueLate
	valueLate       = 254  // value of an overdue attempt
	valueFailed     = 255  // value of a failed attempt
	drainedFlag     = 1    // in the byte after the observations: the sender's clients were moved elsewhere
	maxLossZones    = 16   // zones that a message can report as lost, in the two bytes after that
	ageSteps        = 32   // age steps per unit (the longest objective); an observation expires after eight units
)

// observation is one outcome at a backend: its latency as a multiple of the expected one, in steps of 1/ratioSteps, or
// valueLate or valueFailed.
type observation struct {
	key        uint32
	value      byte
	observedAt time.Duration
}

// gossipMessage is what an agent tells its peers about itself and about backends.
type gossipMessage struct {
	demand, latencyRatio float64
	observations         []observation
	drained              bool   // the demand is of clients that operators have moved elsewhere
	lostZones            uint16 // zones that the sender found lost on its own evidence, one bit each
}

// encode writes the header and as many observations as fit: failures first, and the newest first. Ages are rounded up,
// so that no observation gets younger on its way.
func (m gossipMessage) encode(now, unit time.Duration) []byte {
	data := binary.BigEndian.AppendUint32(make([]byte, 0, maxMessageSize), math.Float32bits(float32(m.demand)))
	data = binary.BigEndian.AppendUint32(data, math.Float32bits(float32(m.latencyRatio)))
	for _, failed := range []bool{true, false} {
		for i := len(m.observations) - 1; i >= 0 && len(data)+observationSize < maxMessageSize; i-- {
			entry := m.observations[i]
			age := (now-entry.observedAt)*ageSteps/unit + 1
			if age <= math.MaxUint8 && (entry.value == valueFailed) == failed {
				data = binary.BigEndian.AppendUint32(data, entry.key<<8|uint32(entry.value))
				data = append(data, byte(age))
			}
		}
	}
	if m.drained || m.lostZones != 0 { // shorter than an observation: receivers that don't know it skip it
		flags := byte(0)
		if m.drained {
			flags = drainedFlag
		}
		data = append(data, flags)
	}
	if m.lostZones != 0 {
		data = binary.BigEndian.AppendUint16(data, m.lostZones)
	}
	return data
}

// decode reads a message. It returns false if the header is short or holds no valid numbers.
func decode(data []byte, now, unit time.Duration) (m gossipMessage, ok bool) {
	if len(data) < headerSize {
		return m, false
	}
	m.demand = float64(math.Float32frombits(binary.BigEndian.Uint32(data)))
	m.latencyRatio = float64(math.Float32frombits(binary.BigEndian.Uint32(data[4:])))
	for data = data[headerSize:]; len(data) >= observationSize; data = data[observationSize:] {
		m.observations = append(m.observations, observation{key: binary.BigEndian.Uint32(data) >> 8, value: data[3],
			observedAt: now - time.Duration(data[4])*unit/ageSteps})
	}
	if len(data) == 1 || len(data) == 3 {
		m.drained = data[0] == drainedFlag
	}
	if len(data) == 3 {
		m.lostZones = binary.BigEndian.Uint16(data[1:])
	}
	return m, m.demand >= 0 && m.demand <= math.MaxFloat32 && m.latencyRatio >= 0 && m.latencyRatio <= math.MaxFloat32
}

// gossipKey is a short hash (FNV-1a with a finalizer) of a backend's ID. Two backends with one key share their
// observations.
func gossipKey(id string) uint32 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	h = (h ^ h>>16) * 0x85ebca6b // IDs differ in their last bytes: spread that over all bits
	h = (h ^ h>>13) * 0xc2b2ae35
	return (h ^ h>>16) >> 8
}

// recordObservation keeps an observation for peers. Departure: an agent with a sparse quota meets each backend too
// seldom to learn its speed or its death by itself. Where agents may exchange messages it passes on what it saw and
// what it was told for a few objectives, with one message to one peer for every few outcomes.
func (b *Balancer) recordObservation(n observation) {
	if backend := b.byGossipKey[n.key]; backend != nil {
		backend.observedAt = n.observedAt
	}
	b.observations = append(b.observations[max(0, len(b.observations)+1-maxObservations):], n)
}

func (b *Balancer) sendGossip(notes []observation, step int) {
	data := b.gossipStatus(notes).encode(b.now, b.maxObjective)
	b.actions = append(b.actions, SendGossip{To: (b.settings.Self + step) % b.settings.Balancers, Data: data})
}

// gossipStatus is the message to peers, with the given observations.
func (b *Balancer) gossipStatus(notes []observation) gossipMessage {
	m := gossipMessage{demand: b.demand.steady(b.now), latencyRatio: b.limiter.latencyRatio, observations: notes,
		lostZones: b.zones.recentlyLost(b.now, b.maxObjective)}
	if b.drainedDemand > 0 {
		m.demand, m.drained = b.drainedDemand, true
	}
	return m
}
