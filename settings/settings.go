// Package settings holds the settings of one daemon, read from a JSON file with
// comments. Unknown names are refused, and all problems of a file are reported
// at once with file, line and the setting's name.
package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/internal/strictjson"
)

// Problem is one error in a settings file.
type Problem = strictjson.Problem

// Problems lists all errors in a settings file.
type Problems = strictjson.Problems

// checkpointsPerRetention is the number of checkpoints of a subject that are
// written within the log's retention time.
const checkpointsPerRetention = 4

// Load reads and validates a settings file. The error is Problems if the file
// could be read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse decodes and validates settings. The file name is used in messages only.
// The error is Problems.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	document := strictjson.Decode(file, data, &s)
	if document.Parsed() {
		s.validate(document)
	}
	if err := document.Problems().Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// CheckpointInterval returns the time between two checkpoints of a subject: a
// quarter of the log's retention, so that a reader finds a checkpoint even if
// the daemon that writes them is replaced in between.
func (s *Settings) CheckpointInterval() time.Duration {
	return s.Log.Retention / checkpointsPerRetention
}

// Incarnation returns the identifier of a process of this VM that started at
// the given time. IncarnationVM extracts the VM id from it.
func (s *Settings) Incarnation(start time.Time) string {
	return s.Process.VM + "." + strconv.FormatInt(start.UnixMilli(), 36)
}

// IncarnationVM returns the VM id of an incarnation, or "" if the string is not
// an incarnation.
func IncarnationVM(incarnation string) string {
	vm, _, found := strings.Cut(incarnation, ".")
	if !found {
		return ""
	}
	return vm
}

// CheckFiles reads the certificate files that the settings name and reports all
// that are missing or invalid. The file argument is the path of the settings
// file, for messages.
func (s *Settings) CheckFiles(file string) Problems {
	var problems Problems
	report := func(name string, err error) {
		problems = append(problems, Problem{File: file, Name: name, Message: err.Error()})
	}
	if s.Clients.TLSCert != "" {
		if _, err := tls.LoadX509KeyPair(s.Clients.TLSCert, s.Clients.TLSKey); err != nil {
			report("clients.tls_cert", err)
		}
	}
	if _, err := tls.LoadX509KeyPair(s.Peers.Cert, s.Peers.Key); err != nil {
		report("peers.cert", err)
	}
	if err := checkCA(s.Peers.CA); err != nil {
		report("peers.ca", err)
	}
	return problems
}

func checkCA(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if !x509.NewCertPool().AppendCertsFromPEM(data) {
		return eris.Errorf("%s holds no certificate", path)
	}
	return nil
}
