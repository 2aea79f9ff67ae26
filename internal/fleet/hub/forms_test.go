package hub

import (
	"encoding/json"
	"testing"
)

// The JSON format of an attachment report and the paths of requests between hubs must not change.
func TestAttachmentReportFormatIsStable(t *testing.T) {
	const want = `{"hub":"h1","agents":[{"name":"n2","incarnation":3}]}`
	got, err := json.Marshal(attachmentReport{Hub: "h1", Agents: []reportedAgent{{Name: "n2", Incarnation: 3}}})
	if err != nil || string(got) != want {
		t.Errorf("attachment report: got %s and error %v, want the JSON in the constant want and no error", got, err)
	}
	if pathAttachments != "/hub/names" || pathSettings != "/fleet/settings" {
		t.Errorf("paths between hubs: got %s and %s, want /hub/names and /fleet/settings", pathAttachments, pathSettings)
	}
}
