package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

// maxStatusBytes bounds the response of a daemon that is read.
const maxStatusBytes = 1 << 20

func statusCommand(env *Env) *ffcli.Command {
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "mimosakeel status URL...",
		ShortHelp:  "Print health, readiness and status of daemons.",
		LongHelp: "Reads /healthz, /readyz and /status below each URL. Fails if a daemon can't be reached or\n" +
			"isn't ready.",
		FlagSet: env.Flags("status"),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("status needs the client URL of at least one daemon")
			}
			failed := 0
			for _, url := range args {
				if !env.printStatus(ctx, strings.TrimSuffix(url, "/")) {
					failed++
				}
			}
			if failed > 0 {
				return eris.Errorf("%d of %d daemons are not ready", failed, len(args))
			}
			return nil
		},
	}
}

// printStatus prints the health, readiness and status of a daemon. It reports
// whether the daemon is healthy and ready.
func (env *Env) printStatus(ctx context.Context, url string) bool {
	healthy := env.printCheck(ctx, url, "/healthz")
	ready := env.printCheck(ctx, url, "/readyz")
	_, body, err := env.get(ctx, url+"/status")
	if err != nil {
		env.printf("%s/status: %v\n", url, err)
		return false
	}
	for _, line := range describeJSON(body) {
		env.printf("  %s\n", line)
	}
	return healthy && ready
}

func (env *Env) printCheck(ctx context.Context, url, path string) bool {
	code, body, err := env.get(ctx, url+path)
	if err != nil {
		env.printf("%s%s: %v\n", url, path, err)
		return false
	}
	text := strings.Join(strings.Fields(string(body)), " ")
	env.printf("%s%s: %d %s\n", url, path, code, text)
	return code == http.StatusOK
}

func (env *Env) get(ctx context.Context, url string) (code int, body []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, eris.Wrap(err, "make request")
	}
	response, err := env.HTTP.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	return response.StatusCode, body, err
}

// describeJSON returns one line per member of a JSON object, sorted by name. For
// any other text it returns the text.
func describeJSON(body []byte) []string {
	var members map[string]json.RawMessage
	if json.Unmarshal(body, &members) != nil {
		return []string{strings.TrimSpace(string(body))}
	}
	var lines []string
	for name, value := range members {
		lines = append(lines, name+": "+strings.Join(strings.Fields(string(value)), " "))
	}
	slices.Sort(lines)
	return lines
}
