package gtusage

import "godwittide/core/process/gtshard"

// Cell is the count of one account in one window.
type Cell struct {
	account string
	window  int64
	count   int
}

// NewCell returns a cell.
func NewCell(account string, window int64, count int) Cell { return Cell{account, window, count} }

// Account returns the name of the account.
func (c Cell) Account() string { return c.account }

// Window returns the number of the window.
func (c Cell) Window() int64 { return c.window }

// Count returns the number of requests.
func (c Cell) Count() int { return c.count }

// Counter counts the requests that the local backend server began to run. Its zero value
// is ready for use.
type Counter struct {
	accounts gtshard.Map[map[int64]int] // counts by window, by account
}

// Begin counts a request that is sent to the backend server.
func (c *Counter) Begin(account string, window int64) {
	c.accounts.Do(account, func(m map[string]map[int64]int) {
		if m[account] == nil {
			m[account] = map[int64]int{}
		}
		m[account][window]++
	})
}

// NotRun takes back a request that turned out not to have run. The cell stays with the
// lower count, so that receivers are sent that.
func (c *Counter) NotRun(account string, window int64) {
	c.accounts.Do(account, func(m map[string]map[int64]int) {
		if n, ok := m[account][window]; ok && n > 0 {
			m[account][window] = n - 1
		}
	})
}

// Cells returns all counts.
func (c *Counter) Cells() []Cell {
	var out []Cell
	c.accounts.Each(func(m map[string]map[int64]int) {
		for account, windows := range m {
			for window, n := range windows {
				out = append(out, Cell{account, window, n})
			}
		}
	})
	return out
}

// Prune deletes the counts of windows before the given one.
func (c *Counter) Prune(oldest int64) {
	c.accounts.Each(func(m map[string]map[int64]int) {
		for account, windows := range m {
			for window := range windows {
				if window < oldest {
					delete(windows, window)
				}
			}
			if len(windows) == 0 {
				delete(m, account)
			}
		}
	})
}
