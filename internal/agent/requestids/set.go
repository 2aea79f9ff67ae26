// Package requestids remembers the ids of requests that a backend may have executed, so that no request runs twice because its id
// comes again: after its client has left, or at the other process of an agent while one process replaces the other.
//
// A Set belongs to one process. With a folder, each process writes its ids to a file of its own there and reads the files of the
// others. A process writes an id before it looks for it in the files of the others, so of two processes that get one id at the same
// time at most one accepts it. Errors of the folder are not reported: the process then knows its own ids alone.
//
// A set holds the latest ids, about 16,000, for a minute. Its methods may be called from any goroutine.
package requestids

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"martenbeam/internal/bootclock"
)

// filePrefix begins the names of the files. Their names sort by the start of their processes.
const filePrefix = "requestids-"

// maxOthers is how many files of other processes are read. Older ones are removed.
const maxOthers = 2

// Set is the set of the ids that a process has accepted.
type Set struct {
	dir  string // "": the ids are not shared
	name string // of this process's file

	mu          sync.Mutex
	table       [buckets]bucket
	own         *os.File            // nil: not shared, or the file could not be created yet
	others      map[string]*os.File // by name
	dirModified time.Time           // the folder's state when others was last read
}

// New returns an empty set, which is shared with the processes that use the same folder; "": with none.
func New(dir string) *Set {
	s := &Set{dir: dir, others: map[string]*os.File{}}
	s.name = fmt.Sprintf("%s%020d-%d", filePrefix, bootclock.SinceBoot(), os.Getpid())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share()
	return s
}

// Accept adds an id, and reports whether it was in none of the sets.
func (s *Set) Accept(id string) bool {
	k, now := keyOf(xxhash.Sum64String(id)), bootclock.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.table[k.bucket]
	if b.find(k.tag, now) >= 0 {
		return false
	}
	slot := b.freeSlot(now)
	replaced := b[slot]
	b[slot] = entry(k, now)
	s.share()
	s.save(k.bucket)
	for _, other := range s.others {
		if found := readBucket(other, k.bucket); found.find(k.tag, now) >= 0 {
			b[slot] = replaced
			s.save(k.bucket)
			return false
		}
	}
	return true
}

// Forget removes an id that no backend has executed.
func (s *Set) Forget(id string) {
	k := keyOf(xxhash.Sum64String(id))
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.table[k.bucket]
	if slot := b.find(k.tag, bootclock.SinceBoot()); slot >= 0 {
		b[slot] = 0
		s.save(k.bucket)
	}
}

// Close closes the files. The process's own one stays, as long as its ids are of use to others.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, file := range s.others {
		_ = file.Close() // it was only read
	}
	clear(s.others)
	if s.own != nil {
		_ = s.own.Close() // its writes are in the kernel
		s.own = nil
	}
	s.dir = ""
}

// share creates the process's file, and opens the files of other processes if the folder has changed. The caller holds mu.
func (s *Set) share() {
	if s.dir == "" {
		return
	}
	if s.own == nil {
		s.create()
	}
	info, err := os.Stat(s.dir)
	if err != nil || info.ModTime().Equal(s.dirModified) {
		return
	}
	if s.openOthers() == nil {
		s.dirModified = info.ModTime()
	}
}

// create creates the process's file with the ids that it has accepted. The caller holds mu.
func (s *Set) create() {
	file, err := os.OpenFile(filepath.Join(s.dir, s.name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return
	}
	raw := make([]byte, 0, tableBytes)
	for i := range s.table {
		raw = append(raw, s.table[i].encode()...)
	}
	if _, err := file.WriteAt(raw, 0); err != nil {
		_ = file.Close() // the next call tries again
		return
	}
	s.own = file
}

// openOthers opens the files of the latest other processes, and removes older ones. The caller holds mu.
func (s *Set) openOthers() error {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return err
	}
	var names []string
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), filePrefix) && entry.Name() != s.name {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	for len(names) > maxOthers {
		if names[0] < s.name {
			_ = os.Remove(filepath.Join(s.dir, names[0])) // another process may have removed it
		}
		names = names[1:]
	}
	for name, file := range s.others {
		if !slices.Contains(names, name) {
			_ = file.Close() // it was only read
			delete(s.others, name)
		}
	}
	for _, name := range names {
		if s.others[name] != nil {
			continue
		}
		file, openErr := os.Open(filepath.Join(s.dir, name))
		if openErr != nil {
			err = openErr
			continue
		}
		s.others[name] = file
	}
	return err
}

// save writes a bucket to the process's file. After an error the file is written as a whole with the next id. The caller holds mu.
func (s *Set) save(bucket int) {
	if s.own == nil {
		return
	}
	if _, err := s.own.WriteAt(s.table[bucket].encode(), int64(bucket)*bucketBytes); err != nil {
		_ = s.own.Close() // it is opened again
		s.own = nil
	}
}

// readBucket reads a bucket of another process; an empty one if the file can't be read.
func readBucket(file *os.File, index int) bucket {
	raw := make([]byte, bucketBytes)
	if _, err := file.ReadAt(raw, int64(index)*bucketBytes); err != nil {
		return bucket{}
	}
	return decode(raw)
}
