package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/user"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gttimer"
	"godwittide/core/version/gtdelta"
	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtnode"
	"godwittide/io/process/gtstore"
	"godwittide/io/version/gtfolder"
	"godwittide/io/version/gtrepository"
)

func init() {
	commands.Register("config", "Check, push and compare the configuration folder.", &configCommand{})
}

type configCommand struct {
	Check  configCheck  `cmd:"" help:"Check a folder without touching the store."`
	Push   configPush   `cmd:"" help:"Replace the folder in the store with this one."`
	Pull   configPull   `cmd:"" help:"Write the folder in the store to a directory."`
	Diff   configDiff   `cmd:"" help:"Show what a push would change."`
	Status configStatus `cmd:"" help:"Show the latest push, the accepted version, and why a push was refused."`
}

// storeOption holds the flags of commands that access the store.
type storeOption struct {
	Store  string `help:"URL of the platform's store." default:"http://127.0.0.1:2379" env:"GODWITTIDE_STORE" placeholder:"URL"`
	Prefix string `help:"Prefix of all keys." default:"godwittide/" env:"GODWITTIDE_PREFIX"`
}

func (o storeOption) repository() *gtrepository.Repository {
	return &gtrepository.Repository{Store: gtstore.NewEtcd(o.Store, gtstore.NewClient()), Prefix: o.Prefix}
}

// baseFile, in the configuration folder, records the number of the push that
// the folder was pulled from or last pushed as.
const baseFile = ".godwittide"

// readBase returns the push recorded in the folder, and false if there is none.
func readBase(dir string) (int64, bool) {
	b, err := os.ReadFile(filepath.Join(dir, baseFile))
	if err != nil {
		return 0, false
	}
	seq, err := strconv.ParseInt(strings.TrimSpace(string(b)), 10, 64)
	return seq, err == nil
}

func writeBase(dir string, seq int64) error {
	if err := os.WriteFile(filepath.Join(dir, baseFile), []byte(strconv.FormatInt(seq, 10)+"\n"), 0o644); err != nil {
		return errorx.Decorate(err, "record the base push in folder %s", dir)
	}
	return nil
}

type configCheck struct {
	Dir string `arg:"" help:"Folder of .toml files." type:"existingdir"`
}

// Help returns examples.
func (c *configCheck) Help() string { return gtcommand.Examples("godwittide config check conf.d") }

// Run checks the folder and prints its problems.
func (c *configCheck) Run(env gtcommand.Env) error {
	files, err := gtfolder.Read(c.Dir)
	if err != nil {
		return err
	}
	return checkFiles(env, files)
}

func checkFiles(env gtcommand.Env, files map[string]string) error {
	cfg, problems := (&gtfolder.Parser{}).Merge(files)
	if len(problems) > 0 {
		texts := gtfolder.FormatProblems(problems)
		_ = env.PrintIfJSON(map[string]any{"problems": texts})
		return errorx.RejectedOperation.New("the folder is invalid, nothing was changed:\n  %s", strings.Join(texts, "\n  "))
	}
	env.Printf("%d files are valid: %d services, %d routes, %d moves\n", len(files), cfg.ServiceCount(), len(cfg.Routes()), len(cfg.Moves()))
	return nil
}

type configPush struct {
	storeOption
	adminOption
	Dir       string        `arg:"" help:"Folder of .toml files." type:"existingdir"`
	Author    string        `help:"Author to record with the push; by default the current user." env:"GODWITTIDE_AUTHOR"`
	Force     bool          `help:"Overwrite what others have pushed since the folder was pulled."`
	Unchecked bool          `help:"Skip the local check and leave it to the nodes."`
	All       bool          `help:"Print the names of all files, however many."`
	Wait      time.Duration `help:"Wait at most this long until the push is active on every node; queries the node at --admin." placeholder:"TIME"`
}

// Help returns examples.
func (c *configPush) Help() string {
	return gtcommand.Examples("godwittide config push --wait 10s conf.d", "godwittide config push --store http://10.0.0.9:2379 --author ada conf.d")
}

// Run pushes all changes of the folder as one push.
func (c *configPush) Run(env gtcommand.Env) error {
	files, err := gtfolder.Read(c.Dir)
	if err != nil {
		return err
	}
	if !c.Unchecked {
		if err := checkFiles(env, files); err != nil {
			return err
		}
	}
	ctx := env.Context()
	repo := c.repository()
	base, err := repo.Read(ctx)
	if err != nil {
		return err
	}
	old, err := repo.Files(ctx)
	if err != nil {
		return err
	}
	changed, removed := gtdelta.Changes(old, files)
	if len(changed)+len(removed) == 0 {
		env.Printf("nothing to push: the store already holds this folder\n")
		return writeBase(c.Dir, base.View().Head().Seq())
	}
	names := append(slices.Sorted(maps.Keys(changed)), removed...)
	if err := c.checkBase(base, names); err != nil {
		return err
	}
	seq, err := repo.Push(ctx, base, c.author(), changed, removed)
	if errors.Is(err, gtrepository.ErrConflict) {
		latest, readErr := repo.Read(ctx)
		if readErr != nil {
			return readErr
		}
		return conflictError(latest, names)
	}
	if err != nil {
		return err
	}
	if err := writeBase(c.Dir, seq); err != nil {
		return err
	}
	env.Printf("push %d: %s\n", seq, listNames(names, c.All))
	if c.Wait == 0 {
		return env.PrintIfJSON(map[string]any{"push": seq, "files": names})
	}
	return c.wait(env, repo, seq)
}

func (c *configPush) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// checkBase returns a conflict error unless the folder is based on the latest
// push, the store is empty or --force is set.
func (c *configPush) checkBase(base gtrepository.State, names []string) error {
	seq, known := readBase(c.Dir)
	if c.Force || base.View().Head().Seq() == 0 || known && seq == base.View().Head().Seq() {
		return nil
	}
	return conflictError(base, names)
}

// conflictError returns the error for a push of the named files that conflicts
// with the latest push in the store.
func conflictError(latest gtrepository.State, names []string) error {
	head := latest.View().Head()
	return errorx.RejectedOperation.New(
		"push refused, nothing was changed: push %d by %s changed %s after this folder was pulled; your changes are in %s. Run config pull into another folder, merge, and push again, or use --force",
		head.Seq(), head.Author(), listNames(head.Files(), true), listNames(names, true))
}

// wait polls the progress of the push until it is active on every node. It
// returns an error if the push is refused or --wait elapses.
func (c *configPush) wait(env gtcommand.Env, repo *gtrepository.Repository, seq int64) error {
	ctx, cancel := context.WithTimeout(env.Context(), c.Wait)
	defer cancel()
	start := time.Now()
	printed := ""
	for {
		line, done, err := c.progress(ctx, repo, seq)
		if err != nil {
			return err
		}
		if line != printed {
			env.Printf("%s\n", line)
			printed = line
		}
		if done {
			env.Printf("in force everywhere after %s\n", time.Since(start).Round(10*time.Millisecond))
			return env.PrintIfJSON(map[string]any{"push": seq, "seconds": time.Since(start).Seconds()})
		}
		if gttimer.Sleep(ctx, 200*time.Millisecond) != nil {
			return errorx.TimeoutElapsed.New("push %d is not in force everywhere after %s: %s", seq, c.Wait, line)
		}
	}
}

// progress returns a line on the state of the push, and whether it is active on
// every node. It returns an error if the push was refused.
func (c *configPush) progress(ctx context.Context, repo *gtrepository.Repository, seq int64) (string, bool, error) {
	s, err := repo.Read(ctx)
	if err != nil {
		return "the store does not respond", false, nil
	}
	v := s.LastVerdict()
	if v.Seq == seq && len(v.Problems) > 0 {
		return "", false, errorx.RejectedOperation.New("push %d refused, version %d stays in force:\n  %s", seq, s.View().Record().Version(), strings.Join(v.Problems, "\n  "))
	}
	record := s.View().Record()
	if record.Push() < seq {
		return "waiting for a node to accept it", false, nil
	}
	var propagation gtnode.Propagation
	if err := c.getJSON(ctx, "/spread", &propagation); err != nil {
		return "", false, err
	}
	line := fmt.Sprintf("version %d: %d of %d nodes in %d zones", record.Version(), propagation.Reached, propagation.Asked, len(propagation.Zones))
	return line, propagation.Version >= record.Version() && propagation.Reached == propagation.Asked, nil
}

type configPull struct {
	storeOption
	Dir string `arg:"" help:"Directory to write; its .toml files are replaced." type:"path"`
}

// Help returns examples.
func (c *configPull) Help() string { return gtcommand.Examples("godwittide config pull conf.d") }

// Run writes the files in the store to the directory.
func (c *configPull) Run(env gtcommand.Env) error {
	repo := c.repository()
	base, err := repo.Read(env.Context())
	if err != nil {
		return err
	}
	files, err := repo.Files(env.Context())
	if err != nil {
		return err
	}
	if err := gtfolder.Write(c.Dir, files); err != nil {
		return err
	}
	env.Printf("pulled %d files of push %d\n", len(files), base.View().Head().Seq())
	return writeBase(c.Dir, base.View().Head().Seq())
}

type configDiff struct {
	storeOption
	Dir string `arg:"" help:"Folder of .toml files." type:"existingdir"`
}

// Help returns examples.
func (c *configDiff) Help() string { return gtcommand.Examples("godwittide config diff conf.d") }

// Run prints the files that a push would add, change and remove.
func (c *configDiff) Run(env gtcommand.Env) error {
	files, err := gtfolder.Read(c.Dir)
	if err != nil {
		return err
	}
	old, err := c.repository().Files(env.Context())
	if err != nil {
		return err
	}
	d := newFolderDiff(old, files)
	for _, line := range d.lines() {
		env.Printf("%s\n", line)
	}
	return env.PrintIfJSON(d)
}

type configStatus struct {
	storeOption
	All bool `help:"Print the names of all files of the latest push, however many."`
}

// Help returns examples.
func (c *configStatus) Help() string {
	return gtcommand.Examples("godwittide config status", "godwittide config status --json")
}

// Run prints the latest push, the accepted version and, if the latest push was
// refused, why.
func (c *configStatus) Run(env gtcommand.Env) error {
	s, err := c.repository().Read(env.Context())
	if err != nil {
		return err
	}
	head, record, v := s.View().Head(), s.View().Record(), s.LastVerdict()
	env.Printf("latest push    %d by %s: %s\n", head.Seq(), head.Author(), listNames(head.Files(), c.All))
	env.Printf("accepted       version %d, from push %d, checksum %s\n", record.Version(), record.Push(), record.Checksum())
	switch {
	case len(v.Problems) > 0 && v.Seq == head.Seq():
		env.Printf("push %d refused by %s, version %d stays in force:\n", v.Seq, v.By, record.Version())
		for _, p := range v.Problems {
			env.Printf("  %s\n", p)
		}
	case head.Seq() > record.Push():
		env.Printf("push %d is waiting for a node to accept it\n", head.Seq())
	}
	return env.PrintIfJSON(map[string]any{
		"push": head.Seq(), "author": head.Author(), "files": head.Files(),
		"version": record.Version(), "accepted": record.Push(), "sum": record.Checksum(),
		"refused": v.Seq == head.Seq() && len(v.Problems) > 0, "problems": v.Problems,
	})
}
