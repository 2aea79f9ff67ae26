package latency

import "time"

// ReadRow reads how far sites are from the one of whose row a fact tells, by site.
func ReadRow(body []byte) (map[string]Estimate, error) {
	r, err := decodeRow(body)
	if err != nil {
		return nil, err
	}
	row := map[string]Estimate{}
	for _, e := range r.Entries {
		x := Estimate{Loss: float64(e.Loss) / 100}
		if e.Count > 0 {
			x.Trip, x.Spread = time.Duration(e.Micros)*time.Microsecond, time.Duration(e.Spread)*time.Microsecond
		}
		row[e.Site] = x
	}
	return row, nil
}
