package cluster

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/mimosakeel/mimosakeel/table"
)

// Guards against a stream that continues after its key was withdrawn by an edit
// of the table.
func TestWithdrawnKeyEndsRunningStream(t *testing.T) {
	c := startCluster(t, 1)
	url := c.Daemons[0].URL + "/v1/chat/completions"
	await(t, http.StatusOK, url, testSecret, chatBody)
	body := strings.Replace(chatBody, `"max_tokens":5`, `"max_tokens":16000`, 1)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testSecret)
	response, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	stream := bufio.NewReader(response.Body)
	if first, err := stream.ReadString('\n'); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v: %s", response.StatusCode, err, first)
	}
	rows := testTable()
	rows.Customers[0].Keys = []table.KeyHash{table.HashKey("another")}
	if _, err := Publish(t.Context(), c.Log(), table.Edit{Set: table.Table{Customers: rows.Customers}}, "test", "edit-2"); err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(stream)
	if err != nil || !strings.Contains(string(rest), `"code":"key_withdrawn"`) {
		t.Errorf("the stream ended with %v after %d bytes, not with the withdrawal", err, len(rest))
	}
}
