package queuer

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func one(int) float64 { return 1 }

func TestBusyLanesShareByWeight(t *testing.T) {
	var q Fair[string, int]
	for i := range 90 {
		q.Push("small", 1, i)
		q.Push("large", 2, 1000+i)
	}
	small := 0
	for range 60 {
		item, ok := q.Pop(one)
		assert.Assert(t, ok)
		if item < 1000 {
			small++
		}
	}
	assert.Assert(t, small >= 19 && small <= 21, "%d of 60", small)
}

func TestFloodWaitsBehindItself(t *testing.T) {
	var q Fair[string, int]
	for i := range 1000 {
		q.Push("flood", 1, i)
	}
	q.Push("calm", 1, -1)
	for range 2 {
		if item, _ := q.Pop(one); item == -1 {
			return
		}
	}
	t.Fatal("the calm lane waited for more than one item of the flood")
}

func TestEveryItemComesOutOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Fair[int, int]
		pushed := 0
		lastOf := map[int]int{}
		popped := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				lane := rapid.IntRange(0, 4).Draw(t, "lane")
				q.Push(lane, 1, pushed*5+lane)
				pushed++
				continue
			}
			item, ok := q.Pop(one)
			if !ok {
				continue
			}
			popped++
			if last, seen := lastOf[item%5]; seen && last >= item {
				t.Fatalf("lane %d gave %d after %d", item%5, item, last)
			}
			lastOf[item%5] = item
		}
		if q.Size != pushed-popped {
			t.Fatalf("size %d after %d in and %d out", q.Size, pushed, popped)
		}
	})
}
