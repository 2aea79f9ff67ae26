package wire

// Writing replies: the actions of a batch as JSON lines.

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"martenbeam/balancer"
)

// Writer writes replies. A Writer buffers a reply until End writes the complete reply; without End nothing is written. A Writer
// must be used by one goroutine at a time.
type Writer struct {
	out   io.Writer
	reply bytes.Buffer // lines of the current reply
	buf   []byte       // the line being encoded
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: w} }

// Actions adds the actions of one instance to the reply, in order. An action that has no message in the protocol is an
// error.
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
			return fmt.Errorf("action %T has no message in the protocol", action)
		}
		w.buf = append(w.buf, "}\n"...)
		w.reply.Write(w.buf)
	}
	return nil
}

// zoneStateText returns the text of a Trace message.
func zoneStateText(change balancer.ZoneStateChanged) string {
	switch {
	case !change.FailedOver:
		return fmt.Sprintf("zone %d is used again", change.Zone)
	case change.ByGossip:
		return fmt.Sprintf("zone %d is left, as others told", change.Zone)
	}
	return fmt.Sprintf("zone %d is left", change.Zone)
}

// Broken adds a message to the reply that reports a failure of an instance's decision code. text describes the failure.
func (w *Writer) Broken(agent int, text string) {
	w.beginMessage("Broken", agent).stringField("Msg", text)
	w.buf = append(w.buf, "}\n"...)
	w.reply.Write(w.buf)
}

// End completes the reply and writes it.
func (w *Writer) End() error {
	w.reply.WriteString("{\"msg\":\"Eor\"}\n")
	_, err := w.reply.WriteTo(w.out)
	return err
}

// beginMessage starts a line with the name of its message and the number of the instance.
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

// millisField appends a duration in milliseconds.
func (w *Writer) millisField(name string, d time.Duration) *Writer {
	w.fieldName(name)
	w.buf = strconv.AppendFloat(w.buf, float64(d)/1e6, 'f', -1, 64)
	return w
}

// stringField appends a string. Printable ASCII without quotes and backslashes needs no escaping.
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
