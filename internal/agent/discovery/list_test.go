package discovery

import "testing"

// Discovery sends changes, and the successor process needs the complete list: a list and its changes merge into one.
func TestDeltasMergeIntoCompleteList(t *testing.T) {
	endpoints := endpointSet{}
	endpoints.merge(&EndpointList{Version: 3, Endpoints: []Endpoint{
		{ID: "a", State: "ready"}, {ID: "b", State: "ready"}, {ID: "c", State: "ready"}}}, true)
	endpoints.merge(&EndpointList{Version: 4, Endpoints: []Endpoint{
		{ID: "b", State: "draining"}, {ID: "a", State: "gone"}, {ID: "d", State: "ready"}}}, false)
	got, text := endpoints.list(4), ""
	for _, s := range got.Endpoints {
		text += s.ID + " " + s.State + " "
	}
	if got.Version != 4 || !got.Full || text != "b draining c ready d ready " {
		t.Errorf("version %d, complete %v, endpoints %q; want version 4, complete, \"b draining c ready d ready \"", got.Version, got.Full, text)
	}
}
