package latency

import "time"

// DecodeRow reads how far sites are from the one of whose row a fact tells, by site.
func DecodeRow(body []byte) (map[string]Estimate, error) {
	decoded, err := unmarshalRow(body)
	if err != nil {
		return nil, err
	}
	row := map[string]Estimate{}
	for _, e := range decoded.Entries {
		estimate := Estimate{Loss: float64(e.LossPercent) / 100}
		if e.Count > 0 {
			estimate.RTT, estimate.Jitter = time.Duration(e.RTTMicros)*time.Microsecond, time.Duration(e.JitterMicros)*time.Microsecond
		}
		row[e.Site] = estimate
	}
	return row, nil
}
