package hub

import (
	"encoding/json"
	"testing"
)

// The JSON form of an attachment report and the paths of requests between hubs must not change.
func TestAttachmentReportFormatIsStable(t *testing.T) {
	const want = `{"hub":"h1","agents":[{"name":"n2","incarnation":3}]}`
	got, err := json.Marshal(attachmentReport{Hub: "h1", Agents: []reportedAgent{{Name: "n2", Incarnation: 3}}})
	if err != nil || string(got) != want {
		t.Errorf("attachment report: got %s, error %v", got, err)
	}
	if pathAttachments != "/hub/names" || pathSettings != "/fleet/settings" {
		t.Errorf("paths between hubs: %s, %s", pathAttachments, pathSettings)
	}
}
