package wire

// Decoding the messages of a batch into events.

import (
	"encoding/hex"
	"errors"
	"fmt"

	"martenbeam/balancer"
)

// decodeEvent appends the event of a message to a batch. A DefineList message adds no event: its list is stored for later
// View messages.
func (r *Reader) decodeEvent(batch *Batch, msg *message) error {
	if msg.Kind == "DefineList" {
		return r.defineList(msg)
	}
	event := Event{Line: r.line}
	var err error
	switch msg.Kind {
	case "OpenInstance":
		event.Open, err = decodeOpenInstance(msg)
	case "Retire":
		event.Retire = true
	case "View":
		event.Event, err = r.decodeView(msg)
	default:
		event.Event, err = decodeInstanceEvent(msg)
	}
	if err != nil {
		return err
	}
	if msg.Agent == nil {
		return errors.New("missing Agent")
	}
	event.Agent = *msg.Agent
	if err := r.trackInstance(event); err != nil {
		return err
	}
	batch.Events = append(batch.Events, event)
	return nil
}

// trackInstance records which instances are open, and rejects a request whose class its instance does not have.
func (r *Reader) trackInstance(event Event) error {
	classes, isOpen := r.classCounts[event.Agent]
	request, isRequest := event.Event.(balancer.Request)
	switch {
	case event.Open != nil:
		r.classCounts[event.Agent] = len(event.Open.Settings.Classes)
	case event.Retire:
		delete(r.classCounts, event.Agent)
	case isRequest && isOpen && (request.Class < 0 || request.Class >= classes):
		return fmt.Errorf("TierClass: unknown class %d", request.Class)
	}
	return nil
}

func decodeOpenInstance(msg *message) (*OpenInstance, error) {
	if msg.RandomSeed == nil || msg.Facts == nil {
		return nil, errors.New("missing RandomSeed or Facts")
	}
	settings, _, err := ParseSettings(msg.Facts)
	if err != nil {
		return nil, fmt.Errorf("Facts: %w", err) //lint:ignore ST1005 begins with the name of a field
	}
	return &OpenInstance{Seed: *msg.RandomSeed, Settings: settings}, nil
}

// decodeInstanceEvent decodes the event messages other than OpenInstance, Retire and View.
func decodeInstanceEvent(msg *message) (balancer.Event, error) {
	switch msg.Kind {
	case "Submit":
		return decodeSubmit(msg)
	case "Ended":
		return decodeEnded(msg)
	case "ProbeDone":
		return decodeProbeDone(msg)
	case "Streaming":
		if msg.Job == nil || msg.SendNo == nil {
			return nil, errors.New("missing Job or SendNo")
		}
		return balancer.ResponseStarted{Request: *msg.Job, Attempt: *msg.SendNo}, nil
	case "Expired":
		if msg.Job == nil {
			return nil, errors.New("missing Job")
		}
		return balancer.Abandoned{Request: *msg.Job}, nil
	case "Reminder":
		if msg.Cookie == nil {
			return nil, errors.New("missing Cookie")
		}
		return balancer.TimerFired{Token: *msg.Cookie}, nil
	case "Peer":
		return decodePeer(msg)
	}
	return nil, errors.New("unknown message")
}

func decodeSubmit(msg *message) (balancer.Event, error) {
	if msg.Job == nil || msg.TierClass == nil || msg.GraceMs == nil {
		return nil, errors.New("missing Job, TierClass or GraceMs")
	}
	request := balancer.Request{ID: *msg.Job, Class: *msg.TierClass, TimeRemaining: fromMillis(*msg.GraceMs),
		ClientRetry: msg.StateBits&stateClientRetry != 0, AffinityKey: AffinityKey(msg.Item)}
	if msg.StateBits&stateWorkHintValid != 0 {
		request.Work = fromMillis(msg.WorkHintMs)
	}
	return request, nil
}

func decodeEnded(msg *message) (balancer.Event, error) {
	if msg.Job == nil || msg.Outcome == nil || msg.SendNo == nil || msg.Backend == nil || msg.WaitTimeMs == nil {
		return nil, errors.New("missing Job, Outcome, SendNo, Backend or WaitTimeMs")
	}
	result, ok := resultsByOutcome[*msg.Outcome]
	if !ok {
		return nil, fmt.Errorf("unknown Outcome %q", *msg.Outcome)
	}
	return balancer.Outcome{Request: *msg.Job, Attempt: *msg.SendNo, Backend: *msg.Backend, Result: result,
		Latency: fromMillis(*msg.WaitTimeMs), Done: msg.Ended, Load: ParseLoad(msg.Usage)}, nil
}

func decodeProbeDone(msg *message) (balancer.Event, error) {
	if msg.Backend == nil || msg.Outcome == nil || msg.WaitTimeMs == nil {
		return nil, errors.New("missing Backend, Outcome or WaitTimeMs")
	}
	result, ok := resultsByOutcome[*msg.Outcome]
	if !ok {
		return nil, fmt.Errorf("unknown Outcome %q", *msg.Outcome)
	}
	return balancer.ProbeResult{Backend: *msg.Backend, Result: result,
		Latency: fromMillis(*msg.WaitTimeMs), Load: ParseLoad(msg.Usage)}, nil
}

func decodePeer(msg *message) (balancer.Event, error) {
	if msg.From == nil || msg.PeerData == nil {
		return nil, errors.New("missing From or Msg")
	}
	data, err := hex.DecodeString(*msg.PeerData)
	if err != nil {
		return nil, fmt.Errorf("Msg: %w", err) //lint:ignore ST1005 begins with the name of a field
	}
	return balancer.GossipReceived{From: *msg.From, Data: data}, nil
}

// defineList stores an endpoint list under its number, for the View messages that refer to it.
func (r *Reader) defineList(msg *message) error {
	if msg.Sheet == nil || msg.Items == nil {
		return errors.New("missing Sheet or Items")
	}
	backends := make([]balancer.Backend, 0, len(*msg.Items))
	for _, item := range *msg.Items {
		state, ok := backendStates[item.Availability]
		if !ok {
			return fmt.Errorf("unknown Availability %q", item.Availability)
		}
		if item.Backend == "" {
			return errors.New("missing Backend")
		}
		backends = append(backends, balancer.Backend{ID: item.Backend, State: state, Zone: item.Dc, Cell: item.Block,
			Kind: item.Sku, Weight: item.Rating, Started: fromMillis(item.LaunchedMs)})
	}
	r.endpointLists[*msg.Sheet] = backends
	return nil
}

// decodeView decodes an endpoint update. Unless discovery failed, the message has the number of an endpoint list from an
// earlier DefineList message.
func (r *Reader) decodeView(msg *message) (balancer.Event, error) {
	if msg.How == nil {
		return nil, errors.New("missing How")
	}
	kind, ok := updateKinds[*msg.How]
	if !ok {
		return nil, fmt.Errorf("unknown How %q", *msg.How)
	}
	if kind == balancer.UpdateFailed {
		return balancer.EndpointUpdate{Kind: kind}, nil
	}
	if msg.Sheet == nil {
		return nil, errors.New("missing Sheet")
	}
	backends, ok := r.endpointLists[*msg.Sheet]
	if !ok {
		return nil, fmt.Errorf("Sheet %d is not defined", *msg.Sheet) //lint:ignore ST1005 begins with the name of a field
	}
	return balancer.EndpointUpdate{Kind: kind, Backends: backends}, nil
}
