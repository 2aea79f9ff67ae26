package wire

import (
	"encoding/hex"
	"errors"
	"fmt"

	"martenbeam/balancer"
)

func (r *Reader) decodeEvent(batch *Batch, msg *message) error {
	if msg.Kind == "DefineList" {
		return r.defineList(msg)
	}
	event := Event{Line: r.line}
	var err error
	switch msg.Kind {
	case "OpenInstance":
		if msg.RandomSeed == nil || msg.Facts == nil {
			return errors.New("missing RandomSeed or Facts")
		}
		event.Open = &OpenInstance{Seed: *msg.RandomSeed}
		if event.Open.Settings, _, err = ParseSettings(msg.Facts); err != nil {
			err = fmt.Errorf("Facts: %w", err) //lint:ignore ST1005 begins with the name of a field
		}
	case "Retire":
		event.Retire = true
	case "View":
		event.Event, err = r.endpointUpdate(msg)
	case "Submit":
		if msg.Job == nil || msg.TierClass == nil || msg.GraceMs == nil {
			return errors.New("missing Job, TierClass or GraceMs")
		}
		request := balancer.Request{ID: *msg.Job, Class: *msg.TierClass, TimeRemaining: fromMillis(*msg.GraceMs),
			ClientRetry: msg.StateBits&stateClientRetry != 0, AffinityKey: AffinityKey(msg.Item)}
		if msg.StateBits&stateWorkHintValid != 0 {
			request.Work = fromMillis(msg.WorkHintMs)
		}
		event.Event = request
	case "Ended":
		if msg.Job == nil || msg.Outcome == nil || msg.SendNo == nil || msg.Backend == nil || msg.WaitTimeMs == nil {
			return errors.New("missing Job, Outcome, SendNo, Backend or WaitTimeMs")
		}
		result, ok := resultsByOutcome[*msg.Outcome]
		if !ok {
			return fmt.Errorf("unknown Outcome %q", *msg.Outcome)
		}
		event.Event = balancer.Outcome{Request: *msg.Job, Attempt: *msg.SendNo, Backend: *msg.Backend, Result: result,
			Latency: fromMillis(*msg.WaitTimeMs), Done: msg.Ended, Load: ParseLoad(msg.Usage)}
	case "ProbeDone":
		if msg.Backend == nil || msg.Outcome == nil || msg.WaitTimeMs == nil {
			return errors.New("missing Backend, Outcome or WaitTimeMs")
		}
		result, ok := resultsByOutcome[*msg.Outcome]
		if !ok {
			return fmt.Errorf("unknown Outcome %q", *msg.Outcome)
		}
		event.Event = balancer.ProbeResult{Backend: *msg.Backend, Result: result,
			Latency: fromMillis(*msg.WaitTimeMs), Load: ParseLoad(msg.Usage)}
	case "Streaming":
		if msg.Job == nil || msg.SendNo == nil {
			return errors.New("missing Job or SendNo")
		}
		event.Event = balancer.ResponseStarted{Request: *msg.Job, Attempt: *msg.SendNo}
	case "Expired":
		if msg.Job == nil {
			return errors.New("missing Job")
		}
		event.Event = balancer.Abandoned{Request: *msg.Job}
	case "Reminder":
		if msg.Cookie == nil {
			return errors.New("missing Cookie")
		}
		event.Event = balancer.TimerFired{Token: *msg.Cookie}
	case "Peer":
		if msg.From == nil || msg.PeerData == nil {
			return errors.New("missing From or Msg")
		}
		data, err := hex.DecodeString(*msg.PeerData)
		if err != nil {
			return fmt.Errorf("Msg: %w", err) //lint:ignore ST1005 begins with the name of a field
		}
		event.Event = balancer.GossipReceived{From: *msg.From, Data: data}
	default:
		return errors.New("unknown message")
	}
	if err != nil {
		return err
	}
	if msg.Agent == nil {
		return errors.New("missing Agent")
	}
	event.Agent = *msg.Agent
	classes, known := r.classCounts[event.Agent]
	switch {
	case event.Open != nil:
		r.classCounts[event.Agent] = len(event.Open.Settings.Classes)
	case event.Retire:
		delete(r.classCounts, event.Agent)
	case msg.Kind == "Submit" && known && (*msg.TierClass < 0 || *msg.TierClass >= classes):
		return fmt.Errorf("TierClass: unknown class %d", *msg.TierClass)
	}
	batch.Events = append(batch.Events, event)
	return nil
}

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
	r.sheets[*msg.Sheet] = backends
	return nil
}

func (r *Reader) endpointUpdate(msg *message) (balancer.Event, error) {
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
	backends, ok := r.sheets[*msg.Sheet]
	if !ok {
		return nil, fmt.Errorf("Sheet %d was never defined", *msg.Sheet) //lint:ignore ST1005 begins with the name of a field
	}
	return balancer.EndpointUpdate{Kind: kind, Backends: backends}, nil
}
