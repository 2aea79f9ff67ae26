// Package wire translates between the bench's JSON lines and balancer's
// events and actions. It decides nothing.
package wire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"strconv"
	"time"

	"martenbeam/balancer"
)

// OpenInstance tells that an instance starts with no state.
type OpenInstance struct {
	Seed     uint64
	Settings balancer.Settings
}

// Event is one event of a batch, with the instance it belongs to. Exactly one
// of Open, Retire and Event is set.
type Event struct {
	Line   int // line number in the stream, from 1
	Agent  int
	Open   *OpenInstance
	Retire bool
	Event  balancer.Event
}

// Batch holds what happened at one instant.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// Reader reads batches.
type Reader struct {
	in          *bufio.Reader
	line        int
	sheets      map[int][]balancer.Backend
	classCounts map[int]int // number of classes of each open instance
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), sheets: map[int][]balancer.Backend{}, classCounts: map[int]int{}}
}

type listItem struct {
	Backend      string  `json:"Backend"`
	Availability string  `json:"Availability"`
	Rating       float64 `json:"Rating"`
	Block        int     `json:"Block"`
	LaunchedMs   float64 `json:"LaunchedMs"`
	Sku          int     `json:"Sku"`
	Dc           int     `json:"Dc"`
}

// message holds the fields of every message; pointers mark those that some
// message must carry.
type message struct {
	Kind       string             `json:"msg"`
	ClockMs    *float64           `json:"ClockMs"`
	Agent      *int               `json:"Agent"`
	RandomSeed *uint64            `json:"RandomSeed"`
	Facts      json.RawMessage    `json:"Facts"`
	Sheet      *int               `json:"Sheet"`
	Items      *[]listItem        `json:"Items"`
	How        *string            `json:"How"`
	Job        *string            `json:"Job"`
	TierClass  *int               `json:"TierClass"`
	GraceMs    *float64           `json:"GraceMs"`
	WorkHintMs float64            `json:"WorkHintMs"`
	StateBits  int                `json:"StateBits"`
	Item       string             `json:"Item"`
	Outcome    *string            `json:"Outcome"`
	WaitTimeMs *float64           `json:"WaitTimeMs"`
	Backend    *string            `json:"Backend"`
	SendNo     *int               `json:"SendNo"`
	Ended      bool               `json:"Ended"`
	Usage      map[string]float64 `json:"Usage"`
	Cookie     *int64             `json:"Cookie"`
	From       *int               `json:"From"`
	PeerData   *string            `json:"Msg"`
}

// AffinityKey hashes what a request concerns, the same everywhere; 0 where that is unknown.
func AffinityKey(item string) uint64 {
	if item == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(item)) // never fails
	return h.Sum64()
}

const (
	stateWorkHintValid = 1
	stateClientRetry   = 2
)

var resultsByOutcome = map[string]balancer.Result{
	"pass": balancer.OK, "fault": balancer.Errored, "no_room": balancer.Rejected,
	"too_slow": balancer.TimedOut, "no_route": balancer.ConnectFailed, "cut": balancer.Reset,
	"undone": balancer.Cancelled, "stale_send": balancer.NotSent,
}

var updateKinds = map[string]balancer.UpdateKind{
	"diff": balancer.UpdateDelta, "snapshot": balancer.UpdateFull,
	"disk": balancer.UpdateCached, "error": balancer.UpdateFailed,
}

var backendStates = map[string]balancer.BackendState{
	"on": balancer.Up, "fading": balancer.Draining, "off": balancer.Removed,
}

// Next reads one batch. It returns io.EOF where the input ends between batches.
func (r *Reader) Next() (*Batch, error) {
	var batch *Batch
	for {
		line, err := r.in.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if batch != nil {
				return nil, fmt.Errorf("line %d: the input ends within a batch", r.line)
			}
			return nil, io.EOF
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: %w", r.line+1, err)
		}
		r.line++
		if isBlank(line) {
			continue
		}
		var msg message
		if err := json.Unmarshal(line, &msg); err != nil {
			return nil, fmt.Errorf("line %d: %w", r.line, err)
		}
		switch {
		case msg.Kind == "Frame" && batch == nil && msg.ClockMs != nil:
			batch = &Batch{Now: fromMillis(*msg.ClockMs)}
		case msg.Kind == "Frame" && batch == nil:
			return nil, fmt.Errorf("line %d: Frame: missing ClockMs", r.line)
		case msg.Kind == "Frame":
			return nil, fmt.Errorf("line %d: Frame within a batch", r.line)
		case batch == nil:
			return nil, fmt.Errorf("line %d: %q outside a batch", r.line, msg.Kind)
		case msg.Kind == "End":
			return batch, nil
		default:
			if err := r.decodeEvent(batch, &msg); err != nil {
				return nil, fmt.Errorf("line %d: %s: %w", r.line, msg.Kind, err)
			}
		}
	}
}

func isBlank(text []byte) bool {
	for _, char := range text {
		if char != ' ' && char != '\t' && char != '\r' && char != '\n' {
			return false
		}
	}
	return true
}

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

// ParseLoad translates a load report. What it does not hold is marked as not reported.
func ParseLoad(usage map[string]float64) balancer.Load {
	load := balancer.Load{Valid: usage != nil, Queue: -1, Service: -1, ErrorsPerSec: -1}
	if value, ok := usage["backlog"]; ok {
		load.Queue = value
	}
	if value, ok := usage["recent_ms"]; ok {
		load.Service = fromMillis(value)
	}
	if value, ok := usage["errors_per_s"]; ok {
		load.ErrorsPerSec = value
	}
	return load
}

func fromMillis(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

// Writer writes replies, each whole: of one that is not ended nothing is seen.
type Writer struct {
	out   io.Writer
	reply bytes.Buffer
	buf   []byte
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: w} }

// Actions writes the actions of one instance.
func (w *Writer) Actions(agent int, actions []balancer.Action) error {
	for _, action := range actions {
		switch action := action.(type) {
		case balancer.Send:
			w.beginMessage("Try", agent).stringField("Job", action.Request).stringField("Backend", action.Backend)
			if action.Timeout > 0 {
				w.millisField("PatienceMs", action.Timeout)
			}
		case balancer.Cancel:
			w.beginMessage("Cancel", agent).stringField("Job", action.Request).intField("SendNo", int64(action.Attempt))
		case balancer.Refuse:
			w.beginMessage("SayNo", agent).stringField("Job", action.Request)
			if action.RetryAfter > 0 {
				w.millisField("WaitMs", action.RetryAfter)
			}
		case balancer.Fail:
			w.beginMessage("DropRequest", agent).stringField("Job", action.Request)
		case balancer.SetTimer:
			w.beginMessage("SetTimer", agent).millisField("SpanMs", action.After).intField("Cookie", action.Token)
		case balancer.Probe:
			w.beginMessage("Test", agent).stringField("Backend", action.Backend)
		case balancer.SendGossip:
			w.beginMessage("WritePeer", agent).intField("Whom", int64(action.To)).stringField("Msg", hex.EncodeToString(action.Data))
		case balancer.ZoneStateChanged:
			w.beginMessage("Trace", agent).stringField("Msg", zoneStateText(action))
		case balancer.Subscribe:
			w.beginMessage("KeepInformed", agent)
			w.buf = append(w.buf, `,"Enable":true`...)
		default:
			return fmt.Errorf("no wire form for action %T", action)
		}
		w.buf = append(w.buf, "}\n"...)
		w.reply.Write(w.buf)
	}
	return nil
}

// zoneStateText words a line of the report.
func zoneStateText(change balancer.ZoneStateChanged) string {
	switch {
	case !change.FailedOver:
		return fmt.Sprintf("zone %d is used again", change.Zone)
	case change.ByGossip:
		return fmt.Sprintf("zone %d is left, as others told", change.Zone)
	}
	return fmt.Sprintf("zone %d is left", change.Zone)
}

// Broken reports that the decision code of an instance has failed.
func (w *Writer) Broken(agent int, text string) {
	w.beginMessage("Broken", agent).stringField("Msg", text)
	w.buf = append(w.buf, "}\n"...)
	w.reply.Write(w.buf)
}

// End closes a reply and writes it.
func (w *Writer) End() error {
	w.reply.WriteString("{\"msg\":\"Eor\"}\n")
	_, err := w.reply.WriteTo(w.out)
	return err
}

func (w *Writer) beginMessage(msg string, agent int) *Writer {
	w.buf = append(w.buf[:0], `{"msg":"`...)
	w.buf = append(w.buf, msg...)
	w.buf = append(w.buf, '"')
	return w.intField("Agent", int64(agent))
}

func (w *Writer) fieldName(name string) {
	w.buf = append(w.buf, `,"`...)
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, `":`...)
}

func (w *Writer) intField(name string, v int64) *Writer {
	w.fieldName(name)
	w.buf = strconv.AppendInt(w.buf, v, 10)
	return w
}

func (w *Writer) millisField(name string, d time.Duration) *Writer {
	w.fieldName(name)
	w.buf = strconv.AppendFloat(w.buf, float64(d)/1e6, 'f', -1, 64)
	return w
}

func (w *Writer) stringField(name, v string) *Writer {
	w.fieldName(name)
	for i := range len(v) {
		if char := v[i]; char < ' ' || char > '~' || char == '"' || char == '\\' {
			quoted, _ := json.Marshal(v) // a string always marshals
			w.buf = append(w.buf, quoted...)
			return w
		}
	}
	w.buf = append(w.buf, '"')
	w.buf = append(w.buf, v...)
	w.buf = append(w.buf, '"')
	return w
}
