package command

import (
	"context"
	"encoding/base64"
	"errors"
	"os"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/table"
)

const (
	// secretPrefix lets secret scanners recognize leaked secrets.
	secretPrefix = "mk-"
	// secretBytes is the length of the random part of a secret.
	secretBytes = 32
	// withdrawTries bounds the attempts while concurrent edits are accepted first.
	// The withdrawal of a key doesn't conflict with other changes, so it is
	// repeated without asking the operator.
	withdrawTries = 5
)

func keysCommand(env *Env) *ffcli.Command {
	return &ffcli.Command{
		Name:       "keys",
		ShortUsage: "mimosakeel keys <new|withdraw|peer-ca|peer-cert> [flags]",
		ShortHelp:  "Create and withdraw customer keys, and create certificates for daemons.",
		FlagSet:    env.Flags("keys"),
		Subcommands: []*ffcli.Command{
			newKeyCommand(env), withdrawCommand(env), peerCACommand(env), peerCertCommand(env),
		},
	}
}

func newKeyCommand(env *Env) *ffcli.Command {
	return &ffcli.Command{
		Name:       "new",
		ShortUsage: "mimosakeel keys new",
		ShortHelp:  "Print a new secret and its hash.",
		LongHelp:   "The secret is for the customer and is stored nowhere; the hash goes into the table.",
		FlagSet:    env.Flags("keys new"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("new takes no arguments")
			}
			random, err := env.randomBytes(secretBytes)
			if err != nil {
				return err
			}
			secret := secretPrefix + base64.RawURLEncoding.EncodeToString(random)
			env.printf("secret %s\nhash   %s\n", secret, table.HashKey(secret))
			return nil
		},
	}
}

func withdrawCommand(env *Env) *ffcli.Command {
	flags := env.Flags("keys withdraw")
	logFlags := addLogFlags(flags)
	force := flags.Bool("force", false, "withdraw even if no customer has a key afterwards")
	author := flags.String("author", os.Getenv("USER"), "`name` of the operator, shown to others whose edits conflict")
	return &ffcli.Command{
		Name:       "withdraw",
		ShortUsage: "mimosakeel keys withdraw (-log URL | -settings FILE) [-force] HASH...",
		ShortHelp:  "Remove keys from the published table.",
		LongHelp:   "Keys are given by their hashes, sha256:<hex>. Open requests that use them are ended.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			hashes, err := parseHashes(args)
			if err != nil {
				return err
			}
			return logFlags.withLog(ctx, env, func(ctx context.Context, log hosting.Log) error {
				return env.withdraw(ctx, log, hashes, operatorName(*author), *force)
			})
		},
	}
}

func parseHashes(args []string) ([]table.KeyHash, error) {
	if len(args) == 0 {
		return nil, usagef("withdraw needs the hashes of the keys")
	}
	hashes := make([]table.KeyHash, len(args))
	for i, arg := range args {
		hash, err := table.ParseKeyHash(arg)
		if err != nil {
			return nil, usagef("argument %d: %v", i+1, err)
		}
		hashes[i] = hash
	}
	return hashes, nil
}

// withdraw removes keys and repeats the edit if another one was accepted first.
func (env *Env) withdraw(ctx context.Context, log hosting.Log, hashes []table.KeyHash, operator string, force bool) error {
	for try := 1; ; try++ {
		config, err := openConfig(ctx, env, log, operator)
		if err != nil {
			return err
		}
		p := &editPublisher{env: env, config: config, force: force}
		if err := p.ensureAnchored(ctx); err != nil {
			return err
		}
		edit, err := withdrawal(config.state.Table(), hashes)
		if err != nil {
			return err
		}
		env.printDiff(config.state.Table(), edit)
		err = p.publish(ctx, edit, config.state.Version())
		var conflict *ConflictError
		if !errors.As(err, &conflict) || try == withdrawTries {
			return err
		}
		env.printf("another edit was accepted first; repeating\n")
	}
}

// withdrawal returns the edit that removes the keys. It fails if no customer has a
// key, so that a mistyped hash isn't reported as withdrawn.
func withdrawal(t *table.Table, hashes []table.KeyHash) (table.Edit, error) {
	rows := map[string]table.Customer{}
	for _, hash := range hashes {
		owner := slices.IndexFunc(t.Customers, func(c table.Customer) bool { return slices.Contains(c.Keys, hash) })
		if owner < 0 {
			return table.Edit{}, eris.Errorf("no customer has the key %s", hash)
		}
		c, started := rows[t.Customers[owner].Name]
		if !started {
			c = t.Customers[owner]
		}
		c.Keys = slices.DeleteFunc(slices.Clone(c.Keys), func(key table.KeyHash) bool { return key == hash })
		rows[c.Name] = c
	}
	var edit table.Edit
	for _, c := range rows {
		edit.Set.Customers = append(edit.Set.Customers, c)
	}
	return edit, nil
}
