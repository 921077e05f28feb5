package command_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/mimosakeel/mimosakeel/command"
	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/table"
)

func TestCommand(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	ginkgo.RunSpecs(t, "command", suite, reporter)
}

// Guards against a publish that fails although its record never reached the log:
// it must append the same record again.
func TestLostRecordIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{loseRecords: 2}
		r := run(log, "table", "publish", "-log", "x", exampleTable)
		if r.code != command.ExitOK || len(log.records) != 1 {
			t.Fatalf("%+v, %d records", r, len(log.records))
		}
	})
}

// result holds the exit code and output of one run of the program.
type result struct {
	code     int
	out, err string
}

func run(log *fakeLog, args ...string) result {
	var out, errs bytes.Buffer
	env := command.NewEnv(&out, &errs)
	env.Now = func() time.Time { return time.Unix(1_800_000_000, 0) }
	env.Random = rand.Reader
	if log != nil {
		env.NewLog = func(string, *http.Client) hosting.Log { return log }
	}
	code := command.Run(context.Background(), env, args)
	return result{code, out.String(), errs.String()}
}

func succeed(log *fakeLog, args ...string) string {
	r := run(log, args...)
	gomega.ExpectWithOffset(1, r.err).To(gomega.BeEmpty())
	gomega.ExpectWithOffset(1, r.code).To(gomega.Equal(command.ExitOK))
	return r.out
}

func write(name, text string) string {
	path := filepath.Join(ginkgo.GinkgoT().TempDir(), name)
	gomega.ExpectWithOffset(1, os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
	return path
}

const exampleTable = "../examples/table.json"

// edited returns a file with the current table after a textual replacement.
func edited(log *fakeLog, old, replacement string) string {
	shown := succeed(log, "table", "show", "-log", "x")
	gomega.ExpectWithOffset(1, shown).To(gomega.ContainSubstring(old))
	return write("table.json", strings.Replace(shown, old, replacement, 1))
}

var _ = ginkgo.Describe("exit codes", func() {
	// Guards against a wrong command line that exits like a failure or a success.
	ginkgo.DescribeTable("exits with 2 and a message on wrong usage", func(args ...string) {
		r := run(nil, args...)
		gomega.Expect(r.code).To(gomega.Equal(command.ExitUsage))
		gomega.Expect(r.err).NotTo(gomega.BeEmpty())
	},
		ginkgo.Entry("nothing"), ginkgo.Entry("unknown", "bogus"), ginkgo.Entry("group alone", "table"),
		ginkgo.Entry("flag", "check", "-nope"), ginkgo.Entry("no id", "explain"), ginkgo.Entry("no log", "table", "show"),
		ginkgo.Entry("no file", "table", "publish", "-log", "x"), ginkgo.Entry("no url", "status"),
		ginkgo.Entry("secret as hash", "keys", "withdraw", "-log", "x", "mk-secret"),
		ginkgo.Entry("no VM", "keys", "peer-cert", "-days", "1"),
	)

	// Guards against a sub-command without a help text.
	ginkgo.It("explains every sub-command", func() {
		for _, name := range []string{"check", "table show", "table diff", "table publish", "keys new", "keys withdraw", "keys peer-ca", "keys peer-cert", "status", "timeline", "explain"} {
			r := run(nil, append(strings.Fields(name), "-h")...)
			gomega.Expect(r.code).To(gomega.Equal(command.ExitOK), name)
			gomega.Expect(r.err).To(gomega.ContainSubstring("DESCRIPTION"), name)
			gomega.Expect(r.err).To(gomega.ContainSubstring("mimosakeel "+name), name)
		}
	})

	// Guards against a sub-command of another package that can't be called.
	ginkgo.It("runs sub-commands of other packages", func() {
		var out, errs bytes.Buffer
		env := command.NewEnv(&out, &errs)
		called := false
		code := command.Run(context.Background(), env, []string{"serve"}, func(env *command.Env) *ffcli.Command {
			return &ffcli.Command{Name: "serve", FlagSet: env.Flags("serve"), Exec: func(context.Context, []string) error {
				called = true
				return nil
			}}
		})
		gomega.Expect(code).To(gomega.Equal(command.ExitOK))
		gomega.Expect(called).To(gomega.BeTrue())
	})
})

var _ = ginkgo.Describe("check", func() {
	// Guards against a check that stops at the first broken file.
	ginkgo.It("reports all problems of all files", func() {
		bad := write("s.json", `{"lease": {"renew": "x"}}`)
		r := run(nil, "check", "-table", bad, bad, "../examples/mimosakeel.json")
		gomega.Expect(r.code).To(gomega.Equal(command.ExitFailed))
		gomega.Expect(r.err).To(gomega.ContainSubstring("lease.renew"))
		gomega.Expect(r.err).To(gomega.ContainSubstring("clients.listen: is required"))
		gomega.Expect(r.err).To(gomega.ContainSubstring("lease: unknown name"))
		gomega.Expect(r.out).To(gomega.ContainSubstring("examples/mimosakeel.json: ok"))
	})

	// Guards against settings of an edge daemon that are checked by the rules of
	// the serve command.
	ginkgo.It("checks settings of edge daemons", func() {
		bad := write("edge.json", `{"vm": "a", "lease": "0s", "retry": {"ratios": 1}}`)
		r := run(nil, "check", "-edge", bad)
		gomega.Expect(r.code).To(gomega.Equal(command.ExitFailed))
		gomega.Expect(r.err).To(gomega.ContainSubstring("retry.ratios"))
		gomega.Expect(r.err).To(gomega.ContainSubstring("clients: must be an address"))
		gomega.Expect(r.err).To(gomega.ContainSubstring("lease: must be positive"))
	})
})

var _ = ginkgo.Describe("explain", func() {
	const lines = "level=info at=1700000000000.0 process=vm-a kind=request what=failed id=r1 reason=no_server run=not_run time=2023-11-14T22:13:20Z\n" +
		"level=info at=1700000000001.0 process=vm-a kind=requ"

	// Guards against a truncated log line that hides the other lines, and against a
	// success for an unknown id.
	ginkgo.It("prints the cause, reports bad lines and continues", func() {
		log := write("vm-a.log", lines)
		r := run(nil, "explain", "r1", log)
		gomega.Expect(r.code).To(gomega.Equal(command.ExitOK))
		gomega.Expect(r.out).To(gomega.ContainSubstring("cause: no_server: the process knew no usable server"))
		gomega.Expect(r.err).To(gomega.ContainSubstring("vm-a.log:2: "))
		r = run(nil, "explain", "r2", log)
		gomega.Expect(r.code).To(gomega.Equal(command.ExitFailed))
		gomega.Expect(r.out).To(gomega.ContainSubstring("missing: no line names the request"))
	})

	// Guards against a command that reads logs only from files.
	ginkgo.It("reads standard input", func() {
		var out, errs bytes.Buffer
		env := command.NewEnv(&out, &errs)
		env.Stdin = strings.NewReader(lines)
		gomega.Expect(command.Run(context.Background(), env, []string{"explain", "r1"})).To(gomega.Equal(command.ExitOK))
		gomega.Expect(out.String()).To(gomega.ContainSubstring("request r1"))
	})
})

var _ = ginkgo.Describe("table", func() {
	var log *fakeLog

	ginkgo.BeforeEach(func() {
		log = &fakeLog{}
		succeed(log, "table", "publish", "-log", "x", exampleTable)
	})

	// Guards against a table that is shown differently from what was published.
	ginkgo.It("shows what was published", func() {
		file := edited(log, `"weight": 1,`, `"weight": 3,`)
		gomega.Expect(succeed(log, "table", "diff", "-log", "x", file)).To(gomega.Equal("~ customer harbour-desk: weight 1 -> 3\n"))
		gomega.Expect(succeed(log, "table", "publish", "-log", "x", file)).To(gomega.ContainSubstring("published version 1"))
		gomega.Expect(succeed(log, "table", "show", "-log", "x")).To(gomega.ContainSubstring(`"version": 1`))
	})

	// Guards against lost updates: a file that undoes an edit that was made after
	// the file was printed.
	ginkgo.It("refuses a file based on an older version", func() {
		old := edited(log, `"weight": 1,`, `"weight": 2,`)
		succeed(log, "table", "publish", "-log", "x", "-author", "mira", edited(log, `"burst": 40`, `"burst": 50`))
		r := run(log, "table", "publish", "-log", "x", old)
		gomega.Expect(r.code).To(gomega.Equal(command.ExitFailed))
		gomega.Expect(r.err).To(gomega.ContainSubstring("operator-mira"))
		gomega.Expect(succeed(log, "table", "show", "-log", "x")).To(gomega.ContainSubstring(`"weight": 1,`))
	})

	// Guards against an edit that is rejected because of a concurrent one without
	// the operator being told.
	ginkgo.It("names the concurrent edit that was accepted first", func() {
		mine := edited(log, `"weight": 1,`, `"weight": 2,`)
		theirs := edited(log, `"burst": 40`, `"burst": 50`)
		log.beforeAppend = func() { succeed(log, "table", "publish", "-log", "x", "-author", "mira", theirs) }
		r := run(log, "table", "publish", "-log", "x", mine)
		gomega.Expect(r.code).To(gomega.Equal(command.ExitFailed))
		gomega.Expect(r.err).To(gomega.MatchRegexp(`the edit of operator-mira-\w+ at offset 1 was accepted first`))
		gomega.Expect(succeed(log, "table", "show", "-log", "x")).To(gomega.ContainSubstring(`"weight": 1,`))
	})

	// Guards against an edit that is reported as failed although it was accepted,
	// because the answer to the append was lost.
	ginkgo.It("finds an edit whose answer was lost in the log", func() {
		log.loseAnswers = 1
		succeed(log, "table", "publish", "-log", "x", edited(log, `"weight": 1,`, `"weight": 2,`))
	})

	// Guards against an unknown outcome that is reported as a refusal.
	ginkgo.It("reports an unknown outcome", func() {
		log.loseRecords = 100
		r := run(log, "table", "publish", "-log", "x", "-timeout", "20ms", edited(log, `"weight": 1,`, `"weight": 2,`))
		gomega.Expect(r.code).To(gomega.Equal(command.ExitFailed))
		gomega.Expect(r.err).To(gomega.ContainSubstring("unknown whether the edit was accepted"))
	})

	// Guards against an edit that locks out all customers by mistake.
	ginkgo.It("refuses to withdraw the last key unless forced", func() {
		hash := "sha256:52a5e5d5a1c7bf9c0f3d4a87b44a1c88d3c3b9a6d6b2e3fd5d64aa9a1f0c7d11"
		r := run(log, "keys", "withdraw", "-log", "x", hash)
		gomega.Expect(r.code).To(gomega.Equal(command.ExitFailed))
		gomega.Expect(r.err).To(gomega.ContainSubstring(table.ErrLockout.Error()))
		succeed(log, "keys", "withdraw", "-log", "x", "-force", hash)
		gomega.Expect(succeed(log, "table", "show", "-log", "x")).NotTo(gomega.ContainSubstring("sha256"))
	})

	// Guards against a key that stays valid because a concurrent edit was accepted
	// before its withdrawal.
	ginkgo.It("repeats a withdrawal after a concurrent edit", func() {
		second := table.HashKey("second").String()
		succeed(log, "table", "publish", "-log", "x", edited(log, `"keys": [`, `"keys": ["`+second+`",`))
		theirs := edited(log, `"burst": 40`, `"burst": 50`)
		log.beforeAppend = func() { succeed(log, "table", "publish", "-log", "x", theirs) }
		succeed(log, "keys", "withdraw", "-log", "x", second)
		shown := succeed(log, "table", "show", "-log", "x")
		gomega.Expect(shown).To(gomega.ContainSubstring(`"burst": 50`))
		gomega.Expect(shown).NotTo(gomega.ContainSubstring(second))
	})

	ginkgo.Context("with a trimmed log", func() {
		var state *table.State
		var chain *record.Chain

		ginkgo.BeforeEach(func() {
			state = table.NewState()
			chain = record.NewChain(table.Subject, state, 0)
			for _, r := range log.records {
				envelope, err := record.Decode(r.Data)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				chain.Apply(record.Entry{Offset: r.Offset, Envelope: envelope})
			}
			log.trim()
		})

		// daemon answers anchor requests like an anchored daemon.
		daemon := func() {
			log.afterAppend = func(e record.Entry) {
				chain.Apply(e)
				if e.Kind == record.KindAnchorRequest {
					newID := func() string { return "d/1" }
					log.store(record.Encode(chain.Checkpoint("daemon", newID, record.MaxRecordBytes/2)[0]))
				}
			}
		}

		// Guards against a publish that fails because all records were trimmed
		// since the last edit.
		ginkgo.It("asks the daemons for a checkpoint", func() {
			daemon()
			file := write("t.json", strings.Replace(readFile(exampleTable), `"version": -1`, `"version": 0`, 1))
			gomega.Expect(succeed(log, "table", "publish", "-log", "x", file)).To(gomega.Equal("no changes\n"))
		})

		// Guards against a restart that discards a table that a daemon still knows.
		ginkgo.It("refuses -reset while a daemon answers", func() {
			daemon()
			r := run(log, "table", "publish", "-log", "x", "-reset", "-reset-wait", "1m", exampleTable)
			gomega.Expect(r.code).To(gomega.Equal(command.ExitFailed))
			gomega.Expect(r.err).To(gomega.ContainSubstring("publish without -reset"))
		})

		// Guards against a system in which no table can be published after all
		// daemons have lost it.
		ginkgo.It("restarts the table when no daemon answers", func() {
			gomega.Expect(run(log, "table", "show", "-log", "x").code).To(gomega.Equal(command.ExitFailed))
			out := succeed(log, "table", "publish", "-log", "x", "-reset", "-reset-wait", "1ms", exampleTable)
			gomega.Expect(out).To(gomega.ContainSubstring("published version 3"))
			gomega.Expect(succeed(log, "table", "show", "-log", "x")).To(gomega.ContainSubstring("harbour-desk"))
		})
	})
})

func readFile(name string) string {
	data, err := os.ReadFile(name)
	gomega.ExpectWithOffset(1, err).NotTo(gomega.HaveOccurred())
	return string(data)
}

var _ = ginkgo.Describe("keys", func() {
	// Guards against a printed hash that doesn't belong to the secret.
	ginkgo.It("prints a secret with its hash", func() {
		words := strings.Fields(succeed(nil, "keys", "new"))
		gomega.Expect(words).To(gomega.HaveLen(4))
		gomega.Expect(words[3]).To(gomega.Equal(table.HashKey(words[1]).String()))
		gomega.Expect(strings.Fields(succeed(nil, "keys", "new"))[1]).NotTo(gomega.Equal(words[1]))
	})

	// Guards against certificates that don't work for both client and server, and
	// against an authority that is overwritten by mistake.
	ginkgo.It("creates certificates for both ends of a connection", func() {
		dir := ginkgo.GinkgoT().TempDir()
		succeed(nil, "keys", "peer-ca", "-out", dir)
		gomega.Expect(run(nil, "keys", "peer-ca", "-out", dir).code).To(gomega.Equal(command.ExitFailed))
		succeed(nil, "keys", "peer-cert", "-ca", dir, "-out", dir, "-vm", "vm-1")
		pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "vm-1.crt"), filepath.Join(dir, "vm-1.key"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		roots := x509.NewCertPool()
		gomega.Expect(roots.AppendCertsFromPEM([]byte(readFile(filepath.Join(dir, "peer-ca.crt"))))).To(gomega.BeTrue())
		for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth} {
			_, err = pair.Leaf.Verify(x509.VerifyOptions{
				Roots: roots, DNSName: peer.ServerName(), KeyUsages: []x509.ExtKeyUsage{usage},
			})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		info, err := os.Stat(filepath.Join(dir, "vm-1.key"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(info.Mode().Perm()).To(gomega.Equal(os.FileMode(0o600)))
	})
})

var _ = ginkgo.Describe("status", func() {
	// Guards against a success although a daemon isn't ready.
	ginkgo.It("fails if a daemon isn't ready", func() {
		ready := http.StatusOK
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/readyz":
				w.WriteHeader(ready)
			case "/status":
				_, _ = w.Write([]byte(`{"version": 7, "leases": ["orders/fd-a"]}`))
			}
		}))
		defer server.Close()
		gomega.Expect(succeed(nil, "status", server.URL)).To(gomega.ContainSubstring("  leases: [\"orders/fd-a\"]\n  version: 7\n"))
		ready = http.StatusServiceUnavailable
		gomega.Expect(run(nil, "status", server.URL).code).To(gomega.Equal(command.ExitFailed))
		gomega.Expect(run(nil, "status", "http://127.0.0.1:1").code).To(gomega.Equal(command.ExitFailed))
	})
})

var _ = ginkgo.Describe("timeline", func() {
	// Guards against a truncated file that hides the other daemons' events.
	ginkgo.It("merges files and reports broken lines", func() {
		line := string(event.Encode(event.Event{
			At: hlc.Timestamp{WallMs: 1}, Process: "vm-1.a", Kind: event.KindLease, What: "acquired",
		}))
		a := write("a.log", line+"\n{\"at\"")
		b := write("b.log", line+"\n")
		r := run(nil, "timeline", a, b)
		gomega.Expect(r.code).To(gomega.Equal(command.ExitOK))
		gomega.Expect(strings.Count(r.out, "acquired")).To(gomega.Equal(2))
		gomega.Expect(r.err).To(gomega.ContainSubstring("a.log:2: "))
		page := filepath.Join(ginkgo.GinkgoT().TempDir(), "t.html")
		succeed(nil, "timeline", "-html", page, b)
		gomega.Expect(readFile(page)).To(gomega.ContainSubstring("acquired"))
	})
})
