package main

import (
	"fmt"
	"strings"

	"godwittide/io/process/gtcommand"
)

func init() {
	commands.Register("completion", "Print a completion script for bash: source <(godwittide completion).", &completionCommand{})
}

type completionCommand struct{}

// Run prints a bash completion script.
func (c *completionCommand) Run(env gtcommand.Env) error {
	_, err := fmt.Fprintf(env.Out(), `_godwittide() {
  local words=%q
  [ "${COMP_WORDS[1]}" = config ] && [ "$COMP_CWORD" -eq 2 ] && words="check push pull diff status"
  if [ "$COMP_CWORD" -eq 1 ] || [ "${COMP_WORDS[1]}" = config ] && [ "$COMP_CWORD" -eq 2 ]; then
    COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
  else
    COMPREPLY=($(compgen -f -- "${COMP_WORDS[COMP_CWORD]}"))
  fi
}
complete -F _godwittide godwittide
`, strings.Join(commands.Names(), " "))
	return err
}
