package hasher

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Name is a string with its hash, which is computed once and used in every ranking.
type Name struct {
	Text string
	Hash uint64
}

// NewName returns the Name of text.
func NewName(text string) Name {
	return Name{Text: text, Hash: xxhash.Sum64String(text)}
}

// Key returns the hash of a ranking key.
func Key(text string) uint64 {
	return xxhash.Sum64String(text)
}

// Hash computes the hash of a sequence of texts and bytes.
type Hash struct {
	digest *xxhash.Digest
}

// New returns the hash of an empty sequence.
func New() Hash { return Hash{digest: xxhash.New()} }

// AddText adds a text and its end, so that the same characters in other texts give another hash.
func (h Hash) AddText(text string) {
	_, _ = h.digest.WriteString(text)
	_, _ = h.digest.Write([]byte{0})
}

// Add adds bytes, whose division into several calls does not matter.
func (h Hash) Add(data []byte) { _, _ = h.digest.Write(data) }

// Sum returns the hash of what has been added.
func (h Hash) Sum() uint64 { return h.digest.Sum64() }

// Score returns the rendezvous score of a name for a key.
func Score(key uint64, name Name) uint64 {
	return Mix(key ^ name.Hash*0x9e3779b97f4a7c15)
}

// Mix is the finalizer of the splitmix64 generator.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Top returns the count names with the highest scores for the key, the highest first; equal scores are ordered by name.
func Top(key uint64, names []Name, count int) []string {
	best := make([]scored, 0, count+1)
	for _, n := range names {
		best = insert(best, scored{name: n.Text, score: Score(key, n)}, count)
	}
	texts := make([]string, len(best))
	for i, b := range best {
		texts[i] = b.name
	}
	return texts
}

// First returns the name with the highest score for the key, or "" if names is empty.
func First(key uint64, names []Name) string {
	first := ""
	var highest uint64
	for _, n := range names {
		score := Score(key, n)
		if first == "" || score > highest || score == highest && n.Text < first {
			first = n.Text
			highest = score
		}
	}
	return first
}

type scored struct {
	name  string
	score uint64
}

func insert(best []scored, s scored, count int) []scored {
	at := sort.Search(len(best), func(i int) bool {
		return best[i].score < s.score || best[i].score == s.score && best[i].name > s.name
	})
	if at >= count {
		return best
	}
	best = append(best, scored{})
	copy(best[at+1:], best[at:])
	best[at] = s
	return best[:min(len(best), count)]
}
