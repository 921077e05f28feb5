package command

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/peer"
)

const (
	caName = "peer-ca"
	// day is the unit of the validity flags.
	day = 24 * time.Hour

	certMode os.FileMode = 0o644
	keyMode  os.FileMode = 0o600
)

func peerCACommand(env *Env) *ffcli.Command {
	flags := env.Flags("keys peer-ca")
	out := flags.String("out", ".", "`directory` to write peer-ca.crt and peer-ca.key to")
	days := flags.Int("days", 3650, "validity in days")
	return &ffcli.Command{
		Name:       "peer-ca",
		ShortUsage: "mimosakeel keys peer-ca [-out DIR] [-days N]",
		ShortHelp:  "Create the certificate authority that signs the daemons' certificates.",
		LongHelp:   "Keep peer-ca.key away from the VMs: anyone who has it can join as a daemon.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 || *days < 1 {
				return usagef("peer-ca takes no arguments, and -days must be at least 1")
			}
			return env.makePeerCA(*out, time.Duration(*days)*day)
		},
	}
}

func peerCertCommand(env *Env) *ffcli.Command {
	flags := env.Flags("keys peer-cert")
	ca := flags.String("ca", ".", "`directory` of peer-ca.crt and peer-ca.key")
	vm := flags.String("vm", "", "`id` of the VM in the VM list")
	out := flags.String("out", ".", "`directory` to write VM.crt and VM.key to")
	days := flags.Int("days", 365, "validity in days")
	return &ffcli.Command{
		Name:       "peer-cert",
		ShortUsage: "mimosakeel keys peer-cert -vm ID [-ca DIR] [-out DIR] [-days N]",
		ShortHelp:  "Create the certificate of one daemon.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 || *days < 1 || *vm == "" || filepath.Base(*vm) != *vm {
				return usagef("peer-cert takes no arguments, -vm must be an id without path separators, and -days must be at least 1")
			}
			return env.makePeerCert(*ca, *out, *vm, time.Duration(*days)*day)
		},
	}
}

func (env *Env) makePeerCA(dir string, validity time.Duration) error {
	ca, err := peer.NewCA(validity)
	if err != nil {
		return err
	}
	certPEM, keyPEM, err := ca.PEM()
	if err != nil {
		return err
	}
	return env.writePair(dir, caName, certPEM, keyPEM)
}

func (env *Env) makePeerCert(caDir, dir, vm string, validity time.Duration) error {
	certPEM, err := os.ReadFile(filepath.Join(caDir, caName+".crt"))
	if err != nil {
		return eris.Wrap(err, "read the certificate authority")
	}
	keyPEM, err := os.ReadFile(filepath.Join(caDir, caName+".key"))
	if err != nil {
		return eris.Wrap(err, "read the certificate authority")
	}
	ca, err := peer.ParseCA(certPEM, keyPEM)
	if err != nil {
		return err
	}
	certPEM, keyPEM, err = ca.Issue(vm, validity)
	if err != nil {
		return err
	}
	return env.writePair(dir, vm, certPEM, keyPEM)
}

// writePair writes NAME.key and NAME.crt. It fails if one of them exists.
func (env *Env) writePair(dir, name string, certPEM, keyPEM []byte) error {
	if err := env.writeNew(filepath.Join(dir, name+".key"), keyPEM, keyMode); err != nil {
		return err
	}
	return env.writeNew(filepath.Join(dir, name+".crt"), certPEM, certMode)
}

func (env *Env) writeNew(path string, data []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return eris.Wrap(err, "write certificate file")
	}
	_, err = file.Write(data)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return eris.Wrapf(err, "write %s", path)
	}
	env.printf("wrote %s\n", path)
	return nil
}
