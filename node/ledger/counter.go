package ledger

import (
	"math/rand/v2"
	"sync"

	"github.com/auburnrelay/auburnrelay/core/account"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// shardCount is the number of shards; each has its own lock, to reduce contention.
const shardCount = 32

// cacheLineBytes is the padding in bytes that keeps two shards off the same cache line.
const cacheLineBytes = 64

// lineKey identifies an account.Line without its strings.
type lineKey struct {
	id    keyspace.RangeID
	sheet int64
	line  int
}

type lineCount struct {
	line account.Line
	account.Totals
}

type shard struct {
	mu    sync.Mutex
	lines map[lineKey]*lineCount
	_     [cacheLineBytes]byte
}

// counter counts outcomes by line. It is safe for concurrent use.
type counter struct{ shards [shardCount]shard }

func (c *counter) add(r keyspace.Range, id keyspace.RangeID, sheet int64, o outcome.Outcome) {
	key := lineKey{id: id, sheet: sheet, line: r.Line}
	s := &c.shards[rand.Uint32()%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.lines[key]
	if count == nil {
		count = s.addLine(key, account.LineOf(r, id, sheet))
	}
	count.Add(o)
}

func (s *shard) addLine(key lineKey, line account.Line) *lineCount {
	if s.lines == nil {
		s.lines = map[lineKey]*lineCount{}
	}
	count := &lineCount{line: line}
	s.lines[key] = count
	return count
}

// take returns the counts since the last call and resets them.
func (c *counter) take() []account.Count {
	all := account.Counts{}
	for i := range c.shards {
		for _, count := range c.shards[i].take() {
			all.Merge([]account.Count{{Line: count.line, Totals: count.Totals}})
		}
	}
	return all.Sorted()
}

func (s *shard) take() map[lineKey]*lineCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.lines
	s.lines = nil
	return lines
}
