package balancer

// The gossip codec: the wire format of messages between agents, at most maxMessageSize bytes each.

import (
	"encoding/binary"
	"math"
	"time"
)

const (
	maxMessageSize  = 256 // bytes
	headerSize      = 8   // bytes before the observations
	observationSize = 5   // bytes: key 3, value 1, age 1
	drainedFlag     = 1   // value of the byte after the observations if operators have drained the sender
	maxLossZones    = 16  // zones that a message can report as lost, in the two bytes after drainedFlag
	ageSteps        = 32  // age steps per unit (the longest objective); an observation expires after eight units
)

// gossipMessage is one message: an agent's report about itself, about backends and about zones.
type gossipMessage struct {
	demand, latencyRatio float64
	observations         []observation
	drained              bool   // operators have drained the sender; demand is the demand of its clients before the drain
	lostZones            uint16 // zones that the sender found lost on its own evidence, one bit each
}

// encode returns the message on the wire: the header, the observations, the drained flag and the lost zones. Failures
// come before other observations, each group newest first. encode omits observations that have expired or don't fit.
// Ages are rounded up, so that no observation gets younger in transit.
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
	if m.drained || m.lostZones != 0 { // these bytes are shorter than an observation, so older receivers skip them
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

// decode parses a message. It returns false if the header is truncated or its numbers are negative or not finite.
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
